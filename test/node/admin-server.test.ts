import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {
  createAdminRoutes,
  type AdminDeps,
} from '../../src/node/admin-routes.js';
import {AdminServer} from '../../src/node/admin-server.js';
import {createLogger} from '../../src/telemetry/log.js';

const SWITCH = {group: 'claims', databaseId: 'claims-2'};
const SHARE = {rate: 720_720_000_000, burst: 180_180_000_000};

let server: AdminServer;
let lines: string[];
const switchPrimary = vi.fn();

/** Only the dependencies that the tested routes use. */
const DEPS = {
  vm: 'vm1',
  budgets: {
    status: () => [{team: 'lab', epoch: 2, share: SHARE, tokens: 7.26}],
  },
  config: {
    findGroup: (name: string) => (name === 'claims' ? {name} : undefined),
  },
  homeOrder: () => [],
  homes: {switchPrimary},
  metrics: {slices: (since: number) => [since]},
  isDraining: () => {
    throw new Error('not used');
  },
} as unknown as AdminDeps;

beforeEach(async () => {
  lines = [];
  switchPrimary.mockReset();
  const log = createLogger('info', {}, line => lines.push(line));
  server = new AdminServer(createAdminRoutes(DEPS), log);
  await server.listen('127.0.0.1', 0);
});

afterEach(() => server.close());

async function request(path: string, body?: string) {
  const res = await fetch(`http://127.0.0.1:${server.port}${path}`, {
    ...(body === undefined ? {} : {method: 'POST', body}),
  });
  return {status: res.status, body: (await res.json()) as unknown};
}

test.each([
  ['an invalid time', '/statements?since=noon', undefined, 'since'],
  ['an empty time', '/statements?since=', undefined, 'since'],
  ['malformed JSON', '/switch', '{"group"', 'body'],
  ['a body over the limit', '/switch', `"${'x'.repeat(70_000)}"`, 'body'],
  ['an array', '/switch', '["claims"]', 'group'],
  ['no body', '/switch', '', 'group'],
  [
    'a number as a name',
    '/switch',
    JSON.stringify({...SWITCH, group: 7}),
    'group',
  ],
  ['a missing field', '/switch', '{"group":"claims"}', 'databaseId'],
])('answers %s with 400, the field and a remedy', async (...input) => {
  const [, path, body, field] = input;
  const answer = await request(path, body);
  const error = expect.stringMatching(/\w/);
  expect(answer).toEqual({status: 400, body: {error, field, remedy: error}});
  expect(lines).toEqual([]);
  expect(switchPrimary).not.toHaveBeenCalled();
});

test('answers an internal error with 500 and logs it', async () => {
  switchPrimary.mockRejectedValue(new TypeError('a home broke'));
  expect(await request('/switch', JSON.stringify(SWITCH))).toEqual({
    status: 500,
    body: {error: 'a home broke'},
  });
  expect(lines.join('')).toMatch(
    /level=error event=adminRequestFailed route="POST \/switch" message="a home broke"\n$/,
  );
});

test('answers with 500 if a result can not be encoded as JSON', async () => {
  switchPrimary.mockResolvedValue({term: 1n});
  const {status} = await request('/switch', JSON.stringify(SWITCH));
  expect(status).toBe(500);
  expect(lines).toHaveLength(1);
});

test('answers an unknown path or group with 404', async () => {
  const known = expect.arrayContaining(['GET /ready']);
  expect(await request('/nothing')).toMatchObject({status: 404, body: {known}});
  const body = JSON.stringify({...SWITCH, group: 'lab'});
  const {status} = await request('/switch', body);
  expect(status).toBe(404);
});

test('reports the shares of a budget as fractions of 1', async () => {
  expect((await request('/budgets')).body).toEqual([
    {team: 'lab', epoch: 2, share: {rate: 1, burst: 0.25}, tokens: 7.3},
  ]);
});
