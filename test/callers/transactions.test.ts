import {afterEach, describe, expect, it, vi} from 'vitest';
import {useHarness, type TestClient} from './harness.js';
import {expectSqlstate} from '../fakes/failures.js';

const INSERT = 'INSERT INTO claims (id, team, value) VALUES ($1, $2, $3)';
const WAIT_OPTIONS = {timeout: 5_000, interval: 10};

describe('transactions', () => {
  const harness = useHarness();
  afterEach(() => {
    harness.access.cutOff = false;
    harness.admission.refuseWithRetryMs = undefined;
  });

  async function countOf(client: TestClient, id: string): Promise<string> {
    const sql = 'SELECT count(*) FROM claims WHERE id = $1';
    const {rows} = await client.query(sql, [id]);
    return (rows[0] as {count: string}).count;
  }

  /** Number of running batches and open transactions at the home. */
  async function countActive(): Promise<number> {
    return harness.node.homes.active;
  }

  it('commits and rolls back', async () => {
    const client = await harness.connect();
    for (const [end, count] of [
      ['COMMIT', '1'],
      ['ROLLBACK', '0'],
    ] as const) {
      await client.query('BEGIN');
      await client.query(INSERT, [`end-${end}`, 'red', 1]);
      await client.query(end);
      expect(await countOf(client, `end-${end}`)).toBe(count);
    }
    expect(await countActive()).toBe(0);
  });

  it('counts each statement, also in a batch, as read, write or transaction', async () => {
    const client = await harness.connect();
    const before = harness.node.samples.length;
    const read = 'SELECT count(*) FROM claims';
    const write = "INSERT INTO claims (id, team, value) VALUES ('k', 'red', 1)";
    for (const sql of [
      read,
      write,
      `${read}; ${read}; ${read}`,
      `${read}; ${write.replace("'k'", "'l'")}`,
      'BEGIN',
      read,
      'COMMIT',
      `BEGIN; ${read}; COMMIT`,
      read,
    ]) {
      await client.query(sql);
    }
    const samples = harness.node.samples.slice(before);
    expect(samples.map(({kind, statements}) => [kind, statements])).toEqual([
      ['read', 1],
      ['write', 1],
      ['read', 3],
      ['write', 2],
      ['transaction', 1],
      ['transaction', 1],
      ['transaction', 1],
      ['transaction', 3],
      ['read', 1],
    ]);
  });

  it('makes uncommitted writes visible to their own session only', async () => {
    const client = await harness.connect();
    const other = await harness.connect();
    await client.query('BEGIN');
    await client.query(INSERT, ['own', 'red', 1]);
    expect(await countOf(client, 'own')).toBe('1');
    expect(await countOf(other, 'own')).toBe('0');
    await client.query('ROLLBACK');
  });

  it('refuses statements after an error until the transaction ends', async () => {
    const client = await harness.connect();
    await client.query('BEGIN');
    await client.query(INSERT, ['failed', 'red', 1]);
    await expectSqlstate(client.query(INSERT, ['failed', 'red', 'x']), '22P02');
    await expectSqlstate(client.query('SELECT 1'), '25P02');
    expect((await client.query('COMMIT')).command).toBe('ROLLBACK');
    expect(await countOf(client, 'failed')).toBe('0');
  });

  it.each(['SELEC 1', 'LISTEN claims', 'SET zinnia.priority = nonsense'])(
    'aborts the transaction on %s as a database would',
    async sql => {
      const client = await harness.connect();
      const id = `refused-${sql}`;
      await client.query('BEGIN');
      await client.query(INSERT, [id, 'red', 1]);
      await expect(client.query(sql)).rejects.toThrow();
      await expectSqlstate(client.query('SELECT 1'), '25P02');
      expect((await client.query('COMMIT')).command).toBe('ROLLBACK');
      expect(await countOf(client, id)).toBe('0');
    },
  );

  it('keeps no transaction open behind a ROLLBACK that a cut-off node refuses', async () => {
    const client = await harness.connect();
    const other = await harness.connect();
    await client.query('BEGIN');
    await client.query(INSERT, ['cut-1', 'red', 1]);
    harness.access.cutOff = true;
    await expectSqlstate(client.query(INSERT, ['cut-2', 'red', 1]), '57P03');
    await client.query('ROLLBACK');
    harness.access.cutOff = false;
    await client.query(INSERT, ['after-cut', 'red', 1]);
    expect(await countOf(other, 'after-cut')).toBe('1');
    expect(await countOf(other, 'cut-1')).toBe('0');
    expect(await countActive()).toBe(0);
  });

  it('is rolled back and over when its COMMIT is refused', async () => {
    const client = await harness.connect();
    const other = await harness.connect();
    await client.query('BEGIN');
    await client.query(INSERT, ['refused-commit', 'red', 1]);
    harness.access.cutOff = true;
    await expectSqlstate(client.query('COMMIT'), '57P03');
    harness.access.cutOff = false;
    await client.query(INSERT, ['after-commit', 'red', 1]);
    expect(await countOf(other, 'after-commit')).toBe('1');
    expect(await countOf(other, 'refused-commit')).toBe('0');
    expect(await countActive()).toBe(0);
  });

  it('commits nothing after a statement of it was refused', async () => {
    const client = await harness.connect();
    await client.query('BEGIN');
    await client.query(INSERT, ['half-1', 'red', 1]);
    harness.admission.refuseWithRetryMs = 10;
    await expectSqlstate(client.query(INSERT, ['half-2', 'red', 1]), '53400');
    harness.admission.refuseWithRetryMs = undefined;
    expect((await client.query('COMMIT')).command).toBe('ROLLBACK');
    expect(await countOf(client, 'half-1')).toBe('0');
  });

  it('rolls back for a caller lost in a transaction and keeps the connection', async () => {
    const wire = await harness.connectWire();
    await wire.logIn();
    await wire.query('BEGIN');
    await wire.query(
      "INSERT INTO claims (id, team, value) VALUES ('lost', 'red', 1)",
    );
    expect(await countActive()).toBe(1);
    wire.destroy();
    await vi.waitFor(
      async () => expect(await countActive()).toBe(0),
      WAIT_OPTIONS,
    );
    const client = await harness.connect();
    expect(await countOf(client, 'lost')).toBe('0');
    await client.query(INSERT, ['lost', 'red', 2]);
    expect(await countOf(client, 'lost')).toBe('1');
  });

  it('rolls back for a caller lost while its statement runs', async () => {
    const wire = await harness.connectWire();
    await wire.logIn();
    await wire.query('BEGIN');
    void wire.query('SELECT pg_sleep(0.2)').catch(() => {});
    await vi.waitFor(
      () => expect(harness.node.homes.active).toBe(1),
      WAIT_OPTIONS,
    );
    wire.destroy();
    await vi.waitFor(
      async () => expect(await countActive()).toBe(0),
      WAIT_OPTIONS,
    );
  });

  it('never mixes two sessions that interleave', async () => {
    const clients = await Promise.all([
      harness.connect({team: 'red'}),
      harness.connect({team: 'blue'}),
      harness.connect({team: 'red'}),
    ]);
    await Promise.all(clients.map(client => client.query('BEGIN')));
    for (const round of [1, 2, 3]) {
      await Promise.all(
        clients.map((client, n) =>
          client.query(INSERT, [`mix-${n}-${round}`, 'red', round]),
        ),
      );
    }
    for (const [n, client] of clients.entries()) {
      for (const m of clients.keys()) {
        const own = n === m ? '1' : '0';
        expect(await countOf(client, `mix-${m}-1`)).toBe(own);
      }
    }
    await clients[0]?.query('COMMIT');
    await clients[1]?.query('ROLLBACK');
    await clients[2]?.query('COMMIT');
    const reader = await harness.connect();
    for (const [n, count] of ['3', '0', '3'].entries()) {
      const ids = [1, 2, 3].map(round => countOf(reader, `mix-${n}-${round}`));
      const found = (await Promise.all(ids)).filter(
        rows => rows === '1',
      ).length;
      expect(String(found)).toBe(count);
    }
  });

  it('never swaps answers between many sessions', async () => {
    const clients = await Promise.all(
      Array.from({length: 24}, () => harness.connect()),
    );
    await Promise.all(
      clients.map(async (client, n) => {
        await client.query(INSERT, [`own-${n}`, 'red', n]);
        for (let round = 0; round < 25; round++) {
          const sql = 'SELECT id, value FROM claims WHERE id = $1';
          const {rows} = await client.query(sql, [`own-${n}`]);
          expect(rows).toEqual([{id: `own-${n}`, value: String(n)}]);
        }
      }),
    );
  });
});
