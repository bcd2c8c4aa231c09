import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {formatPosition, type Position} from '../../src/session/position.js';
import {PgDatabaseControl} from '../../src/targets/database-control.js';
import type {PgTargetConnection} from '../../src/targets/pg-connection.js';
import {queryRows} from '../../src/targets/query-rows.js';
import {MAX_BATCH_ENTRIES} from '../../standins/database/replication-messages.js';
import {
  createDatabaseGroup,
  type Database,
  type DatabaseOptions,
} from '../../standins/database/index.js';
import {createDatabaseSpec} from '../fakes/database-spec.js';
import {expectFailure, expectSqlstate} from '../fakes/failures.js';
import {
  closeLater,
  connectTarget,
  CREDENTIALS,
  TIMEOUT_MS,
  until,
} from './fixture.js';

/**
 * Timeout of calls that are expected to time out. A fifth of it is left for the
 * reply, which a process that is busy for 150 ms needs more than 100 ms for.
 */
const SHORT_MS = 2_500;

let databases: readonly Database[] = [];

async function start(options: Partial<DatabaseOptions> = {}) {
  databases = await createDatabaseGroup(3, {
    connectCostMs: 0,
    serviceMs: 0,
    lagMs: 0,
    ...options,
  });
  closeLater(() => Promise.all(databases.map(database => database.close())));
  await until(() => databases.every(({member}) => member.term === 1));
  return databases.map(createControl) as [
    PgDatabaseControl,
    PgDatabaseControl,
    PgDatabaseControl,
  ];
}

function createControl({id, port}: Database): PgDatabaseControl {
  const spec = createDatabaseSpec(id, {port});
  const control = new PgDatabaseControl(spec, CREDENTIALS);
  closeLater(() => control.close());
  return control;
}

function connect(index: number): Promise<PgTargetConnection> {
  return connectTarget(databases[index]!.port);
}

async function order(index: number, path: string, body: unknown) {
  const url = `http://127.0.0.1:${databases[index]!.adminPort}/${path}`;
  const res = await fetch(url, {method: 'POST', body: JSON.stringify(body)});
  expect(res.status).toBe(200);
}

function insert(id: string): string {
  return `INSERT INTO t (id, team, value) VALUES ('${id}', 'x', 1)`;
}

const readIds = async (connection: PgTargetConnection) =>
  (await queryRows(connection, 'SELECT id FROM t')).map(row => row['id']);

/** Waits until the replicas hold the log up to `position`. */
async function confirmAll(
  replicas: readonly PgDatabaseControl[],
  position: Position,
) {
  for (const database of replicas)
    await database.confirm(1, position, TIMEOUT_MS);
}

/** Fences these replicas and promotes the first to primary of term 2. */
async function failOver(replicas: readonly PgDatabaseControl[]) {
  for (const database of replicas) await database.fence(2, 'vm1', TIMEOUT_MS);
  expect(await replicas[0]!.promote(2, 'vm1', TIMEOUT_MS)).toBe(true);
}

describe('database group', () => {
  it('replicates an entry and applies it after the replica lag', async () => {
    const [, replica] = await start({lagMs: 60_000});
    const writer = await connect(0);
    const reader = await connect(1);
    await queryRows(writer, insert('a'));
    const position = {term: 1, offset: 2};
    expect(await replica.confirm(1, position, TIMEOUT_MS)).toEqual({
      kind: 'confirmed',
      received: position,
    });
    expect(await readIds(reader)).toEqual([]);
    expect((await replica.status(TIMEOUT_MS)).applied.offset).toBe(0);
    await order(1, 'lag', {ms: 0});
    expect(await readIds(reader)).toEqual(['a']);
  });

  it('refuses writes on a replica', async () => {
    await start();
    const reader = await connect(1);
    await expect(queryRows(reader, insert('a'))).rejects.toMatchObject({
      kind: 'refused',
      code: '25006',
    });
  });

  it('grants a term to one orderer and promotes only for that orderer', async () => {
    const [, replica] = await start();
    expect(await replica.promote(2, 'vm1', TIMEOUT_MS)).toBe(false);
    expect(await replica.promote(1, 'initial', TIMEOUT_MS)).toBe(false);
    expect(await replica.fence(1, 'vm1', TIMEOUT_MS)).toEqual({
      kind: 'refused',
      fencedTerm: 1,
    });
    for (let repeat = 0; repeat < 2; repeat++) {
      expect(await replica.fence(2, "vm'1", TIMEOUT_MS)).toMatchObject({
        kind: 'fenced',
        status: {role: 'replica', term: 1, fencedTerm: 2, fencedBy: "vm'1"},
      });
    }
    expect(await replica.fence(2, 'vm2', TIMEOUT_MS)).toMatchObject({
      kind: 'refused',
    });
    expect(await replica.promote(2, 'vm2', TIMEOUT_MS)).toBe(false);
    expect(await replica.promote(2, "vm'1", TIMEOUT_MS)).toBe(true);
    expect(await replica.promote(2, "vm'1", TIMEOUT_MS)).toBe(true);
    expect(await replica.status(TIMEOUT_MS)).toMatchObject({
      role: 'primary',
      applied: {term: 2, offset: 2},
    });
  });

  it('truncates the unreplicated tail of an old primary', async () => {
    const [, ...replicas] = await start();
    const old = await connect(0);
    await queryRows(old, insert('kept'));
    const kept = {term: 1, offset: 2};
    await confirmAll(replicas, kept);
    await order(0, 'partition', {from: ['db2', 'db3']});
    await queryRows(old, insert('lost'));
    await queryRows(old, insert('lost too'));
    await failOver(replicas);
    await queryRows(await connect(1), insert('new'));
    expect(await readIds(old)).toEqual(['kept', 'lost', 'lost too']);
    await order(0, 'partition', {from: []});
    await until(() => databases[0]!.member.term === 2);
    await until(() => databases[0]!.member.applied.offset === 4);
    expect(await readIds(old)).toEqual(['kept', 'new']);
    expect(databases[0]!.member.status()).toMatchObject({
      role: 'replica',
      received: {term: 2, offset: 4},
    });
  });

  it('truncates a tail after more shared entries than fit one batch', async () => {
    const [, ...replicas] = await start();
    const old = await connect(0);
    const shared = MAX_BATCH_ENTRIES + 10;
    for (let i = 0; i < shared; i++) await queryRows(old, insert(`kept ${i}`));
    const kept = {term: 1, offset: shared + 1};
    await confirmAll(replicas, kept);
    await order(0, 'partition', {from: ['db2', 'db3']});
    await queryRows(old, insert('lost'));
    await failOver(replicas);
    await order(0, 'partition', {from: []});
    await until(() => databases[0]!.member.applied.term === 2);
    expect(await readIds(old)).not.toContain('lost');
  });

  it('applies all received entries before it becomes primary', async () => {
    const [, replica] = await start({lagMs: 60_000});
    await queryRows(await connect(0), insert('a'));
    await confirmAll([replica], {term: 1, offset: 2});
    await failOver([replica]);
    expect(await readIds(await connect(1))).toEqual(['a']);
  });

  it('fails transactions that are open when the primary is fenced', async () => {
    const [primary] = await start();
    const writer = await connect(0);
    const other = await connect(0);
    for (const connection of [writer, other]) {
      await queryRows(connection, `BEGIN; ${insert('a')}`);
    }
    await primary.fence(2, 'vm1', TIMEOUT_MS);
    await expectSqlstate(queryRows(other, 'SELECT 1'), '57P01');
    expect(other.transaction).toBe('failed');
    await expectSqlstate(queryRows(writer, 'COMMIT'), '57P01');
    expect(writer.transaction).toBe('idle');
    await expectSqlstate(queryRows(writer, insert('b')), '25006');
    expect(databases[0]!.member.log.length).toBe(1);
  });

  it('confirms only for the term it follows, until fenced at a higher term', async () => {
    const [, replica] = await start();
    const ahead = {term: 1, offset: 9};
    expect(await replica.confirm(1, ahead, SHORT_MS)).toEqual({
      kind: 'timeout',
      received: {term: 1, offset: 1},
    });
    const waiting = replica.confirm(1, ahead, TIMEOUT_MS);
    expect(await replica.fence(2, 'vm1', TIMEOUT_MS)).toMatchObject({
      kind: 'fenced',
    });
    expect(await waiting).toEqual({kind: 'fenced', fencedTerm: 2});
    expect(await replica.confirm(1, {term: 1, offset: 1}, TIMEOUT_MS)).toEqual({
      kind: 'fenced',
      fencedTerm: 2,
    });
    expect(
      await replica.confirm(2, {term: 1, offset: 1}, SHORT_MS),
    ).toMatchObject({
      kind: 'timeout',
    });
  });

  it('reports the position before an answer and after a commit', async () => {
    await start();
    const writer = await connect(0);
    const run = async (sql: string) => {
      const starts: string[] = [];
      const end = await writer.run(serialize.query(sql), {
        onStart: position =>
          Boolean(starts.push(position ? formatPosition(position) : '')),
        onFrames: () => {},
      });
      return [...starts, end.position && formatPosition(end.position)];
    };
    expect(await run(insert('a'))).toEqual(['1/1', '1/2']);
    expect(await run(`BEGIN; ${insert('b')}`)).toEqual(['1/2', '1/2']);
    expect(await run('COMMIT')).toEqual(['1/2', '1/3']);
    expect(await run('SELECT * FROM t')).toEqual(['1/3', '1/3']);
  });

  it('reports upstream silence in a partition, freezes and goes silent on request', async () => {
    const [, replica] = await start();
    await order(1, 'partition', {from: ['db1']});
    await until(() => databases[1]!.member.status().upstreamSilentMs > 150);
    expect((await replica.status(TIMEOUT_MS)).upstreamSilentMs).toBeGreaterThan(
      150,
    );
    await order(1, 'freeze', {ms: 60_000});
    await expectFailure(replica.status(SHORT_MS), 'lost');
    await order(1, 'freeze', {ms: 0});
    await expect(replica.status(TIMEOUT_MS)).resolves.toBeDefined();
    await order(1, 'silence', {});
    await expectFailure(replica.status(SHORT_MS), 'lost');
    await expect(replica.status(TIMEOUT_MS)).resolves.toBeDefined();
  });
});
