import {afterEach, describe, expect, it} from 'vitest';
import {CatalogDecoder} from '../../platform/catalog.js';
import {createLogger} from '../../src/telemetry/log.js';
import {Platform, sleep, waitUntil} from './fixture.js';

/** Depth that exhausts the stack of a recursive reader. */
const DEPTH = 200_000;

/** An announcement as a database writes it. */
const SOUND = {
  service: 'claims',
  address: '127.0.0.1:6001',
  zone: 'hobart',
  version: 'v1',
  slots: 2,
  state: 'ready',
  cold_remaining_ms: 0,
  sequence: 7,
  born: 1_700_000_000_000,
  db_role: 'primary',
};

/** The announcement with fields in raw JSON, which may hold any number. */
function withRaw(fields: Readonly<Record<string, string>>): string {
  const known = Object.entries(SOUND)
    .filter(([name]) => !(name in fields))
    .map(([name, value]) => `${JSON.stringify(name)}:${JSON.stringify(value)}`);
  const raw = Object.entries(fields).map(([name, text]) => `"${name}":${text}`);
  return `{${[...known, ...raw].join(',')}}`;
}

function nested(open: string, close: string): string {
  return open.repeat(DEPTH) + close.repeat(DEPTH);
}

const DEEP_LIST = nested('[', ']');
const DEEP_OBJECT = `${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}`;

/** Entries that name no database to use, by what is odd about them. */
const ODD_ENTRIES: readonly (readonly [string, string])[] = [
  ['nothing', ''],
  ['no JSON', '{"service":'],
  ['a byte order mark', `\ufeff${withRaw({})}`],
  ['null', 'null'],
  ['a number', '1e400'],
  ['a list', '[]'],
  ['lists in depth', DEEP_LIST],
  ['lists in depth that do not end', '['.repeat(DEPTH)],
  ['objects in depth', DEEP_OBJECT],
  ['a deep list for its slots', withRaw({slots: DEEP_LIST})],
  ['a deep object for its address', withRaw({address: DEEP_OBJECT})],
  ['a deep object for its zone', withRaw({zone: DEEP_OBJECT})],
  ...['65536', '70000', '99999', '100000', '0', '-1', '', '6e3', '0x10'].map(
    port =>
      [
        `the port "${port}"`,
        withRaw({address: JSON.stringify(`127.0.0.1:${port}`)}),
      ] as const,
  ),
  ...['', ':6001', 'a b:6001', '127.0.0.1', '127.0.0.1:1:2', '\r\n:6001'].map(
    address =>
      [
        `the address ${JSON.stringify(address)}`,
        withRaw({address: JSON.stringify(address)}),
      ] as const,
  ),
  ...['1e400', '-1e400', '1e308', '1e15', '4294967296', '-1', '0', '1.5'].map(
    slots => [`${slots} slots`, withRaw({slots})] as const,
  ),
  ...['1e400', '1e300', '-1', '1.5', '9007199254740993', '"7"'].map(
    sequence => [`the sequence ${sequence}`, withRaw({sequence})] as const,
  ),
  ...['1e400', '1e300', '1.5', '9007199254740993', '"x"'].map(
    born => [`the start time ${born}`, withRaw({born})] as const,
  ),
  ...['1e400', '-1', '1e300', '9007199254740993'].map(
    ms =>
      [`${ms} ms left to be cold`, withRaw({cold_remaining_ms: ms})] as const,
  ),
  ['an unknown state', withRaw({state: '"resting"'})],
  ['an unknown role', withRaw({db_role: '"leader"'})],
  ['no service', withRaw({service: '""'})],
  ['a service with a line break', withRaw({service: '"a\\r\\nb"'})],
];

/** Sound announcements with fields that no page names, and extreme values. */
const SOUND_ENTRIES: readonly (readonly [string, string])[] = [
  ['a deep list in an unknown field', withRaw({other: DEEP_LIST})],
  ['a deep object in an unknown field', withRaw({other: DEEP_OBJECT})],
  ['a number too large in an unknown field', withRaw({other: '1e400'})],
  ['the last port', withRaw({address: '"127.0.0.1:65535"'})],
  ['a field named __proto__', withRaw({__proto__x: '{}'})],
];

describe('the decoder of announcements', () => {
  const decode = (value: string, key = 'servers/odd') => {
    const lines: string[] = [];
    const log = createLogger('info', {}, line => lines.push(line));
    const at = {era: 0, revision: 9};
    const change = new CatalogDecoder(log).decode({key, value, at});
    const entry = change?.kind === 'database' ? change.entry : undefined;
    return {change, entry, lines};
  };

  it.each(ODD_ENTRIES)('uses no database with %s, and logs why', (_, value) => {
    const {change, entry, lines} = decode(value);
    expect(change?.kind).toBe('database');
    expect(entry).toBeUndefined();
    expect(lines).toHaveLength(1);
    expect(lines[0]).toContain('event=storeValueRejected');
    expect(lines[0]!.length).toBeLessThan(1_000);
  });

  it.each(SOUND_ENTRIES)('uses a database with %s', (_, value) => {
    expect(decode(value).entry).toMatchObject({id: 'odd', group: 'claims'});
  });

  it.each(['servers/', 'servers/a b', 'servers/a\r\nQUERY - STEPDOWN 9'])(
    'uses no database under the key %j',
    key => {
      expect(decode(withRaw({}), key).entry).toBeUndefined();
    },
  );
});

describe('nodes that read odd entries among those of the databases', () => {
  let platform: Platform;
  afterEach(() => platform.stop());

  const putOdd = () => {
    for (const [n, [, value]] of [...ODD_ENTRIES, ...SOUND_ENTRIES].entries())
      platform.store.put(`servers/odd-${n}`, value);
    for (const key of ['servers/', 'servers/a b', 'servers/__proto__'])
      platform.store.put(key, withRaw({}));
  };

  /** Whether all nodes follow a change that is written now. */
  const expectFollowed = async (version: number) => {
    platform.configure({version});
    await waitUntil(() =>
      platform.nodes.every(
        ({node}) => node.gauges.catalogVersion() === version,
      ),
    );
  };

  it('follow later changes and serve at the sound databases', async () => {
    platform = await Platform.start(3);
    putOdd();
    await expectFollowed(2);
    for (const at of [0, 1, 2]) {
      const client = await platform.session('now red-key', at);
      await expect
        .poll(async () => (await client.query(`WRITE a ${at}`)).end)
        .toMatch(/^DONE claims-0/);
      expect((await client.query('READ a')).rows).toEqual([String(at)]);
    }
    await expectFollowed(3);
  });

  it('start while the entries are there', async () => {
    platform = await Platform.start(1);
    putOdd();
    await platform.addNode();
    await platform.waitUntilSettled();
    await expectFollowed(2);
    const client = await platform.session('own red-key', 1);
    await expect
      .poll(async () => (await client.query('WRITE a 1')).end)
      .toMatch(/^DONE claims-0/);
  });

  // After a sequence too large, no later announcement counted as newer.
  it('use a database again that announces itself after an odd entry of its own', async () => {
    platform = await Platform.start(1);
    const [primary] = platform.group.databases;
    const key = `servers/${primary!.id}`;
    const known = platform.store.get(key)!;
    const client = await platform.session('now red-key');
    const odd = ['1e400', '9007199254740991', '4000000000'];
    for (const [n, sequence] of odd.entries()) {
      const huge = known.replace(/"sequence":\d+/, `"sequence":${sequence}`);
      platform.store.put(key, huge.replace('"primary"', '"replica"'));
      await sleep(700);
      const beats = [1, 2, 3].map(beat => 100 + 10 * n + beat);
      for (const beat of beats) {
        const next = known.replace(/"sequence":\d+/, `"sequence":${beat}`);
        platform.store.put(key, next.replace('"slots":2', `"slots":${3 + n}`));
        await sleep(700);
      }
      const [announced] = platform.nodes[0]!.lines.filter(line =>
        line.includes('event=databaseAnnounced'),
      ).slice(-1);
      expect(announced, `after the sequence ${sequence}`).toMatch(
        /role=primary/,
      );
    }
    expect((await client.query('WRITE a 1')).end).toMatch(/^DONE claims-0/);
  }, 20_000);
});
