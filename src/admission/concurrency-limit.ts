/** Limits how many statements run on a database concurrently. */

/**
 * Statements sent to a database beyond its slots. They queue there, so that a
 * slot that becomes free has its next statement without a round trip.
 */
const QUEUED_AT_DATABASE = 1;

/** Options of a concurrency limit; both values may change while in use. */
export interface ConcurrencyLimitOptions {
  /** Returns how many statements the database executes concurrently. */
  readonly slots: () => number;
  /** Returns how many connections to the database this node may use. */
  readonly connections: () => number;
}

/**
 * The concurrency limit of a database: its slots plus one, but no more than the
 * connections.
 *
 * Further statements wait in the proxy's queue instead of at the database, where
 * an urgent one could not overtake them.
 *
 * @example
 * const limit = new ConcurrencyLimit({slots: () => 2, connections: () => 16});
 * if (running < limit.value) start(queue.take());
 */
export class ConcurrencyLimit {
  readonly #options: ConcurrencyLimitOptions;

  constructor(options: ConcurrencyLimitOptions) {
    this.#options = options;
  }

  /** How many statements may run concurrently. */
  get value(): number {
    const wanted = this.#options.slots() + QUEUED_AT_DATABASE;
    return Math.max(0, Math.min(wanted, this.#options.connections()));
  }
}
