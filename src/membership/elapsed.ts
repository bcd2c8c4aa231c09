/** Elapsed time that a paused process or virtual machine can't miss. */

import type {Clock} from '../infra/clock.js';

/** A moment on both clocks of one node; means nothing on another node. */
export interface Instant {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** The present moment, or that of `ageMs` ago. */
export function takeInstant(clock: Clock, ageMs = 0): Instant {
  const now = {monotonicMs: clock.now(), wallMs: clock.wallNow()};
  return earlierBy(now, ageMs);
}

/** The moment that was `ms` before another one. */
export function earlierBy({monotonicMs, wallMs}: Instant, ms: number): Instant {
  return {monotonicMs: monotonicMs - ms, wallMs: wallMs - ms};
}

/**
 * Milliseconds since `instant`: the larger of what the two clocks say, since
 * a monotonic clock may stand still while a VM is suspended.
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
