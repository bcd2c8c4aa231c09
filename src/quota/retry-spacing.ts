/**
 * Spaces the retries of refused callers.
 *
 * Load pattern: many callers arrive at once, after a restart or in a peak of
 * their team, and the rate is used up. If all were given the same retry time,
 * all but the first would be refused again until they run out of attempts. Each
 * caller is therefore given its own retry time, spaced by a part of the rate.
 */
import type {Clock} from '../infra/clock.js';

/** Part of the rate that is planned for retries; new callers need the rest. */
const RETRY_RATE_RATIO = 0.5;
/** Maximum retry delay: callers have time limits of their own. */
export const MAX_RETRY_DELAY_MS = 1_500;

/**
 * Computes the retry delays of one team's refused callers.
 *
 * @example
 * const spacing = new RetrySpacing(clock);
 * refuse(spacing.nextDelayMs(20, 40));
 */
export class RetrySpacing {
  readonly #clock: Clock;
  #lastRetryAtMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Returns the milliseconds after which the next refused caller should retry.
   *
   * @param earliestMs time until the first token is expected
   * @param rate operations a second that can be admitted
   */
  nextDelayMs(earliestMs: number, rate: number): number {
    const now = this.#clock.now();
    const gapMs =
      rate > 0 ? 1_000 / (rate * RETRY_RATE_RATIO) : MAX_RETRY_DELAY_MS;
    const at = Math.max(now + earliestMs, this.#lastRetryAtMs + gapMs);
    if (at - now > MAX_RETRY_DELAY_MS) return MAX_RETRY_DELAY_MS;
    this.#lastRetryAtMs = at;
    return Math.max(1, Math.ceil(at - now));
  }
}
