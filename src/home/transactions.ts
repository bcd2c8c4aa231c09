/** Open transactions at a home; each keeps one connection. */
import {randomUUID} from 'node:crypto';
import {serialize} from 'pg-protocol';
import type {Clock} from '../platform/clock.js';
import {sleepToTick, startTimer} from '../platform/timer.js';
import type {Slot} from './database-lane.js';

/** How long a transaction may stand idle before it is rolled back. */
const MAX_IDLE_MS = 60_000;
const SWEEP_PERIOD_MS = 1_000;

/** A transaction and the connection that it keeps. */
export interface PinnedTransaction {
  readonly slot: Slot;
  readonly databaseId: string;
  readonly sessionId: string;
}

interface Kept extends PinnedTransaction {
  readonly keptAt: number;
}

/** The open transactions of one group at this home. */
export class Transactions {
  readonly #clock: Clock;
  readonly #kept = new Map<string, Kept>();
  readonly #stopping = new AbortController();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Transactions that wait for their next statement. */
  get size(): number {
    return this.#kept.size;
  }

  /** Whether a transaction waits for its next statement here. */
  has(pin: string): boolean {
    return this.#kept.has(pin);
  }

  /** Begins to roll back transactions that stand idle for too long. */
  start(): void {
    void this.#sweep();
  }

  /** Rolls everything back. */
  stop(): void {
    this.#stopping.abort();
    for (const pin of [...this.#kept.keys()]) this.release(pin);
  }

  /** Keeps a transaction between two statements; returns its name. */
  keep(transaction: PinnedTransaction, pin: string = randomUUID()): string {
    this.#kept.set(pin, {...transaction, keptAt: this.#clock.now()});
    return pin;
  }

  /** Takes a transaction out for its next statement. */
  take(pin: string): PinnedTransaction | undefined {
    const kept = this.#kept.get(pin);
    this.#kept.delete(pin);
    return kept;
  }

  /** Rolls a transaction back and gives its connection back. */
  release(pin: string): void {
    const kept = this.take(pin);
    if (kept !== undefined) rollBack(this.#clock, kept.slot);
  }

  async #sweep(): Promise<void> {
    const {signal} = this.#stopping;
    while (!signal.aborted) {
      await sleepToTick(this.#clock, SWEEP_PERIOD_MS, signal);
      const oldest = this.#clock.now() - MAX_IDLE_MS;
      for (const [pin, {keptAt}] of [...this.#kept]) {
        if (keptAt < oldest) this.release(pin);
      }
    }
  }
}

const ROLLBACK_TIMEOUT_MS = 1_000;
const IGNORE_ANSWER = {onFrames: () => {}};

/** Rolls back what is open on a slot, then gives the slot back. */
export function rollBack(clock: Clock, slot: Slot): void {
  void endTransaction(clock, slot);
}

async function endTransaction(clock: Clock, slot: Slot): Promise<void> {
  const cancel = startTimer(clock, ROLLBACK_TIMEOUT_MS, () =>
    slot.connection.close(),
  );
  try {
    await slot.connection.run(serialize.query('ROLLBACK'), IGNORE_ANSWER);
  } catch {
    // A lost connection has ended the transaction as well.
  } finally {
    cancel();
    slot.release();
  }
}
