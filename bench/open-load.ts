/** An open-loop load: sends at a fixed rate, regardless of the responses. */
import pg from 'pg';
import type {Fleet, FleetNode} from '../demo/fleet.js';
import {sleep} from './figures.js';

const CONNECTIONS_PER_NODE = 3;
const SEND_INTERVAL_MS = 5;
const RECONNECT_DELAY_MS = 100;

/** Outcome of a statement from the client's view; `unknown` if it may have run. */
export type SentOutcome = 'done' | 'rateLimited' | 'refused' | 'unknown';

/** A statement that was sent. Times are on the `performance.now()` scale. */
export interface SentStatement {
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: SentOutcome;
  /** SQLSTATE or socket error code; empty if the statement is done. */
  readonly code: string;
}

/** Options of one team's load. */
export interface OpenLoadOptions {
  readonly fleet: Fleet;
  readonly team: string;
  readonly group: string;
  /** Statements per second. */
  readonly rate: number;
  readonly nodes: readonly FleetNode[];
  readonly durationMs: number;
}

/** Result of one team's load. */
export interface OpenLoadResult {
  readonly team: string;
  /** Number of statements due at the rate; one is not sent if all connections are busy. */
  readonly offered: number;
  readonly sent: readonly SentStatement[];
}

/** Sends at the rate for the duration, then waits for the outstanding responses. */
export async function runOpenLoad(
  options: OpenLoadOptions,
): Promise<OpenLoadResult> {
  const senders = options.nodes.flatMap(node =>
    Array.from(
      {length: CONNECTIONS_PER_NODE},
      () => new SenderConnection(options, node),
    ),
  );
  await Promise.all(senders.map(sender => sender.connect()));
  const sent: SentStatement[] = [];
  const startedAt = performance.now();
  let due = 0;
  let nextSender = 0;
  const running = new Set<Promise<void>>();
  for (;;) {
    const elapsedMs = performance.now() - startedAt;
    if (elapsedMs >= options.durationMs) break;
    const wanted = Math.floor((elapsedMs / 1_000) * options.rate);
    while (due < wanted) {
      due++;
      const sender = nextIdle(senders, nextSender++);
      const task = sender?.send().then(statement => void sent.push(statement));
      if (task === undefined) continue;
      running.add(task);
      void task.finally(() => running.delete(task));
    }
    await sleep(SEND_INTERVAL_MS);
  }
  await Promise.all(running);
  await Promise.all(senders.map(sender => sender.close()));
  return {team: options.team, offered: due, sent};
}

/** Returns the next idle connection in round-robin order; undefined if all are busy. */
function nextIdle(
  senders: readonly SenderConnection[],
  from: number,
): SenderConnection | undefined {
  for (let i = 0; i < senders.length; i++) {
    const sender = senders[(from + i) % senders.length];
    if (sender?.isIdle) return sender;
  }
  return undefined;
}

/** A connection that runs one statement at a time and reconnects when it is lost. */
class SenderConnection {
  readonly #options: OpenLoadOptions;
  #node: FleetNode;
  #busy = false;
  #client: pg.Client | undefined;
  #closed = false;
  #reconnecting: Promise<void> | undefined;

  constructor(options: OpenLoadOptions, node: FleetNode) {
    this.#options = options;
    this.#node = node;
  }

  async connect(): Promise<void> {
    const {fleet, team, group} = this.#options;
    const client = new pg.Client({
      host: '127.0.0.1',
      port: this.#node.port,
      user: team,
      password: fleet.keys.get(team) ?? '',
      database: group,
    });
    client.on('error', () => this.#handleConnectionLoss(client));
    await client.connect();
    this.#client = client;
  }

  /** True if the connection is open and no statement runs on it. */
  get isIdle(): boolean {
    return this.#client !== undefined && !this.#busy;
  }

  async send(): Promise<SentStatement> {
    this.#busy = true;
    try {
      return await this.#runStatement();
    } finally {
      this.#busy = false;
    }
  }

  async #runStatement(): Promise<SentStatement> {
    const sentAt = performance.now();
    const createResult = (
      outcome: SentOutcome,
      code: string,
    ): SentStatement => ({
      sentAt,
      endedAt: performance.now(),
      outcome,
      code,
    });
    const client = this.#client;
    if (client === undefined) return createResult('unknown', 'unconnected');
    try {
      const sql = "SELECT id, team, value FROM counters WHERE id = 'none'";
      await client.query(sql);
      return createResult('done', '');
    } catch (err) {
      const {code = ''} = err as {code?: string};
      if (code === '') this.#handleConnectionLoss(client);
      if (code === '53400') return createResult('rateLimited', code);
      return createResult(/^(53|57P)/.test(code) ? 'refused' : 'unknown', code);
    }
  }

  async close(): Promise<void> {
    this.#closed = true;
    await this.#reconnecting;
    await this.#client?.end().catch(() => {});
  }

  /** Returns the following node, as a load balancer does for a VM that is gone. */
  #nextNode(): FleetNode {
    const {nodes} = this.#options.fleet;
    const at = nodes.indexOf(this.#node);
    return nodes[(at + 1) % nodes.length] ?? this.#node;
  }

  #handleConnectionLoss(client: pg.Client): void {
    if (this.#client !== client) return;
    this.#client = undefined;
    this.#reconnecting ??= this.#reconnect();
  }

  async #reconnect(): Promise<void> {
    while (!this.#closed && this.#client === undefined) {
      await sleep(RECONNECT_DELAY_MS);
      this.#node = this.#nextNode();
      await this.connect().catch(() => {});
    }
    this.#reconnecting = undefined;
  }
}
