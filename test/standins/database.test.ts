import net from 'node:net';
import pg from 'pg';
import {describe, expect, it} from 'vitest';
import {getJson} from '../../demo/admin-client.js';
import {buildFrame, cString, int32} from '../../src/targets/frames.js';
import type {Database} from '../../standins/database/index.js';
import {expectSqlstate} from '../fakes/failures.js';
import {
  connectClient,
  countStatements,
  startDatabase,
  until,
} from './fixture.js';

let database: Database;

function connect(config?: pg.ClientConfig): Promise<pg.Client> {
  return connectClient(database, config);
}

async function start(options = {}): Promise<pg.Client> {
  database = await startDatabase(options);
  return connect();
}

describe('database stand-in', () => {
  it('answers simple queries with several statements', async () => {
    const client = await start();
    const results = (await client.query(
      "INSERT INTO claims (id, team, value) VALUES ('a', 'it''s; me', 3); SELECT * FROM claims; SELECT 1",
    )) as unknown as pg.QueryResult[];
    expect(results.map(result => result.rows)).toEqual([
      [],
      [{id: 'a', team: "it's; me", value: '3'}],
      [{'?column?': 1}],
    ]);
  });

  it('answers extended queries with parameters', async () => {
    const client = await start();
    const insert =
      'INSERT INTO claims (id, team, value) VALUES ($1, $2, $3) ON CONFLICT (id) DO NOTHING';
    await client.query(insert, ['a', 'tasman', 5]);
    expect((await client.query(insert, ['a', 'tasman', 5])).rowCount).toBe(0);
    await client.query('UPDATE claims SET value = value + $1 WHERE id = $2', [
      2,
      'a',
    ]);
    const read = await client.query(
      'SELECT value FROM claims WHERE team = $1',
      ['tasman'],
    );
    expect(read.rows).toEqual([{value: '7'}]);
    await client.query('DELETE FROM claims WHERE id = $1', ['a']);
    const count = await client.query('SELECT count(*) FROM claims');
    expect(count.rows).toEqual([{count: '0'}]);
  });

  it('isolates, commits and rolls back transactions', async () => {
    const client = await start();
    const other = await connect();
    const count = async () =>
      (await other.query('SELECT count(*) FROM t')).rows[0].count;
    await client.query('BEGIN');
    await client.query("INSERT INTO t (id, team, value) VALUES ('a', 'x', 1)");
    expect((await client.query('SELECT * FROM t')).rowCount).toBe(1);
    expect(await count()).toBe('0');
    await client.query('COMMIT');
    expect(await count()).toBe('1');
    await client.query('BEGIN');
    await client.query("DELETE FROM t WHERE id = 'a'");
    await client.query('ROLLBACK');
    expect(await count()).toBe('1');
  });

  it('reports errors and fails the open transaction', async () => {
    const client = await start();
    const insert = "INSERT INTO t (id, team, value) VALUES ('a', 'x', 1)";
    await expectSqlstate(client.query('VACUUM'), '42601');
    await expectSqlstate(client.query('SELECT $1', [1]), '42601');
    await client.query(insert);
    await client.query('BEGIN');
    await expectSqlstate(client.query(insert), '23505');
    await expectSqlstate(client.query('SELECT 1'), '25P02');
    expect((await client.query('COMMIT')).command).toBe('ROLLBACK');
    expect((await client.query('SELECT 1')).rowCount).toBe(1);
  });

  it('loses none of several concurrent increments', async () => {
    const client = await start({serviceMs: 1, slots: 4});
    await client.query("INSERT INTO t (id, team, value) VALUES ('a', 'x', 0)");
    const others = await Promise.all(Array.from({length: 8}, () => connect()));
    await Promise.all(
      others.map(async other => {
        await other.query('BEGIN');
        await other.query("UPDATE t SET value = value + 1 WHERE id = 'a'");
        await other.query('COMMIT');
      }),
    );
    const {rows} = await client.query('SELECT value FROM t');
    expect(rows).toEqual([{value: '8'}]);
    expect(database.member.log.length).toBe(10);
  });

  it('cancels a running statement', async () => {
    const client = await start();
    const sleeping = client.query('SELECT pg_sleep(20)');
    const {processID, secretKey} = client as unknown as {
      processID: number;
      secretKey: number;
    };
    const canceller = new pg.Client() as unknown as {
      connection: {
        on(event: string, run: () => void): void;
        connect(port: number, host: string): void;
        cancel(processID: number, secretKey: number): void;
      };
    };
    const {connection} = canceller;
    connection.on('connect', () => connection.cancel(processID, secretKey));
    const stopped = expectSqlstate(sleeping, '57014');
    await until(async () => (await countStatements(database)) > 0);
    connection.connect(database.port, '127.0.0.1');
    await stopped;
    expect((await client.query('SELECT 1')).rowCount).toBe(1);
  });

  it('streams a large result', async () => {
    const client = await start();
    const {rows} = await client.query(
      'SELECT generate_series(1,$1)',
      [200_000],
    );
    expect(rows.length).toBe(200_000);
    expect(rows.at(-1)).toEqual({generate_series: 200_000});
  });

  it('refuses encryption and negotiates a newer protocol version down', async () => {
    await start();
    const socket = net.connect(database.port, '127.0.0.1');
    const reader = socket[Symbol.asyncIterator]();
    const next = async () => String((await reader.next()).value);
    socket.write(Buffer.concat([int32(8), int32(80877103)]));
    expect(await next()).toBe('N');
    const version = int32((3 << 16) | 2);
    socket.write(buildFrame('', version, cString('user'), cString('u\0')));
    expect(await next()).toMatch(/^v.*R/s);
    socket.destroy();
  });

  it('runs as many statements concurrently as it has slots', async () => {
    await start({serviceMs: 2, slots: 2});
    const others = await Promise.all(Array.from({length: 6}, () => connect()));
    await Promise.all(others.map(other => other.query('SELECT 1')));
    expect(await admin('counts')).toMatchObject({
      statements: 6,
      maxConcurrent: 2,
    });
  });

  it('refuses connections above the limit, with a separate limit for control', async () => {
    const client = await start({maxConnections: 1});
    await expectSqlstate(connect(), '53300');
    const control = await connect({database: 'platform'});
    const {rows} = await control.query('SELECT * FROM platform.status()');
    expect(rows).toMatchObject([{role: 'primary', term: '1', applied: '1/1'}]);
    await expectSqlstate(
      client.query('SELECT * FROM platform.status()'),
      '42501',
    );
  });

  it('refuses and records unknown credentials', async () => {
    await start();
    const stranger = connect({user: 'tasman', password: 'key-1'});
    await expectSqlstate(stranger, '28P01');
    expect(await admin('seen')).toMatchObject([
      {user: 'zinnia', password: 'zinnia'},
      {user: 'tasman', password: 'key-1'},
    ]);
  });
});

function admin(path: string): Promise<unknown> {
  return getJson(`http://127.0.0.1:${database.adminPort}/${path}`);
}
