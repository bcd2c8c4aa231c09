import {afterEach, beforeEach, expect, test} from 'vitest';
import {decodeDocument} from '../../src/rollout/config-codec.js';
import {CONFIG_KEY} from '../../src/rollout/config-document.js';
import {verifyKey} from '../../src/rollout/keys.js';
import {
  createStoreServer,
  type StoreServer,
} from '../../standins/store/server.js';
import {runCli} from './cli-fixture.js';

let server: StoreServer;

beforeEach(async () => {
  server = await createStoreServer();
  await run('table', 'set', 'team', 'lab', 'rate=50', 'burst=100');
});

afterEach(() => server.close());

const run = (...args: readonly string[]) => runCli(server.url, ...args);

function checkKey(text: string) {
  return verifyKey(decodeDocument(server.get(CONFIG_KEY) ?? ''), text);
}

test('grants, lists and withdraws a key', async () => {
  const granted = await run('key', 'grant', 'lab');
  const [text = '', accepted] = granted.out.split('\n');
  expect(accepted).toBe('accepted as version 2');
  const check = checkKey(text);
  expect(check).toMatchObject({kind: 'valid', team: 'lab'});
  const id = text.split('_')[1] ?? '';
  const listed = await run('key', 'list', '--team', 'lab');
  expect(listed.out).toMatch(new RegExp(`^id=${id} team=lab granted=\\S+Z$`));
  expect((await run('key', 'list', '--team', 'other')).out).toBe('');
  const withdrawn = await run('key', 'withdraw', id);
  expect(withdrawn).toMatchObject({code: 0, out: 'accepted as version 3'});
  expect(checkKey(text)).toMatchObject({kind: 'withdrawn'});
});

test('stores the id of a key but not its secret', async () => {
  const [text = ''] = (await run('key', 'grant', 'lab')).out.split('\n');
  const stored = server.get(CONFIG_KEY) ?? '';
  expect(stored).toContain(text.slice(3, 19));
  expect(stored).not.toContain(text.slice(20));
});

test('rejects a grant to a team without a row and the withdrawal of an unknown key', async () => {
  const granted = await run('key', 'grant', 'nobody');
  expect(granted).toMatchObject({code: 1, out: ''});
  expect(granted.err).toContain('zinnia table set team nobody');
  const withdrawn = await run('key', 'withdraw', 'none');
  expect(withdrawn.err).toBe(
    'error: there is no key none; see zinnia key list',
  );
});

test("prints the granted key after the store's response was lost", async () => {
  server.faults.loseAnswers(1);
  const {code, out} = await run('key', 'grant', 'lab');
  expect(code).toBe(0);
  expect(checkKey(out.split('\n')[0] ?? '')).toMatchObject({kind: 'valid'});
});
