/** Estimates how many statements a second callers send. */

import type {Clock} from '../infra/clock.js';

const WINDOW_MS = 1_000;

/**
 * An exponentially weighted moving rate of events.
 *
 * @example
 * const meter = new DemandMeter(clock);
 * meter.record();
 * meter.perSecond; // about 1
 */
export class DemandMeter {
  readonly #clock: Clock;
  #perSecond = 0;
  #updatedAtMs: number;
  #lastEventAtMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAtMs = clock.now();
  }

  /** Events a second, with the most recent ones weighted most. */
  get perSecond(): number {
    this.#decay();
    return this.#perSecond;
  }

  /** Milliseconds since the last event; infinite before the first. */
  get idleMs(): number {
    return this.#clock.now() - this.#lastEventAtMs;
  }

  record(): void {
    this.#decay();
    this.#perSecond += 1_000 / WINDOW_MS;
    this.#lastEventAtMs = this.#updatedAtMs;
  }

  #decay(): void {
    const nowMs = this.#clock.now();
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#perSecond *= Math.exp(-elapsedMs / WINDOW_MS);
    this.#updatedAtMs = nowMs;
  }
}
