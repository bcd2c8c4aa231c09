/**
 * A token bucket with a sliding-window bound: in any window it grants at most
 * the rate times the window's length plus one burst.
 *
 * Load pattern: a team that requests somewhat more than its rate for a long
 * time. A plain token bucket grants the burst once and only the rate from then
 * on, although each window would allow the burst again. This budget therefore
 * refills faster, by part of the burst in each window, and counts the grants in
 * the window, so that no window exceeds its bound.
 *
 * A window may exceed the limit by a slack, which serves a small team's peaks. The
 * slack's part of the capacity and its refill in a window add up to the slack, so
 * that a budget and its successor together grant it once.
 */
import {TokenBucket} from '../admission/token-bucket.js';
import type {Clock} from '../infra/clock.js';
import type {RateLimits} from './types.js';

/** Number of parts of a window; grants are counted by part. */
const PARTS_PER_WINDOW = 50;
/**
 * Part of the burst that is refilled in each window. The rest covers tokens that
 * holders have not spent yet, and times when two owners overlap.
 */
export const BURST_REFILL_RATIO = 0.5;
/** Part of the slack that is granted at once; the rest is refilled. */
const SLACK_CAPACITY_RATIO = 0.3;

/** Options of a window budget. */
export interface WindowBudgetOptions {
  readonly clock: Clock;
  readonly limits: RateLimits;
  /** Operations by which a window may exceed the limits; 0 by default. */
  readonly slack?: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Initial number of tokens. */
  readonly tokens: number;
  /**
   * Monotonic time from which the window contains only grants that this budget
   * has counted itself. Until then it refills at the rate alone.
   */
  readonly historyCompleteAtMs: number;
}

/**
 * Grants the tokens of one team's budget.
 *
 * @example
 * const budget = new WindowBudget({clock, limits: {rate: 100, burst: 100},
 *   windowMs: 5_000, tokens: 100, historyCompleteAtMs: clock.now()});
 * const granted = budget.drain(3);
 */
export class WindowBudget {
  readonly #clock: Clock;
  readonly #windowMs: number;
  #slack: number;
  #historyCompleteAtMs: number;
  readonly #bucket: TokenBucket;
  /** Grants by part of a window, the oldest first. */
  readonly #granted: {readonly part: number; count: number}[] = [];
  #limits: RateLimits;
  #grantedInWindow = 0;

  constructor(options: WindowBudgetOptions) {
    const {clock, limits, windowMs, tokens, historyCompleteAtMs} = options;
    this.#slack = options.slack ?? 0;
    this.#clock = clock;
    this.#windowMs = windowMs;
    this.#historyCompleteAtMs = historyCompleteAtMs;
    this.#limits = limits;
    this.#bucket = new TokenBucket(clock, this.#bucketSize(), tokens);
  }

  get limits(): RateLimits {
    return this.#limits;
  }

  /**
   * Takes up to `wanted` whole tokens, or none if there are less than `atLeast`;
   * returns the number taken.
   */
  drain(wanted: number, atLeast?: number): number {
    this.#refresh();
    const count = Math.min(
      wanted,
      this.#bucket.tokens,
      this.#remainingInWindow,
    );
    if (atLeast !== undefined && count < atLeast) return 0;
    const taken = this.#bucket.drain(Math.floor(count));
    this.#recordGrant(taken);
    return taken;
  }

  /** Takes back tokens that were granted and not spent. */
  restore(count: number): void {
    this.#refresh();
    this.#bucket.add(count);
    let left = Math.min(count, this.#grantedInWindow);
    this.#grantedInWindow -= left;
    for (const part of this.#granted.toReversed()) {
      const taken = Math.min(left, part.count);
      part.count -= taken;
      left -= taken;
    }
  }

  /** Milliseconds until one token is available. */
  msUntilToken(): number {
    this.#refresh();
    const [oldest] = this.#granted;
    const isFull = this.#remainingInWindow < 1 && oldest !== undefined;
    const roomAtMs = isFull
      ? (oldest.part + PARTS_PER_WINDOW + 1) * this.#partMs
      : 0;
    const untilRoomMs = Math.max(0, roomAtMs - this.#clock.now());
    return Math.max(untilRoomMs, this.#bucket.msUntil(1));
  }

  /**
   * Changes the limits. Lower limits apply to windows that begin now, so that
   * grants made under the higher ones no longer count.
   */
  resize(limits: RateLimits, slack = 0): void {
    this.#refresh();
    if (limits.rate < this.#limits.rate || limits.burst < this.#limits.burst) {
      this.#granted.length = 0;
      this.#grantedInWindow = 0;
      this.#historyCompleteAtMs = this.#clock.now() + this.#windowMs;
    }
    this.#limits = limits;
    this.#slack = slack;
    this.#bucket.resize(this.#bucketSize());
  }

  get #partMs(): number {
    return this.#windowMs / PARTS_PER_WINDOW;
  }

  /** Tokens that may still be granted in the window that ends now. */
  get #remainingInWindow(): number {
    const {rate, burst} = this.#limits;
    const most = (rate * this.#windowMs) / 1_000 + burst + this.#slack;
    return most - this.#grantedInWindow;
  }

  #bucketSize(): RateLimits {
    const {rate, burst} = this.#limits;
    const isComplete = this.#clock.now() >= this.#historyCompleteAtMs;
    const windowS = this.#windowMs / 1_000;
    const burstRefill = isComplete ? burst * BURST_REFILL_RATIO : 0;
    const slackRefill = this.#slack * (1 - SLACK_CAPACITY_RATIO);
    return {
      rate: rate + (burstRefill + slackRefill) / windowS,
      burst: burst + this.#slack * SLACK_CAPACITY_RATIO,
    };
  }

  #refresh(): void {
    const size = this.#bucketSize();
    if (size.rate !== this.#bucket.size.rate) this.#bucket.resize(size);
    const oldest = this.#currentPart - PARTS_PER_WINDOW;
    while ((this.#granted[0]?.part ?? oldest) < oldest) {
      this.#grantedInWindow -= this.#granted.shift()?.count ?? 0;
    }
  }

  get #currentPart(): number {
    return Math.floor(this.#clock.now() / this.#partMs);
  }

  #recordGrant(count: number): void {
    const last = this.#granted.at(-1);
    const part = this.#currentPart;
    if (last?.part === part) last.count += count;
    else this.#granted.push({part, count});
    this.#grantedInWindow += count;
  }
}
