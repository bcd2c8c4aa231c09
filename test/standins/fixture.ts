/** Stand-in databases and connections to them, closed after each test. */
import pg from 'pg';
import {afterEach, vi} from 'vitest';
import {getJson} from '../../demo/admin-client.js';
import {PgTargetConnection} from '../../src/targets/pg-connection.js';
import {
  createDatabase,
  type Database,
  type DatabaseOptions,
} from '../../standins/database/index.js';

/** What nodes log in with. */
export const CREDENTIALS = {user: 'zinnia', password: 'zinnia'};
/** For calls that are expected to succeed. */
export const TIMEOUT_MS = 5_000;

const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Runs `close` after the test, before what was opened earlier. */
export function closeLater(close: () => unknown): void {
  closers.push(close);
}

/** Starts a database that leads a group of its own. */
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

/** Connects the stock client. */
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

/** Connects as a node does. */
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

/** Waits until a condition holds. */
export function until(
  condition: () => boolean | Promise<boolean>,
): Promise<unknown> {
  return vi.waitUntil(condition, {timeout: 10_000, interval: 1});
}

/** Statements that a database has begun. */
export async function countStatements({adminPort}: Database): Promise<number> {
  const url = `http://127.0.0.1:${adminPort}/counts`;
  return (await getJson<{statements: number}>(url)).statements;
}
