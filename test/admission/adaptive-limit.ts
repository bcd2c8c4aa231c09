const MAX_EXTRA_STATEMENTS = 4;
/** A latency above this multiple of the minimum counts as queueing. */
const QUEUEING_RATIO = 2;
const DECREASE_RATIO = 0.9;
/** Number of answers over which the minimum latency is taken. */
const WINDOW_ANSWERS = 200;

/**
 * A limit that adapts to latency by additive increase and multiplicative decrease
 * (AIMD), to compare with the fixed limit.
 */
export class AdaptiveLimit {
  readonly #slots: number;
  #limit: number;
  #leastMs = Infinity;
  #nextLeastMs = Infinity;
  #answers = 0;

  constructor(slots: number) {
    this.#slots = slots;
    this.#limit = slots + 1;
  }

  get value(): number {
    return Math.floor(this.#limit);
  }

  record(latencyMs: number, concurrency: number): void {
    this.#recordLeast(latencyMs);
    if (latencyMs > QUEUEING_RATIO * this.#leastMs) {
      this.#limit = Math.max(this.#slots, this.#limit * DECREASE_RATIO);
      return;
    }
    if (concurrency < this.value) return;
    const maxLimit = this.#slots + MAX_EXTRA_STATEMENTS;
    this.#limit = Math.min(maxLimit, this.#limit + 1 / this.#limit);
  }

  #recordLeast(latencyMs: number): void {
    this.#nextLeastMs = Math.min(this.#nextLeastMs, latencyMs);
    this.#leastMs = Math.min(this.#leastMs, latencyMs);
    this.#answers += 1;
    if (this.#answers < WINDOW_ANSWERS) return;
    this.#leastMs = this.#nextLeastMs;
    this.#nextLeastMs = Infinity;
    this.#answers = 0;
  }
}
