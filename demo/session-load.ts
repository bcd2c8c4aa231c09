/** One session of the load: writes, reads its own writes, and roams. */
import pg from 'pg';
import type {FleetNode} from './fleet.js';
import {
  outcomeOf,
  type ClientOutcome,
  type CounterRecord,
  type LoadRecord,
} from './record.js';

/** Statements before a session moves to another node. */
const STATEMENTS_A_CONNECTION = 25;
const CONNECT_RETRY_MS = 50;

/** How much of a session's statements is what; the rest are reads. */
export interface LoadMix {
  readonly writes: number;
  readonly transactions: number;
  /** Whether transactions read before they write. */
  readonly readsInTransactions?: boolean;
}

/** One write in five, one transaction in twenty. */
export const MIXED: LoadMix = {writes: 0.2, transactions: 0.05};
/** Reads only, after one write. */
export const READS: LoadMix = {writes: 0, transactions: 0};
/** Writes only. */
export const WRITES: LoadMix = {writes: 1, transactions: 0};

/** What one session of the load does. */
export interface SessionLoadOptions {
  readonly id: string;
  readonly team: string;
  readonly key: string;
  readonly group: string;
  readonly nodes: readonly FleetNode[];
  readonly record: LoadRecord;
  /** Milliseconds between two statements on average. */
  readonly paceMs: number;
  readonly mix?: LoadMix;
  readonly random: () => number;
  readonly isOver: () => boolean;
}

/** A caller that uses the stock client and keeps its session token. */
export class SessionLoad {
  readonly #options: SessionLoadOptions;
  readonly #counter: CounterRecord;
  #client: pg.Client | undefined;
  #token = '';
  #serial = 0;
  /** The least value that the session must read back from its counter. */
  #floor = 0;
  #created = false;
  /** How this session's last failed statement ended. */
  #lastFailure: ClientOutcome | undefined;

  constructor(options: SessionLoadOptions) {
    this.#options = options;
    this.#counter = options.record.createCounter(
      options.group,
      `counter-${options.id}`,
    );
  }

  /** Runs until the load is over. */
  async run(): Promise<void> {
    const {isOver} = this.#options;
    while (!isOver()) {
      const client = await this.#connect();
      if (client === undefined) continue;
      for (let n = 0; n < STATEMENTS_A_CONNECTION && !isOver(); n++) {
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
    this.#keepToken(client);
    try {
      await client.connect();
      this.#client = client;
      return client;
    } catch {
      client.end().catch(() => {});
      await sleep(CONNECT_RETRY_MS);
      return undefined;
    }
  }

  /** The proxy reports the token after each write. */
  #keepToken(client: pg.Client): void {
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

  async #step(client: pg.Client): Promise<void> {
    if (!this.#created) return this.#createCounter(client);
    const {mix = MIXED, random} = this.#options;
    const draw = random();
    if (draw < mix.transactions) return this.#transact(client);
    if (draw < mix.transactions + mix.writes) return this.#increment(client);
    return this.#readBack(client);
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

  async #increment(client: pg.Client): Promise<void> {
    const sql = 'UPDATE counters SET value = value + $1 WHERE id = $2';
    const done = await this.#query(client, 'write', sql, [
      '1',
      this.#counter.id,
    ]);
    if (done !== undefined) {
      this.#counter.acknowledged++;
      this.#floor++;
      return;
    }
    if (this.#lastFailure !== 'notRun') this.#counter.unknown++;
  }

  /** Inserts two rows in one transaction. */
  async #transact(client: pg.Client): Promise<void> {
    const {id, team, group, record} = this.#options;
    const first = `row-${id}-${++this.#serial}`;
    const second = `row-${id}-${++this.#serial}`;
    const sql = 'INSERT INTO entries (id, team, value) VALUES ($1, $2, $3)';
    const began = await this.#query(client, 'write', 'BEGIN', []);
    if (began === undefined) return;
    if (this.#options.mix?.readsInTransactions) await this.#readBack(client);
    const one = await this.#query(client, 'write', sql, [first, team, '1']);
    const two =
      one && (await this.#query(client, 'write', sql, [second, team, '2']));
    const end = two === undefined ? 'ROLLBACK' : 'COMMIT';
    const ended = await this.#query(client, 'write', end, []);
    if (ended === undefined || two === undefined) return;
    if (ended.command !== 'COMMIT') return;
    record.noteInsert(group, first);
    record.noteInsert(group, second);
  }

  async #readBack(client: pg.Client): Promise<void> {
    const {id, record} = this.#options;
    const sql = 'SELECT id, team, value FROM counters WHERE id = $1';
    const floor = this.#floor;
    const res = await this.#query(client, 'read', sql, [this.#counter.id]);
    if (res === undefined) return;
    const row = res.rows[0] as {id: string; value: string} | undefined;
    if (row === undefined || Number(row.value) < floor) {
      record.staleReads.push(
        `session ${id} read ${row?.value ?? 'nothing'} after ${floor}`,
      );
    } else if (row.id !== this.#counter.id) {
      record.foreignRows.push(`session ${id} read the row ${row.id}`);
    }
  }

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
      // Anything but a SQLSTATE means that the connection ended unanswered.
      const isCut = !/^[0-9A-Z]{5}$/.test(code);
      if (isCut) record.cutRequests++;
      const outcome = isCut ? 'unknown' : outcomeOf(code);
      this.#lastFailure = outcome;
      const at = performance.now();
      record.failures.push({at, team, outcome, sqlstate: code, message});
      if (isCut) this.#client = undefined;
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
