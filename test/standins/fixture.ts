/** Creates stand-in databases and connections; closes them after each test. */
import pg from 'pg';
import {afterEach, vi} from 'vitest';
import {getJson} from '../../demo/admin-client.js';
import {PgTargetConnection} from '../../src/targets/pg-connection.js';
import {
  createDatabase,
  type Database,
  type DatabaseOptions,
} from '../../standins/database/index.js';

/** Credentials of the nodes. */
export const CREDENTIALS = {user: 'zinnia', password: 'zinnia'};
/** Timeout of calls that are expected to succeed. */
export const TIMEOUT_MS = 5_000;

const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Registers `close` to run after the test, in reverse order. */
export function closeLater(close: () => unknown): void {
  closers.push(close);
}

/** Starts a database as the primary of a group without replicas. */
export async function startDatabase(
  options: Partial<DatabaseOptions> = {},
): Promise<Database> {
  const database = await createDatabase({
    primary: true,
    connectCostMs: 0,
    serviceMs: 0,
    ...options,
  });
  closeLater(() => database.close());
  return database;
}

/** Connects with the `pg` client. */
export async function connectClient(
  {port}: Database,
  config: pg.ClientConfig = {},
): Promise<pg.Client> {
  const client = new pg.Client({
    host: '127.0.0.1',
    port,
    ...CREDENTIALS,
    database: 'claims',
    ...config,
  });
  client.on('error', () => {});
  await client.connect();
  closeLater(() => client.end());
  return client;
}

/** Connects with the connection class of the nodes. */
export async function connectTarget(
  port: number,
  options: {password?: string; maxFrameBytes?: number} = {},
): Promise<PgTargetConnection> {
  const connection = await PgTargetConnection.connect({
    host: '127.0.0.1',
    port,
    ...CREDENTIALS,
    database: 'claims',
    timeoutMs: TIMEOUT_MS,
    ...options,
  });
  closeLater(() => connection.close());
  return connection;
}

/** Waits until a condition is true. */
export function until(
  condition: () => boolean | Promise<boolean>,
): Promise<unknown> {
  return vi.waitUntil(condition, {timeout: 10_000, interval: 1});
}

/** Returns the number of statements that a database has started. */
export async function countStatements({adminPort}: Database): Promise<number> {
  const url = `http://127.0.0.1:${adminPort}/counts`;
  return (await getJson<{statements: number}>(url)).statements;
}
