/** Limits how much work runs on a database at the same time. */

/** How many more than its slots a database is given at first. */
const EXTRA_SLOTS = 1;
const MAX_EXTRA_SLOTS = 4;
/** Latency over this multiple of the least counts as queueing. */
const QUEUEING_RATIO = 2;
const DECREASE_RATIO = 0.9;
/** Answers over which the least latency is taken. */
const WINDOW_ANSWERS = 200;

/** What a limit is built from. */
export interface ConcurrencyLimitOptions {
  /** Statements that the database executes at once. */
  readonly slots: number;
  /** Connections to the database. */
  readonly connections: number;
}

/** Tells how much work may run at the same time. */
export interface ConcurrencyLimit {
  readonly limit: number;
  /** Takes in the latency of an answer. */
  record(latencyMs: number, concurrency: number): void;
}

/**
 * Always one statement more than the slots, so that the next one is at the
 * database when a slot falls free.
 */
export class FixedConcurrencyLimit implements ConcurrencyLimit {
  readonly limit: number;

  constructor(options: ConcurrencyLimitOptions) {
    this.limit = startingLimit(options);
  }

  record(): void {}
}

/**
 * Follows the latency: rises by one over a limit's worth of fast answers, falls
 * by a tenth when answers take long, and is never below the slots.
 *
 * @example
 * const limit = new AdaptiveConcurrencyLimit({slots: 2, connections: 16});
 * limit.record(4.2, running);
 */
export class AdaptiveConcurrencyLimit implements ConcurrencyLimit {
  readonly #options: ConcurrencyLimitOptions;
  #limit: number;
  #leastMs = Infinity;
  #nextLeastMs = Infinity;
  #answers = 0;

  constructor(options: ConcurrencyLimitOptions) {
    this.#options = options;
    this.#limit = startingLimit(options);
  }

  get limit(): number {
    return Math.floor(this.#limit);
  }

  record(latencyMs: number, concurrency: number): void {
    this.#noteLeast(latencyMs);
    const {slots, connections} = this.#options;
    const most = Math.min(connections, slots + MAX_EXTRA_SLOTS);
    if (latencyMs > QUEUEING_RATIO * this.#leastMs) {
      this.#limit = Math.max(slots, this.#limit * DECREASE_RATIO);
      return;
    }
    // A limit that is not reached says nothing about a higher one.
    if (concurrency < this.limit) return;
    this.#limit = Math.min(most, this.#limit + 1 / this.#limit);
  }

  /** The least latency of this window and the last, so that it can rise. */
  #noteLeast(latencyMs: number): void {
    this.#nextLeastMs = Math.min(this.#nextLeastMs, latencyMs);
    this.#leastMs = Math.min(this.#leastMs, latencyMs);
    this.#answers += 1;
    if (this.#answers < WINDOW_ANSWERS) return;
    this.#leastMs = this.#nextLeastMs;
    this.#nextLeastMs = Infinity;
    this.#answers = 0;
  }
}

function startingLimit(options: ConcurrencyLimitOptions): number {
  return Math.min(options.connections, options.slots + EXTRA_SLOTS);
}
