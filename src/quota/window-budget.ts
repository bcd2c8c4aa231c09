/**
 * What one team may still spend: no more than its rate times a window and one
 * burst in any window of that length.
 *
 * Load pattern: a team that asks for somewhat more than its rate, for long. A
 * token bucket alone grants a burst once and the bare rate from then on,
 * though each window has room for the burst again. This budget refills by part
 * of the burst as well, and counts what was granted within the window, so that
 * no window exceeds its bound.
 */
import {TokenBucket} from '../admission/token-bucket.js';
import type {Clock} from '../infra/clock.js';
import type {RateLimits} from './types.js';

/** Parts of a window in which grants are counted together. */
const PARTS = 50;
/**
 * Part of the burst that each window is granted again. The rest covers what
 * holders were granted and have not spent, and owners that overlap for a while.
 */
const BURST_PART = 0.5;

/** What a budget is built from. */
export interface WindowBudgetOptions {
  readonly clock: Clock;
  readonly limits: RateLimits;
  /** Length of the windows, in milliseconds. */
  readonly windowMs: number;
  /** Tokens to begin with. */
  readonly tokens: number;
  /**
   * When grants that this budget does not know of no longer count, on the
   * clock. It refills at the bare rate until then.
   */
  readonly completeFrom: number;
}

/**
 * @example
 * const budget = new WindowBudget({clock, limits: {rate: 100, burst: 100},
 *   windowMs: 5_000, tokens: 100, completeFrom: clock.now()});
 * const granted = budget.drain(3);
 */
export class WindowBudget {
  readonly #clock: Clock;
  readonly #windowMs: number;
  #completeFrom: number;
  readonly #bucket: TokenBucket;
  /** Grants by part of a window, the oldest first. */
  readonly #granted: {readonly part: number; count: number}[] = [];
  #limits: RateLimits;
  #inWindow = 0;

  constructor(options: WindowBudgetOptions) {
    const {clock, limits, windowMs, tokens, completeFrom} = options;
    this.#clock = clock;
    this.#windowMs = windowMs;
    this.#completeFrom = completeFrom;
    this.#limits = limits;
    this.#bucket = new TokenBucket(clock, this.#bucketSize(), tokens);
  }

  get limits(): RateLimits {
    return this.#limits;
  }

  /** Takes as many whole tokens as there are, up to `wanted`. */
  drain(wanted: number): number {
    this.#refresh();
    const count = Math.min(wanted, this.#bucket.tokens, this.#room);
    const taken = this.#bucket.drain(Math.floor(count));
    this.#note(taken);
    return taken;
  }

  /** Milliseconds until there is one token. */
  msUntilOne(): number {
    this.#refresh();
    const [oldest] = this.#granted;
    const isFull = this.#room < 1 && oldest !== undefined;
    const roomAt = isFull ? (oldest.part + PARTS + 1) * this.#partMs : 0;
    const roomInMs = Math.max(0, roomAt - this.#clock.now());
    return Math.max(roomInMs, this.#bucket.msUntil(1));
  }

  /** Changes the limits; a lower one holds for the windows that begin now. */
  resize(limits: RateLimits): void {
    this.#refresh();
    if (limits.rate < this.#limits.rate || limits.burst < this.#limits.burst) {
      this.#granted.length = 0;
      this.#inWindow = 0;
      this.#completeFrom = this.#clock.now() + this.#windowMs;
    }
    this.#limits = limits;
    this.#bucket.resize(this.#bucketSize());
  }

  get #partMs(): number {
    return this.#windowMs / PARTS;
  }

  /** Tokens that the window which ends now has room for. */
  get #room(): number {
    const {rate, burst} = this.#limits;
    return (rate * this.#windowMs) / 1_000 + burst - this.#inWindow;
  }

  #bucketSize(): RateLimits {
    const {rate, burst} = this.#limits;
    const isComplete = this.#clock.now() >= this.#completeFrom;
    const windowS = this.#windowMs / 1_000;
    const extra = isComplete ? (burst * BURST_PART) / windowS : 0;
    return {rate: rate + extra, burst};
  }

  #refresh(): void {
    const size = this.#bucketSize();
    if (size.rate !== this.#bucket.size.rate) this.#bucket.resize(size);
    const oldest = this.#currentPart - PARTS;
    while ((this.#granted[0]?.part ?? oldest) < oldest) {
      this.#inWindow -= this.#granted.shift()?.count ?? 0;
    }
  }

  get #currentPart(): number {
    return Math.floor(this.#clock.now() / this.#partMs);
  }

  #note(count: number): void {
    const last = this.#granted.at(-1);
    const part = this.#currentPart;
    if (last?.part === part) last.count += count;
    else this.#granted.push({part, count});
    this.#inWindow += count;
  }
}
