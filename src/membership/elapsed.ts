/** Elapsed time that includes pauses of the process or of its virtual machine. */

import type {Clock} from '../infra/clock.js';

/** A point in time on both clocks of one node; not comparable between nodes. */
export interface Instant {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** The current time on both clocks, or the time `ageMs` ago. */
export function takeInstant(clock: Clock, ageMs = 0): Instant {
  const now = {monotonicMs: clock.now(), wallMs: clock.wallNow()};
  return instantBefore(now, ageMs);
}

/** The time `ms` before an instant. */
export function instantBefore(
  {monotonicMs, wallMs}: Instant,
  ms: number,
): Instant {
  return {monotonicMs: monotonicMs - ms, wallMs: wallMs - ms};
}

/**
 * Milliseconds since `instant`: the larger of the differences on the two
 * clocks, since a monotonic clock may stand still while a VM is suspended.
 *
 * @example
 * const start = takeInstant(clock);
 * await call();
 * const roundTripMs = elapsedSince(clock, start);
 */
export function elapsedSince(clock: Clock, instant: Instant): number {
  return Math.max(
    clock.now() - instant.monotonicMs,
    clock.wallNow() - instant.wallMs,
  );
}
