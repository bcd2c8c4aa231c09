/** Runs statements in a bounded number of slots, each for its service time. */
import type {FreezeGate} from './signal.js';
import {abortableSleep} from './signal.js';
import {Slots} from './slots.js';

/** What has run so far. */
export interface StatementCounts {
  readonly statements: number;
  readonly maxConcurrent: number;
}

/** Runs statements in slots. */
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

  setService(serviceMs: number): void {
    this.#serviceMs = serviceMs;
  }

  /** Evaluates once a slot was held for the service time and `extraMs`. */
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
      await this.#gate.pass();
      return evaluate();
    } finally {
      this.#slots.release();
    }
  }
}
