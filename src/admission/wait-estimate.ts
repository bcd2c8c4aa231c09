/**
 * Estimates how long an item waits for a slot.
 *
 * Load pattern: a burst of the lowest priority, followed by one of the highest.
 * Work that arrives later and is dispatched first prolongs the wait, but only
 * up to the limit that the minimum shares of the lower priorities set.
 */

/** Work that is dispatched before the item: queued now or arriving later. */
export interface WorkStream {
  /** Work that is queued now, in milliseconds of one slot. */
  readonly queuedMs: number;
  /** Work that arrives per millisecond of waiting. */
  readonly arrivingPerMs: number;
  /** Maximum work that may be dispatched before the item. */
  readonly limitMs: number;
}

/** An expected wait and what it was computed from. */
export interface WaitEstimate {
  /** Infinite if more work arrives than the slots can run. */
  readonly waitMs: number;
  /** Work of the same priority ahead of the item. */
  readonly sameMs: number;
  /** Work queued now that is dispatched first by priority. */
  readonly urgentMs: number;
  /** Such work that is expected to arrive during the wait. */
  readonly arrivingMs: number;
  /** Less urgent work that is dispatched first by its minimum share. */
  readonly floorMs: number;
  readonly concurrency: number;
}

/**
 * Solves `wait = (fixed + work of the streams within the wait) / concurrency`.
 *
 * The work of a stream grows with the wait until it reaches its limit, so the
 * right side is piecewise linear; each piece is tried in order.
 *
 * @example
 * const stream = {queuedMs: 20, arrivingPerMs: 1, limitMs: Infinity};
 * solveWait(20, [stream], 2); // 40
 */
export function solveWait(
  fixedMs: number,
  streams: readonly WorkStream[],
  concurrency: number,
): number {
  const ordered = streams
    .map(stream => ({...stream, fullAtMs: fullAtMs(stream)}))
    .toSorted((a, b) => a.fullAtMs - b.fullAtMs);
  for (let full = 0; full <= ordered.length; full++) {
    const untilMs = ordered[full]?.fullAtMs ?? Infinity;
    let workMs = fixedMs;
    let free = concurrency;
    for (const [index, stream] of ordered.entries()) {
      if (index < full) {
        workMs += stream.limitMs;
        continue;
      }
      workMs += Math.min(stream.queuedMs, stream.limitMs);
      free -= stream.arrivingPerMs;
    }
    const waitMs = free > 0 ? workMs / free : Infinity;
    if (waitMs <= untilMs) return waitMs;
  }
  return Infinity;
}

/**
 * Returns whether the wait is at most `ms`. Cheaper than solving it: the work
 * grows ever more slowly with the wait, so it is enough to compare the work
 * within `ms` with what the slots can run by then.
 */
export function isWaitWithin(
  ms: number,
  fixedMs: number,
  streams: readonly WorkStream[],
  concurrency: number,
): boolean {
  let workMs = fixedMs;
  for (const stream of streams) workMs += workWithin(stream, ms);
  return ms >= 0 && workMs <= concurrency * ms;
}

/** Returns the work of a stream that is dispatched within a wait. */
export function workWithin(
  {queuedMs, arrivingPerMs, limitMs}: WorkStream,
  waitMs: number,
): number {
  const arrivingMs = arrivingPerMs === 0 ? 0 : arrivingPerMs * waitMs;
  return Math.min(limitMs, queuedMs + arrivingMs);
}

/** The wait from which on a stream is at its limit. */
function fullAtMs({queuedMs, arrivingPerMs, limitMs}: WorkStream): number {
  if (arrivingPerMs === 0) return Infinity;
  return Math.max(0, limitMs - queuedMs) / arrivingPerMs;
}
