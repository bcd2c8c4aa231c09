/** Limits how many statements run on a database concurrently. */
import type {Pace} from '../pace/pace.js';

/**
 * Statements sent to a database beyond its slots. They queue there, so that a
 * slot that becomes free has its next statement without a round trip.
 */
const QUEUED_AT_DATABASE = 1;

/**
 * The number of statements that a database gets at once in normal operation.
 *
 * @example
 * normalLimit(4); // 5
 */
export function normalLimit(slots: number): number {
  return slots + QUEUED_AT_DATABASE;
}

/** Options of a concurrency limit; the values may change while in use. */
export interface ConcurrencyLimitOptions {
  /** Returns how many statements the database executes concurrently. */
  readonly slots: () => number;
  /** Returns how many connections to the database this node may use. */
  readonly connections: () => number;
  /** The pace of a database that starts or recovers; none by default. */
  readonly pace?: Pick<Pace, 'limit'> | undefined;
}

/**
 * The concurrency limit of a database: its slots plus one, but no more than the
 * connections or its pace.
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
    const {slots, connections, pace} = this.#options;
    const wanted = pace?.limit(slots()) ?? normalLimit(slots());
    return Math.max(0, Math.min(wanted, connections()));
  }
}
