/** The home of one database group: all of the group's work runs through it. */
import {switchPrimary, type SwitchResult} from '../groups/planned-switch.js';
import type {GroupView} from '../groups/group-view.js';
import type {GroupSpec} from '../groups/types.js';
import type {Clock} from '../infra/clock.js';
import type {GroupRow} from '../rollout/table.js';
import {RetryBudget} from '../verdict/retry.js';
import {GroupDatabases, type GroupDatabasesOptions} from './group-databases.js';
import {ReadLoop} from './read-loop.js';
import {ReadPath} from './read-path.js';
import {PgOpenTransactions} from './pg-open-transactions.js';
import type {ExecAttempt, ExecRequest, ExecResult, PartSink} from './types.js';
import {WriteGate} from './write-gate.js';
import {WritePath} from './write-path.js';

/** Options of a group's home. */
export interface GroupHomeOptions extends GroupDatabasesOptions {
  /** Returns the group's row of the configuration table in force. */
  readonly row: () => GroupRow | undefined;
  /** How long a read may wait for a replica before it uses the primary. */
  readonly replicaWaitMs: number;
}

/**
 * Runs batches of statements on one group.
 *
 * @example
 * const home = new GroupHome(options);
 * home.start();
 * const result = await home.execute(req, sink, signal);
 */
export class GroupHome {
  readonly #clock: Clock;
  readonly #databases: GroupDatabases;
  readonly #transactions: PgOpenTransactions;
  readonly #reads: ReadLoop;
  readonly #writes: WritePath;
  readonly #gate: WriteGate;
  /** Running and queued batches, each with the controller that cancels it. */
  readonly #running = new Map<ExecRequest, AbortController>();
  #lastUsedAt: number;

  constructor(options: GroupHomeOptions) {
    this.#clock = options.clock;
    this.#lastUsedAt = options.clock.now();
    this.#databases = new GroupDatabases(options);
    this.#transactions = new PgOpenTransactions(options.clock);
    this.#gate = new WriteGate({
      clock: options.clock,
      openTransactions: () => this.#transactions.size,
    });
    const databases = this.#databases;
    const path = new ReadPath({
      databases,
      weights: () => {
        const row = options.row();
        return {old: row?.oldWeight ?? 1, new: row?.newWeight ?? 0};
      },
      maxWaitMs: options.replicaWaitMs,
    });
    this.#reads = new ReadLoop({databases, path, retries: new RetryBudget()});
    this.#writes = new WritePath({
      databases,
      transactions: this.#transactions,
      gate: this.#gate,
      ackMode: () => options.row()?.ack ?? 'replica',
    });
  }

  /** Number of running batches and open transactions. */
  get active(): number {
    return this.#running.size + this.#transactions.size;
  }

  /** Time without running batches or open transactions, in milliseconds. */
  get idleMs(): number {
    return this.active > 0 ? 0 : this.#clock.now() - this.#lastUsedAt;
  }

  start(): void {
    this.#databases.start();
    this.#transactions.start();
  }

  /** Only finishes open work; a home for the new description takes over. */
  supersede(successor: GroupSpec): void {
    this.#databases.supersede(successor);
  }

  /** Stops at once; open transactions are rolled back. */
  stop(): void {
    this.#transactions.stop();
    this.#databases.stop();
  }

  /** Returns the observed state of the group. */
  view(): GroupView {
    return this.#databases.view();
  }

  /** Runs one batch. Never rejects: the verdict holds any failure. */
  async execute(
    req: ExecRequest,
    sink: PartSink,
    signal: AbortSignal,
  ): Promise<ExecResult> {
    const deadlineAt = this.#clock.now() + req.deadlineMs;
    const cancel = new AbortController();
    const cancelled = cancel.signal;
    const attempt = {req, sink, deadlineAt, signal, cancelled};
    this.#running.set(req, cancel);
    try {
      if (req.kind === 'read') return await this.#reads.run(attempt);
      return await this.#write(attempt);
    } finally {
      this.#running.delete(req);
      this.#lastUsedAt = this.#clock.now();
    }
  }

  /** True if the transaction is open here and between two statements. */
  hasTransaction(pin: string): boolean {
    return this.#transactions.has(pin);
  }

  /** Rolls back a transaction whose caller has disconnected. */
  release(pin: string): void {
    this.#transactions.release(pin);
  }

  /** Cancels a session's running batch, or removes it from the queue. */
  cancel(sessionId: string): void {
    for (const [req, cancel] of this.#running) {
      if (req.sessionId === sessionId) cancel.abort();
    }
    this.#databases.runs.cancel(sessionId);
  }

  /** Makes a database the primary on the operator's request. */
  async switchTo(targetDatabaseId: string): Promise<SwitchResult> {
    const {controls, agent, monitor} = this.#databases;
    agent.hold();
    try {
      return await switchPrimary({
        clock: this.#clock,
        controls,
        targetDatabaseId,
        hold: {
          holdWrites: () => this.#gate.holdWrites(),
          releaseWrites: () => this.#releaseWrites(),
        },
        nextOrderer: () => agent.nextOrderer(),
      });
    } finally {
      agent.release();
      await monitor.refreshNow();
    }
  }

  /** Refreshes the view first, or held writes would go to the old primary. */
  async #releaseWrites(): Promise<void> {
    await this.#databases.monitor.refreshNow();
    this.#gate.releaseWrites();
  }

  async #write(attempt: ExecAttempt): Promise<ExecResult> {
    const {req, signal} = attempt;
    const result =
      req.pin === undefined
        ? await this.#writes.run(attempt)
        : await this.#writes.runPinned(attempt, req.pin);
    if (signal.aborted && result.pin !== undefined) this.release(result.pin);
    return result;
  }
}
