/**
 * A load session that writes, checks that it reads its own writes, and
 * reconnects to random nodes with its session token.
 */
import pg from 'pg';
import type {FleetNode} from './fleet.js';
import {
  classifySqlstate,
  type ClientOutcome,
  type CounterRecord,
  type LoadRecord,
} from './load-record.js';

/** Operations on a connection before the session reconnects to a random node. */
const STATEMENTS_PER_CONNECTION = 25;
const CONNECT_RETRY_DELAY_MS = 50;

/** Shares of a session's operations, from 0 to 1; the rest are single reads. */
export interface LoadMix {
  readonly writes: number;
  readonly transactions: number;
  /** True if transactions read the counter before they insert. */
  readonly readsInTransactions?: boolean;
}

/** 20% writes and 5% transactions. */
export const MIXED_LOAD: LoadMix = {writes: 0.2, transactions: 0.05};
/** Reads only, after the insert of the counter row. */
export const READ_ONLY_LOAD: LoadMix = {writes: 0, transactions: 0};
/** Writes only. */
export const WRITE_ONLY_LOAD: LoadMix = {writes: 1, transactions: 0};

/** Options of a load session. */
export interface SessionLoadOptions {
  readonly id: string;
  readonly team: string;
  readonly key: string;
  readonly group: string;
  readonly nodes: readonly FleetNode[];
  readonly record: LoadRecord;
  /** Mean pause between operations. */
  readonly paceMs: number;
  readonly mix?: LoadMix;
  readonly random: () => number;
  readonly isOver: () => boolean;
}

/** A load session: a `pg` client that passes its session token to each new connection. */
export class SessionLoad {
  readonly #options: SessionLoadOptions;
  readonly #counter: CounterRecord;
  #client: pg.Client | undefined;
  #token = '';
  #lastRowNumber = 0;
  /** Acknowledged increments; a read that returns less is stale. */
  #minCounterValue = 0;
  #created = false;
  /** Outcome of the last failed statement of this session. */
  #lastFailure: ClientOutcome | undefined;

  constructor(options: SessionLoadOptions) {
    this.#options = options;
    this.#counter = options.record.createCounter(
      options.group,
      `counter-${options.id}`,
    );
  }

  /** Runs operations until `isOver` returns true. */
  async run(): Promise<void> {
    const {isOver} = this.#options;
    while (!isOver()) {
      const client = await this.#connect();
      if (client === undefined) continue;
      for (let n = 0; n < STATEMENTS_PER_CONNECTION && !isOver(); n++) {
        if (this.#client === undefined) break;
        await this.#step(client);
        await this.#pause();
      }
      await this.#disconnect();
    }
    await this.#disconnect();
  }

  async #connect(): Promise<pg.Client | undefined> {
    const {nodes, team, key, group, random} = this.#options;
    const node = nodes[Math.floor(random() * nodes.length)];
    const client = new pg.Client({
      host: '127.0.0.1',
      port: node?.port,
      user: team,
      password: key,
      database: group,
      ...(this.#token === ''
        ? {}
        : {options: `-c zinnia.session=${this.#token}`}),
    });
    client.on('error', () => (this.#client = undefined));
    this.#trackSessionToken(client);
    try {
      await client.connect();
      this.#client = client;
      return client;
    } catch {
      client.end().catch(() => {});
      await sleep(CONNECT_RETRY_DELAY_MS);
      return undefined;
    }
  }

  /** Stores the session token, which the proxy reports after each write. */
  #trackSessionToken(client: pg.Client): void {
    const {connection} = client as unknown as {
      connection: NodeJS.EventEmitter;
    };
    connection.on(
      'parameterStatus',
      (message: {parameterName: string; parameterValue: string}) => {
        if (message.parameterName === 'zinnia.session') {
          this.#token = message.parameterValue;
        }
      },
    );
  }

  async #disconnect(): Promise<void> {
    const client = this.#client;
    this.#client = undefined;
    await client?.end().catch(() => {});
  }

  /** Creates the counter row first, then picks an operation by the load mix. */
  async #step(client: pg.Client): Promise<void> {
    if (!this.#created) return this.#createCounter(client);
    const {mix = MIXED_LOAD, random} = this.#options;
    const draw = random();
    if (draw < mix.transactions) return this.#runInsertTransaction(client);
    if (draw < mix.transactions + mix.writes)
      return this.#incrementCounter(client);
    return this.#readOwnCounter(client);
  }

  async #createCounter(client: pg.Client): Promise<void> {
    const {team} = this.#options;
    const sql =
      'INSERT INTO counters (id, team, value) VALUES ($1, $2, $3) ON CONFLICT (id) DO NOTHING';
    const done = await this.#query(client, 'write', sql, [
      this.#counter.id,
      team,
      '0',
    ]);
    this.#created = done !== undefined;
  }

  async #incrementCounter(client: pg.Client): Promise<void> {
    const sql = 'UPDATE counters SET value = value + $1 WHERE id = $2';
    const done = await this.#query(client, 'write', sql, [
      '1',
      this.#counter.id,
    ]);
    if (done !== undefined) {
      this.#counter.acknowledged++;
      this.#minCounterValue++;
      return;
    }
    if (this.#lastFailure !== 'notRun') this.#counter.unknown++;
  }

  /** Inserts two rows in one transaction; records them if it commits. */
  async #runInsertTransaction(client: pg.Client): Promise<void> {
    const {id, team, group, record} = this.#options;
    const firstId = `row-${id}-${++this.#lastRowNumber}`;
    const secondId = `row-${id}-${++this.#lastRowNumber}`;
    const sql = 'INSERT INTO entries (id, team, value) VALUES ($1, $2, $3)';
    const beginResult = await this.#query(client, 'write', 'BEGIN', []);
    if (beginResult === undefined) return;
    if (this.#options.mix?.readsInTransactions)
      await this.#readOwnCounter(client);
    const firstResult = await this.#query(client, 'write', sql, [
      firstId,
      team,
      '1',
    ]);
    const secondResult =
      firstResult &&
      (await this.#query(client, 'write', sql, [secondId, team, '2']));
    const endCommand = secondResult === undefined ? 'ROLLBACK' : 'COMMIT';
    const endResult = await this.#query(client, 'write', endCommand, []);
    if (endResult === undefined || secondResult === undefined) return;
    if (endResult.command !== 'COMMIT') return;
    record.recordInsert(group, firstId);
    record.recordInsert(group, secondId);
  }

  /** Reads the session's counter; records a stale value or a foreign row. */
  async #readOwnCounter(client: pg.Client): Promise<void> {
    const {id, record} = this.#options;
    const sql = 'SELECT id, team, value FROM counters WHERE id = $1';
    const minValue = this.#minCounterValue;
    const res = await this.#query(client, 'read', sql, [this.#counter.id]);
    if (res === undefined) return;
    const row = res.rows[0] as {id: string; value: string} | undefined;
    if (row === undefined || Number(row.value) < minValue) {
      record.staleReads.push(
        `session ${id} read ${row?.value ?? 'nothing'} after ${minValue}`,
      );
    } else if (row.id !== this.#counter.id) {
      record.foreignRows.push(`session ${id} read the row ${row.id}`);
    }
  }

  /** Runs a statement and records its outcome; returns undefined if it failed. */
  async #query(
    client: pg.Client,
    kind: 'read' | 'write',
    sql: string,
    values: readonly string[],
  ): Promise<pg.QueryResult | undefined> {
    const {team, group, record} = this.#options;
    const startedAt = performance.now();
    try {
      const res = await client.query(sql, [...values]);
      const at = performance.now();
      const elapsedMs = at - startedAt;
      record.completions.push({at, team, group, kind, elapsedMs});
      return res;
    } catch (err) {
      const {code = '', message} = err as Error & {code?: string};
      // Without an SQLSTATE, the connection closed before the response.
      const isInterrupted = !/^[0-9A-Z]{5}$/.test(code);
      if (isInterrupted) record.interruptedRequests++;
      const outcome = isInterrupted ? 'unknown' : classifySqlstate(code);
      this.#lastFailure = outcome;
      const at = performance.now();
      record.failures.push({at, team, outcome, sqlstate: code, message});
      if (isInterrupted) this.#client = undefined;
      return undefined;
    }
  }

  async #pause(): Promise<void> {
    const {paceMs, random} = this.#options;
    if (paceMs > 0) await sleep(paceMs * 2 * random());
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
