import {afterEach, describe, expect, it} from 'vitest';
import {LineClient} from './line-client.js';
import {Platform, waitUntil} from './fixture.js';

let platform: Platform;
afterEach(() => platform.stop());

describe('sessions over the line protocol', () => {
  it('read their own writes at any node', async () => {
    platform = await Platform.start(3, {lagMs: 150});
    for (const at of [0, 1, 2]) {
      const client = await platform.session('own red-key', at);
      for (let n = 0; n < 10; n++) {
        const {end} = await client.query(`WRITE item${at} value${n}`);
        expect(end).toMatch(/^DONE claims-0/);
        const {rows} = await client.query(`READ item${at}`);
        expect(rows).toEqual([`value${n}`]);
      }
      client.close();
    }
  });

  it('are refused for an unknown database or key, with an error that names the database', async () => {
    platform = await Platform.start(1);
    const {port} = platform.nodes[0]!;
    const noDatabase = await LineClient.open(port, 'elsewhere red-key');
    expect(noDatabase.hello).toMatch(/^ERROR NODB .*"elsewhere"/);
    const noKey = await LineClient.open(port, 'now other-key');
    expect(noKey.hello).toMatch(/^ERROR NOAUTH .*"now"/);
    const garbage = await LineClient.open(port, '');
    expect(garbage.hello).toMatch(/^ERROR MALFORMED/);
  });

  // Their bytes were read and written as latin1.
  it('find a route, a key and a team whose names are not ASCII', async () => {
    platform = await Platform.start(1);
    const config = platform.store.get('op/config') ?? '';
    const renamed = config
      .replaceAll('"now"', '"agenda-día"')
      .replaceAll('red-key', 'llave-ñ')
      .replaceAll('"red"', '"señor-\u010d\u010a"')
      .replace('"version":1', '"version":2');
    platform.store.put('op/config', renamed);
    const {port, node} = platform.nodes[0]!;
    await waitUntil(() => node.gauges.catalogVersion() === 2);
    const unknown = await LineClient.open(port, 'agenda-díb llave-ñ');
    const quoted = Buffer.from(unknown.hello, 'latin1').toString('utf8');
    expect(quoted).toMatch(/^ERROR NODB .*"agenda-díb"/);
    const client = await platform.session('agenda-día llave-ñ');
    const {end} = await client.query('WRITE a 1');
    expect(end).toMatch(/^DONE claims-0/);
    const team = platform.group.primary.runs.at(-1)?.team ?? '';
    expect(Buffer.from(team, 'latin1').toString('utf8')).toBe(
      'señor-\u010d\u010a',
    );
  });

  it('need no key on a public route', async () => {
    platform = await Platform.start(1);
    const client = await platform.session('open');
    expect((await client.query('READ item')).end).toMatch(/^DONE claims/);
  });

  it('run all statements of a transaction in one database transaction', async () => {
    platform = await Platform.start(2);
    const client = await platform.session('now red-key', 1);
    expect(await client.query('BEGIN')).toMatchObject({
      end: 'DONE -',
      state: 'T',
    });
    await client.query('WRITE a 1');
    await client.query('READ a');
    expect(platform.group.primary.commits).toHaveLength(0);
    const {end, state} = await client.query('COMMIT');
    expect({end: end.slice(0, 13), state}).toEqual({
      end: 'DONE claims-0',
      state: 'I',
    });
    const runs = platform.group.primary.runs.slice(-3);
    expect(new Set(runs.map(run => run.transaction)).size).toBe(1);
    expect(runs.every(run => run.transaction > 0)).toBe(true);
    expect(platform.group.primary.latestValueOf('a')).toBe('1');
  });

  it('roll back on ROLLBACK and when the caller disconnects', async () => {
    platform = await Platform.start(2);
    const client = await platform.session('now red-key');
    await client.query('BEGIN');
    await client.query('WRITE a 1');
    expect(await client.query('ROLLBACK')).toMatchObject({state: 'I'});
    await client.query('BEGIN');
    await client.query('WRITE a 2');
    client.close();
    const other = await platform.session('now red-key');
    expect((await other.query('READ a')).rows).toEqual(['']);
    expect(platform.group.primary.commits).toHaveLength(0);
  });

  it('keep values and prepared names apart on shared connections', async () => {
    platform = await Platform.start(1);
    const [first, second] = [
      await platform.session('now red-key'),
      await platform.session('now red-key'),
    ];
    await first.query('SET colour red');
    await first.query('PREPARE s WRITE shape-one');
    await second.query('PREPARE s READ shape-two');
    await second.query('SET colour blue');
    await second.query('SET size 3');
    for (let n = 0; n < 3; n++) {
      expect((await first.query(`EXECUTE s item data${n}`)).end).toMatch(
        /^DONE c/,
      );
      expect((await second.query('EXECUTE s item')).rows).toEqual([`data${n}`]);
    }
    const {runs} = platform.group.primary;
    const valuesOf = (word: string) =>
      new Set(
        runs.filter(run => run.text.includes(word)).map(run => run.values),
      );
    expect(valuesOf('data')).toEqual(new Set(['colour=red']));
    expect(valuesOf('READ').size + valuesOf('item').size).toBeGreaterThan(0);
    const all = new Set(runs.map(run => run.values));
    expect(all).toEqual(new Set(['colour=red', 'colour=blue,size=3']));
    expect((await first.query('EXECUTE unknown item')).end).toMatch(
      /^ERROR MALFORMED .*"unknown"/,
    );
  });

  it('return an error for invalid statements and stay usable', async () => {
    platform = await Platform.start(1);
    const client = await platform.session('now red-key');
    for (const text of ['JUMP', 'READ', 'BEGIN LATER', 'PREPARE s', 'COMMIT']) {
      expect((await client.query(text)).end, text).toMatch(/^ERROR MALFORMED/);
    }
    expect((await client.query('READ a')).end).toMatch(/^DONE/);
  });
});
