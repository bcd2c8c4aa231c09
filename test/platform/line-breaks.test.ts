import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {Platform} from './fixture.js';
import {LineClient} from './line-client.js';

/** Data that a reader of single line feeds takes for messages. */
const ADDRESS = '12 Elizabeth St\nHobart';
const STATEMENT = 'x\nQUERY w9 WRITE other paid-twice';
const ANSWER = 'x\nDONE paid\nREADY I 1.1';
const BARE = ['\n', '\r', 'a\r\rb', '\r \n', 'x\r', '\ny', 'h\u00f6'] as const;
const DATA = [ADDRESS, STATEMENT, ANSWER, ...BARE] as const;

describe('data with a line feed or a carriage return', () => {
  let platform: Platform;
  beforeEach(async () => {
    platform = await Platform.start(2);
  });
  afterEach(() => platform.stop());

  /** Texts of the writes that the primary ran, without their prefix. */
  const writes = () =>
    platform.group.primary.runs
      .map(({text}) => text)
      .filter(text => /^(WRITE|EXECUTE)/.test(text));

  // The text was cut at the line feed, and the rest ran as a statement.
  it.each(['now', 'own'])(
    'is written and read unchanged on route %s, at each node',
    async route => {
      for (const at of [0, 1]) {
        const client = await platform.session(`${route} red-key`, at);
        for (const data of DATA) {
          const {end} = await client.query(`WRITE item ${data}`);
          expect(end).toMatch(/^DONE claims-0\.r\d+$/);
          expect(writes().at(-1)).toBe(`WRITE item ${data}`);
          const read = await client.query('READ item');
          expect(read.rows).toEqual([data]);
          expect(read.end).toMatch(/^DONE claims-\d\.r\d+$/);
        }
        client.close();
      }
      expect(writes()).toHaveLength(2 * DATA.length);
    },
  );

  it('is unchanged in a transaction, a prepared statement and a session value', async () => {
    const client = await platform.session('now red-key', 1);
    await client.query('PREPARE s WRITE shape\nof two lines');
    await client.query(`SET colour ${ANSWER}`);
    await client.query('BEGIN');
    for (const data of DATA) {
      expect((await client.query(`WRITE a ${data}`)).state).toBe('T');
      expect((await client.query('READ a')).rows).toEqual(['']);
    }
    await client.query(`EXECUTE s b ${STATEMENT}`);
    expect((await client.query('COMMIT')).end).toMatch(/^DONE claims-0/);
    const {primary} = platform.group;
    expect(primary.latestValueOf('b')).toBe(STATEMENT);
    expect(primary.latestValueOf('other')).toBe('');
    expect(writes()).toHaveLength(DATA.length + 1);
    expect(primary.runs.at(-1)?.values).toBe(`colour=${ANSWER}`);
    expect(primary.requests.map(({line}) => line)).toContainEqual(
      expect.stringMatching(/^QUERY - PREPARE \S+ WRITE shape\nof two lines$/),
    );
  });

  it('is unchanged wherever its bytes are cut', async () => {
    const client = await platform.session('now red-key');
    const message = `QUERY cut WRITE item ${STATEMENT}\r\n`;
    for (let at = 1; at < message.length; at++) {
      client.sendBytes(message.slice(0, at));
      await new Promise(resolve => setImmediate(resolve));
      client.sendBytes(message.slice(at));
      expect(await client.nextLine()).toBe('DONE claims-0.cut');
      expect(await client.nextLine()).toBe('READY I -');
    }
    const expected = message.slice('QUERY cut '.length, -2);
    expect(new Set(writes())).toEqual(new Set([expected]));
    expect(writes()).toHaveLength(message.length - 1);
  });

  it('is an error, and nothing runs, where a keyword or a name is expected', async () => {
    const client = await platform.session('now red-key');
    for (const text of ['READ\nitem', 'COMMIT\nx', 'BEGIN\n', 'ROLLBACK\r']) {
      const {end} = await client.query(text);
      expect(end, JSON.stringify(text)).toMatch(/^ERROR MALFORMED/);
    }
    expect(platform.group.primary.runs).toEqual([]);
    const {port} = platform.nodes[0]!;
    const {hello} = await LineClient.open(port, 'now\nred-key x');
    expect(hello).toMatch(/^ERROR NODB .*"now red-key"/);
  });
});
