/** Runs statements with bounded concurrency and a simulated service time. */
import type {FreezeGate} from './signal.js';
import {abortableSleep} from './signal.js';
import {Slots} from './slots.js';

/** Number of statements run, and the highest number that ran concurrently. */
export interface StatementCounts {
  readonly statements: number;
  readonly maxConcurrent: number;
}

/** Runs each statement in one of a fixed number of slots. */
export class StatementRunner {
  readonly #slots: Slots;
  readonly #gate: FreezeGate;
  #serviceMs: number;
  #statements = 0;
  #maxConcurrent = 0;

  constructor(slots: number, serviceMs: number, gate: FreezeGate) {
    this.#slots = new Slots(slots);
    this.#serviceMs = serviceMs;
    this.#gate = gate;
  }

  get counts(): StatementCounts {
    return {
      statements: this.#statements,
      maxConcurrent: this.#maxConcurrent,
    };
  }

  setServiceTime(serviceMs: number): void {
    this.#serviceMs = serviceMs;
  }

  /**
   * Calls `evaluate` after holding a slot for the service time plus `extraMs`.
   */
  async run<T>(
    extraMs: number,
    signal: AbortSignal,
    evaluate: () => T,
  ): Promise<T> {
    await this.#slots.acquire(signal);
    this.#statements++;
    this.#maxConcurrent = Math.max(this.#maxConcurrent, this.#slots.used);
    try {
      const holdMs = this.#serviceMs + extraMs;
      if (holdMs > 0) await abortableSleep(holdMs, signal);
      await this.#gate.waitUntilOpen();
      return evaluate();
    } finally {
      this.#slots.release();
    }
  }
}
