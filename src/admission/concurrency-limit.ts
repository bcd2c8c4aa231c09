/** Limits how much work runs on a database at the same time. */

/**
 * How many statements more than its slots a database is given, so that the
 * next one is there when a slot falls free.
 */
const EXTRA_STATEMENTS = 1;

/** What a limit is built from; both may change while it is in use. */
export interface ConcurrencyLimitOptions {
  /** Statements that the database executes at once. */
  readonly slots: () => number;
  /** Connections to the database that this node may use. */
  readonly connections: () => number;
}

/**
 * The slots and one more, as far as there are connections.
 *
 * A statement beyond that waits at the database, where urgent ones can't go
 * before it.
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

  /** How many statements may run at the same time. */
  get value(): number {
    const wanted = this.#options.slots() + EXTRA_STATEMENTS;
    return Math.max(0, Math.min(wanted, this.#options.connections()));
  }
}
