/** The methods of pacing that `npm run bench -- pace` compares. */
import {normalLimit} from '../src/admission/concurrency-limit.js';
import type {Clock} from '../src/infra/clock.js';
import type {Pace} from '../src/pace/pace.js';

const RAMP_MS = 2_000;
/** Time for which the model's databases announce that they are cold. */
const ANNOUNCED_MS = 3_000;
const GRADIENT_TOLERANCE = 1.5;
const GRADIENT_SMOOTHING = 0.2;

/** Rises evenly from one to the normal limit, whatever the answers. */
export class FixedRamp implements Pace {
  readonly #clock: Clock;
  readonly #rampMs: (reason: string) => number;
  #from = -Infinity;
  #lengthMs = RAMP_MS;

  constructor(clock: Clock, rampMs: (reason: string) => number) {
    this.#clock = clock;
    this.#rampMs = rampMs;
  }

  limit(slots: number): number {
    const elapsedMs = this.#clock.now() - this.#from;
    const part = Math.min(1, elapsedMs / this.#lengthMs);
    return Math.floor(1 + (normalLimit(slots) - 1) * part);
  }

  recordReturn(reason: string): void {
    const lengthMs = this.#rampMs(reason);
    if (lengthMs <= 0) return;
    this.#from = this.#clock.now();
    this.#lengthMs = lengthMs;
  }

  recordAnswer(): void {}

  recordFailure(): void {}
}

/** A ramp of a fixed time after every return. */
export function fixedRamp(clock: Clock): Pace {
  return new FixedRamp(clock, () => RAMP_MS);
}

/** A ramp over the announced time, after the start of a process only. */
export function announcedWarmUp(clock: Clock): Pace {
  return new FixedRamp(clock, reason =>
    reason === 'started' ? ANNOUNCED_MS : 0,
  );
}

/** Follows the ratio of the expected time of an answer to the measured one. */
export class LatencyGradient implements Pace {
  #level = Infinity;

  limit(slots: number): number {
    this.#level = Math.min(this.#level, normalLimit(slots));
    return Math.max(1, Math.floor(this.#level));
  }

  recordReturn(): void {
    this.#level = 1;
  }

  recordAnswer(tookMs: number, expectedMs: number): void {
    const ratio = (GRADIENT_TOLERANCE * expectedMs) / Math.max(0.1, tookMs);
    const gradient = Math.max(0.5, Math.min(1, ratio));
    const wanted = this.#level * gradient + Math.sqrt(this.#level);
    this.#level += GRADIENT_SMOOTHING * (wanted - this.#level);
    this.#level = Math.max(1, this.#level);
  }

  recordFailure(): void {}
}
