import type {Clock} from '../../src/infra/clock.js';

/** A clock that a test advances by hand, for code that never sleeps. */
export class ManualClock implements Clock {
  #nowMs: number;

  constructor(nowMs = 0) {
    this.#nowMs = nowMs;
  }

  now(): number {
    return this.#nowMs;
  }

  wallNow(): number {
    return this.#nowMs;
  }

  advance(ms: number): void {
    this.#nowMs += ms;
  }

  sleep(): Promise<void> {
    throw new Error('ManualClock can not sleep; use VirtualClock instead');
  }
}
