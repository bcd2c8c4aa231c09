/** An open-loop load: each team sends at a fixed rate, served or not. */
import pg from 'pg';
import type {Fleet, FleetNode} from '../demo/fleet.js';
import {sleep} from './figures.js';

const CONNECTIONS_PER_NODE = 3;
const SEND_INTERVAL_MS = 5;
const RECONNECT_DELAY_MS = 100;

/** How one statement ended, as its sender saw it. */
export type SentOutcome = 'done' | 'rateLimited' | 'refused' | 'unknown';

/** One statement of an open load. */
export interface SentStatement {
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: SentOutcome;
  readonly code: string;
}

/** What one team sends. */
export interface OpenLoadOptions {
  readonly fleet: Fleet;
  readonly team: string;
  readonly group: string;
  /** Statements a second. */
  readonly rate: number;
  readonly nodes: readonly FleetNode[];
  readonly durationMs: number;
}

/** What became of a team's load. */
export interface OpenLoadResult {
  readonly team: string;
  /** Statements that were due. */
  readonly offered: number;
  readonly sent: readonly SentStatement[];
}

/** Sends at the rate until the time is over, then waits for the answers. */
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
  let next = 0;
  const running = new Set<Promise<void>>();
  for (;;) {
    const elapsedMs = performance.now() - startedAt;
    if (elapsedMs >= options.durationMs) break;
    const wanted = Math.floor((elapsedMs / 1_000) * options.rate);
    while (due < wanted) {
      due++;
      const sender = nextIdle(senders, next++);
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

/** The next connection in turn that has nothing to do. */
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

/** One connection with one statement at a time, as a pool would use it. */
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

  /** Whether a statement can be sent now. */
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
    const end = (outcome: SentOutcome, code: string): SentStatement => ({
      sentAt,
      endedAt: performance.now(),
      outcome,
      code,
    });
    const client = this.#client;
    if (client === undefined) return end('unknown', 'unconnected');
    try {
      const sql = "SELECT id, team, value FROM counters WHERE id = 'none'";
      await client.query(sql);
      return end('done', '');
    } catch (err) {
      const {code = ''} = err as {code?: string};
      if (code === '') this.#handleConnectionLoss(client);
      if (code === '53400') return end('rateLimited', code);
      return end(/^(53|57P)/.test(code) ? 'refused' : 'unknown', code);
    }
  }

  async close(): Promise<void> {
    this.#closed = true;
    await this.#reconnecting;
    await this.#client?.end().catch(() => {});
  }

  /** Where the balancer would send a caller whose VM is gone. */
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
