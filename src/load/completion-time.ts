/** Estimates when a database would complete a read, from all nodes' work there. */

/**
 * Completion times that differ by less than this share count as the same: the
 * reports that they are estimated from leave out changes below a quarter.
 */
const SAME_TIME_RATIO = 0.1;

/** What a node and the others have at a database. */
export interface CompletionInput {
  /** This node's statements running on it or queued for it. */
  readonly outstanding: number;
  /** Statements that the database executes concurrently. */
  readonly slots: number;
  /** Statements that this node may run there concurrently. */
  readonly concurrency: number;
  /** Average execution time of a statement, in milliseconds. */
  readonly costMs: number;
  /** Expected execution time of the other nodes' statements there. */
  readonly workElsewhereMs: number;
  /** Time to open a connection, in ms; 0 if the team has an idle one. */
  readonly connectMs: number;
  readonly roundTripMs: number;
}

/**
 * Returns the expected time until the database has answered, in milliseconds.
 *
 * @example
 * const ms = expectedCompletionMs({outstanding: 4, slots: 2, ...});
 */
export function expectedCompletionMs(input: CompletionInput): number {
  const ownWorkMs = input.outstanding * input.costMs;
  const waitMs = Math.max(
    ownWorkMs / Math.max(1, input.concurrency),
    (ownWorkMs + input.workElsewhereMs) / Math.max(1, input.slots),
  );
  return waitMs + input.costMs + input.connectMs + input.roundTripMs;
}

/** A database and its expected completion time. */
export interface RankedCompletion {
  readonly id: string;
  readonly completionMs: number;
  readonly connectMs: number;
}

/**
 * Orders databases by completion time; of those that are about as soon as the
 * soonest, the ones with an open connection for the team go first.
 */
export function orderByCompletion<T extends RankedCompletion>(
  databases: readonly T[],
): readonly T[] {
  const soonest = Math.min(...databases.map(({completionMs}) => completionMs));
  const limit = soonest * (1 + SAME_TIME_RATIO);
  const rank = ({completionMs, connectMs}: T) => {
    if (completionMs > limit) return 2;
    return connectMs === 0 ? 0 : 1;
  };
  return databases.toSorted(
    (a, b) => rank(a) - rank(b) || a.completionMs - b.completionMs,
  );
}
