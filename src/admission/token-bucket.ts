/** A token bucket over a monotonic clock. */

import type {Clock} from '../infra/clock.js';

const MS_PER_SECOND = 1_000;

/**
 * Tolerates rounding errors, so that a caller that waits for `msUntil` is
 * admitted. The balance may go below zero by this much, so errors do not add up.
 */
const ROUNDING_TOLERANCE_TOKENS = 1e-9;

/** The refill rate and the capacity of a bucket. */
export interface BucketSize {
  /** Tokens a second. */
  readonly rate: number;
  /** Maximum number of tokens held at once. */
  readonly burst: number;
}

/**
 * Holds up to `burst` tokens and refills at `rate` a second.
 *
 * Over every window the tokens spent are at most `rate * window + burst`.
 *
 * @example
 * const bucket = new TokenBucket(clock, {rate: 100, burst: 20}, 20);
 * if (!bucket.trySpend(1)) retryIn(bucket.msUntil(1));
 */
export class TokenBucket {
  readonly #clock: Clock;
  #size: BucketSize;
  #tokens: number;
  #refilledAtMs: number;

  constructor(clock: Clock, size: BucketSize, tokens: number) {
    this.#clock = clock;
    this.#size = size;
    this.#tokens = Math.min(tokens, size.burst);
    this.#refilledAtMs = clock.now();
  }

  get size(): BucketSize {
    return this.#size;
  }

  /** The current number of tokens. */
  get tokens(): number {
    this.#refill();
    return this.#tokens;
  }

  /** Takes `count` tokens and returns true, or takes none. */
  trySpend(count: number): boolean {
    this.#refill();
    if (this.#tokens + ROUNDING_TOLERANCE_TOKENS < count) return false;
    this.#tokens -= count;
    return true;
  }

  /** Takes up to `wanted` tokens and returns the number taken. */
  drain(wanted: number): number {
    this.#refill();
    const taken = Math.max(0, Math.min(wanted, this.#tokens));
    this.#tokens -= taken;
    return taken;
  }

  /** Adds tokens up to the burst; the excess is lost. */
  add(count: number): void {
    this.#refill();
    this.#tokens = Math.min(this.#size.burst, this.#tokens + count);
  }

  /** Changes the size; tokens earned so far accrue at the old rate. */
  resize(size: BucketSize): void {
    this.#refill();
    this.#size = size;
    this.#tokens = Math.min(this.#tokens, size.burst);
  }

  /** Milliseconds until `count` tokens are available; infinite if never. */
  msUntil(count: number): number {
    this.#refill();
    const missing = count - this.#tokens;
    if (missing <= ROUNDING_TOLERANCE_TOKENS) return 0;
    const fits = count <= this.#size.burst + ROUNDING_TOLERANCE_TOKENS;
    if (!fits || this.#size.rate <= 0) return Infinity;
    return (missing / this.#size.rate) * MS_PER_SECOND;
  }

  #refill(): void {
    const nowMs = this.#clock.now();
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    this.#refilledAtMs = nowMs;
    const refill = (this.#size.rate * elapsedMs) / MS_PER_SECOND;
    this.#tokens = Math.min(this.#size.burst, this.#tokens + refill);
  }
}
