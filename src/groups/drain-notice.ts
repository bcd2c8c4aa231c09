/** What a node knows about a database that has announced its shutdown. */

/**
 * How long a change may be missing from a copy of the store that counts as
 * complete: polls request the changes of this period again.
 */
export const MAX_MISSED_MS = 2_000;
/**
 * Time for replacing a primary if the announcement may be old already, as on a
 * node that has just started or regained the store.
 */
const HANDOVER_MS = 2_000;
/** Limits `HANDOVER_MS` to this part of the drain time. */
const HANDOVER_RATIO = 1 / 3;

/** When a node learnt that a database drains. */
export interface DrainNotice {
  /** On the node's monotonic clock, in milliseconds. */
  readonly learntAt: number;
  /**
   * Age of the node's copy of the store before the announcement arrived, in
   * milliseconds: the database may have announced it this much earlier. Infinite
   * if it was the first copy.
   */
  readonly copyAgeMs: number;
}

/**
 * Returns until when a draining database gets new statements, on the clock of
 * `learntAt`. Counted from the earliest time at which the store may have
 * accepted the announcement, as the drain time runs from then on.
 *
 * @param drainMs time from the announcement until the database may shut down
 * @example
 * const isOpen = clock.now() < newWorkEndsAt(notice, 7_000);
 */
export function newWorkEndsAt(
  {learntAt, copyAgeMs}: DrainNotice,
  drainMs: number,
): number {
  const remainingMs = drainMs - copyAgeMs - MAX_MISSED_MS;
  const handoverMs = Math.min(HANDOVER_MS, drainMs * HANDOVER_RATIO);
  return learntAt + Math.max(remainingMs, handoverMs);
}
