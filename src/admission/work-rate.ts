/**
 * Measures how much work arrives for one priority.
 *
 * Load pattern: a peak of urgent statements that lasts some seconds. A less
 * urgent statement waits for those that are queued and also for those that
 * arrive while it waits, so a queue's length alone promises it a slot too soon.
 */
import type {Clock} from '../infra/clock.js';

/** Shorter than the shortest load peaks (3 s), longer than a usual wait. */
const WINDOW_MS = 1_000;
/** Weight of the newest item in the average cost. */
const COST_SMOOTHING = 0.1;

/**
 * An exponentially weighted rate of work, in milliseconds of one slot.
 *
 * @example
 * const rate = new WorkRate(clock);
 * rate.record(11);
 * rate.perMs; // about 0.011: 11 ms of work within the last second
 */
export class WorkRate {
  readonly #clock: Clock;
  #perMs = 0;
  #costMs: number | undefined;
  #updatedAtMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAtMs = clock.now();
  }

  /** Work that arrives per millisecond: the number of slots it occupies. */
  get perMs(): number {
    this.#decay();
    return this.#perMs;
  }

  /** Average cost of an item; undefined before the first. */
  get costMs(): number | undefined {
    return this.#costMs;
  }

  /** Records an item that was accepted. */
  record(costMs: number): void {
    this.#decay();
    this.#perMs += costMs / WINDOW_MS;
    const known = this.#costMs ?? costMs;
    this.#costMs = known + COST_SMOOTHING * (costMs - known);
  }

  #decay(): void {
    const nowMs = this.#clock.now();
    if (nowMs === this.#updatedAtMs) return;
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#perMs *= Math.exp(-elapsedMs / WINDOW_MS);
    this.#updatedAtMs = nowMs;
  }
}
