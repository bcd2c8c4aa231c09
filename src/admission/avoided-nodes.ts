/** Temporarily excludes nodes that did not answer. */

import type {Clock} from '../infra/clock.js';

/**
 * A set of nodes whose entries expire after a fixed time.
 *
 * @example
 * const avoided = new AvoidedNodes(clock, 3_000);
 * avoided.add('vm1/a');
 * avoided.has('vm1/a'); // true for 3 s
 */
export class AvoidedNodes {
  readonly #clock: Pick<Clock, 'now'>;
  readonly #pauseMs: number;
  readonly #untilMs = new Map<string, number>();

  /** `pauseMs` is how long a node is excluded, in monotonic time. */
  constructor(clock: Pick<Clock, 'now'>, pauseMs: number) {
    this.#clock = clock;
    this.#pauseMs = pauseMs;
  }

  add(instance: string): void {
    this.#untilMs.set(instance, this.#clock.now() + this.#pauseMs);
  }

  has(instance: string): boolean {
    const untilMs = this.#untilMs.get(instance);
    if (untilMs === undefined) return false;
    if (this.#clock.now() < untilMs) return true;
    this.#untilMs.delete(instance);
    return false;
  }
}
