import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {useHarness} from './harness.js';
import {codesOf, rowsOf, typesOf} from './wire-client.js';
import {expectSqlstate} from '../fakes/failures.js';

const INSERT = 'INSERT INTO claims (id, team, value) VALUES ($1, $2, $3)';
const READ = 'SELECT id, value FROM claims WHERE id = $1';

describe('queries', () => {
  const harness = useHarness();

  it('answers simple queries, also with several statements', async () => {
    const client = await harness.connect();
    const results = (await client.query(
      "INSERT INTO claims (id, team, value) VALUES ('s1', 'it''s', 3); SELECT id, team, value FROM claims WHERE id = 's1'",
    )) as unknown as readonly {rows: unknown[]}[];
    expect(results[1]?.rows).toEqual([{id: 's1', team: "it's", value: '3'}]);
    expect((await client.query('')).rows).toEqual([]);
  });

  it('binds parameters', async () => {
    const client = await harness.connect();
    await client.query(INSERT, ['p1', 'red', 7]);
    const read = await client.query(READ, ['p1']);
    expect(read.rows).toEqual([{id: 'p1', value: '7'}]);
  });

  it('reuses a named statement across batches and connections', async () => {
    const insert = {name: 'insert', text: INSERT};
    const read = {name: 'read', text: READ};
    for (const round of ['a', 'b', 'c']) {
      const client = await harness.connect();
      for (const n of [1, 2, 3]) {
        const id = `n-${round}-${n}`;
        await client.query({...insert, values: [id, 'red', n]});
        const res = await client.query({...read, values: [id]});
        expect(res.rows).toEqual([{id, value: String(n)}]);
      }
      await client.end();
    }
  });

  it('answers pipelined batches in order', async () => {
    const wire = await harness.logInWire();
    const batches = Array.from({length: 20}, (_, n) => [
      serialize.parse({text: 'SELECT generate_series(1, $1)'}),
      serialize.bind({values: [String(n + 1)]}),
      serialize.describe({type: 'P'}),
      serialize.execute(),
      serialize.sync(),
    ]).flat();
    wire.send(...batches);
    for (let n = 1; n <= 20; n++) {
      const frames = await wire.readUntil('Z');
      expect(rowsOf(frames)).toHaveLength(n);
      expect(typesOf(frames)).toBe(`12T${'D'.repeat(n)}CZ`);
    }
  });

  it('hides the ParseComplete of a repeated Parse of a named statement', async () => {
    const wire = await harness.logInWire();
    wire.send(
      serialize.parse({name: 'one', text: 'SELECT 1'}),
      serialize.parse({name: 'two', text: 'SELECT generate_series(1, 2)'}),
      serialize.sync(),
    );
    expect(typesOf(await wire.readUntil('Z'))).toBe('11Z');
    wire.send(
      serialize.bind({statement: 'two'}),
      serialize.execute(),
      serialize.bind({statement: 'one'}),
      serialize.execute(),
      serialize.sync(),
    );
    const frames = await wire.readUntil('Z');
    expect(typesOf(frames)).toBe('2DDC2DCZ');
    expect(rowsOf(frames)).toEqual(['1', '2', '1']);
  });

  it('fails a batch with an unknown statement and keeps the session', async () => {
    const wire = await harness.logInWire();
    wire.send(
      serialize.bind({statement: 'missing'}),
      serialize.execute(),
      serialize.sync(),
    );
    const frames = await wire.readUntil('Z');
    expect(codesOf(frames)).toEqual(['26000']);
    expect(rowsOf(await wire.query('SELECT 1'))).toEqual(['1']);
  });

  it('forwards errors with their SQLSTATE', async () => {
    const client = await harness.connect();
    await client.query(INSERT, ['e1', 'red', 1]);
    await expectSqlstate(client.query(INSERT, ['e1', 'red', 1]), '23505');
    await expectSqlstate(client.query(INSERT, ['e2', 'red', 'x']), '22P02');
    expect((await client.query('SELECT 1')).rowCount).toBe(1);
  });

  it('refuses SQL that does not parse', async () => {
    const client = await harness.connect();
    await expectSqlstate(client.query('SELEC 1'), '42601');
    await expectSqlstate(client.query('SELEC $1', [1]), '42601');
    expect((await client.query('SELECT 1')).rowCount).toBe(1);
  });

  it.each([
    'COPY claims FROM STDIN',
    'LISTEN claims',
    'CREATE TEMP TABLE t (id text)',
  ])('refuses %s and keeps the session', async sql => {
    const client = await harness.connect();
    await expectSqlstate(client.query(sql), '0A000');
    expect((await client.query('SELECT 1')).rowCount).toBe(1);
  });
});
