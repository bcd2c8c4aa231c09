/**
 * Tells callers who were refused when to come back.
 *
 * Load pattern: many callers come at once, after a restart or with a peak of
 * their team, and find nothing left of its rate. Told the same moment, all but
 * the first would come in vain and use up their attempts. Each is therefore
 * told its own, at the pace at which the rate has room for them.
 */
import type {Clock} from '../infra/clock.js';

/** Part of the rate that returning callers may count on; others come as well. */
const RETURN_SHARE = 0.5;
/** No caller is told to wait for longer: it has a time limit of its own. */
const MAX_RETURN_MS = 1_500;

/**
 * @example
 * const times = new ReturnTimes(clock);
 * refuse(times.next(20, 40));
 */
export class ReturnTimes {
  readonly #clock: Clock;
  #lastAt = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Milliseconds after which the next caller should come back.
   *
   * @param earliestMs when there is room at the earliest
   * @param rate operations a second that there is room for
   */
  next(earliestMs: number, rate: number): number {
    const now = this.#clock.now();
    const gapMs = rate > 0 ? 1_000 / (rate * RETURN_SHARE) : MAX_RETURN_MS;
    const at = Math.max(now + earliestMs, this.#lastAt + gapMs);
    if (at - now > MAX_RETURN_MS) return MAX_RETURN_MS;
    this.#lastAt = at;
    return Math.max(1, Math.ceil(at - now));
  }
}
