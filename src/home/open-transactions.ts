/** Open transactions at a home; each reserves one connection. */
import {randomBytes} from 'node:crypto';
import type {Clock} from '../infra/clock.js';
import {sleepToTick, startTimer} from '../infra/timer.js';
import type {PooledConnection, Slot} from './connection-pool.js';

const SWEEP_PERIOD_MS = 1_000;
const ROLLBACK_TIMEOUT_MS = 1_000;
const PIN_PREFIX_BYTES = 4;

/** A transaction and the connection reserved for it. */
export interface PinnedTransaction<C> {
  readonly slot: Slot<C>;
  readonly databaseId: string;
  readonly sessionId: string;
}

/** Options of the open transactions. */
export interface OpenTransactionsOptions<C> {
  readonly clock: Clock;
  /** Returns how long a transaction may be idle before it is rolled back. */
  readonly maxIdleMs: () => number;
  /** Rolls back on a connection; may reject. */
  readonly rollBack: (connection: C) => Promise<unknown>;
  /** Called with each transaction that exceeds the idle timeout. */
  readonly onIdleTimeout?: (transaction: PinnedTransaction<C>) => void;
}

interface IdleTransaction<T> {
  readonly transaction: T;
  readonly idleSince: number;
}

/** The open transactions of one group at this home. */
export class OpenTransactions<
  C extends PooledConnection,
  T extends PinnedTransaction<C> = PinnedTransaction<C>,
> {
  readonly #options: OpenTransactionsOptions<C>;
  readonly #idle = new Map<string, IdleTransaction<T>>();
  readonly #stopping = new AbortController();
  /** Keeps pins distinct from those of an earlier process on this VM. */
  readonly #epoch = randomBytes(PIN_PREFIX_BYTES).toString('hex');
  #pinCount = 0;

  constructor(options: OpenTransactionsOptions<C>) {
    this.#options = options;
  }

  /** Number of transactions that wait for their next statement. */
  get size(): number {
    return this.#idle.size;
  }

  /** Returns whether a transaction waits for its next statement here. */
  has(pin: string): boolean {
    return this.#idle.has(pin);
  }

  /** Returns the transactions on a database that wait for a statement. */
  idleAt(
    databaseId: string,
  ): readonly {readonly pin: string; readonly transaction: T}[] {
    return [...this.#idle].flatMap(([pin, {transaction}]) =>
      transaction.databaseId === databaseId ? [{pin, transaction}] : [],
    );
  }

  /** Starts rolling back transactions that exceed the idle timeout. */
  start(): void {
    void this.#sweep();
  }

  /** Rolls all transactions back and stops the idle timeout. */
  stop(): void {
    this.#stopping.abort();
    this.rollBackAll();
  }

  /** Rolls all transactions back. */
  rollBackAll(): void {
    for (const pin of [...this.#idle.keys()]) this.release(pin);
  }

  /** Keeps a transaction until its next statement; returns its pin. */
  add(transaction: T, pin: string = this.#nextPin()): string {
    const idleSince = this.#options.clock.now();
    this.#idle.set(pin, {transaction, idleSince});
    return pin;
  }

  /** Removes and returns a transaction to run its next statement. */
  take(pin: string): T | undefined {
    const idle = this.#idle.get(pin);
    this.#idle.delete(pin);
    return idle?.transaction;
  }

  /** Rolls a transaction back and releases its connection. */
  release(pin: string): void {
    const transaction = this.take(pin);
    if (transaction !== undefined) this.rollBack(transaction.slot);
  }

  /** Rolls back the transaction on a slot, then releases the slot. */
  rollBack(slot: Slot<C>): void {
    void this.#endTransaction(slot);
  }

  #nextPin(): string {
    this.#pinCount += 1;
    return `${this.#epoch}-${this.#pinCount.toString(36)}`;
  }

  async #endTransaction(slot: Slot<C>): Promise<void> {
    const {clock, rollBack} = this.#options;
    const cancel = startTimer(clock, ROLLBACK_TIMEOUT_MS, () =>
      slot.connection.close(),
    );
    try {
      await rollBack(slot.connection);
    } catch {
      // A lost connection ends its transaction as well.
    } finally {
      cancel();
      slot.release();
    }
  }

  async #sweep(): Promise<void> {
    const {signal} = this.#stopping;
    const {clock, maxIdleMs, onIdleTimeout} = this.#options;
    while (!signal.aborted) {
      await sleepToTick(clock, SWEEP_PERIOD_MS, signal);
      const oldestAllowed = clock.now() - maxIdleMs();
      for (const [pin, {transaction, idleSince}] of [...this.#idle]) {
        if (idleSince >= oldestAllowed) continue;
        onIdleTimeout?.(transaction);
        this.release(pin);
      }
    }
  }
}
