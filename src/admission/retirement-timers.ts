/** Measures how long ago instances were retired. */

import type {SpendGuard} from './spend-guard.js';

/** When each retired instance was first seen so, on this node's clock. */
export class RetirementTimers {
  readonly #guard: SpendGuard;
  readonly #seenAtMs = new Map<string, number>();

  constructor(guard: SpendGuard) {
    this.#guard = guard;
  }

  /** Starts every measurement anew if this node was cut off meanwhile. */
  check(): void {
    if (this.#guard.isCutOff) this.#seenAtMs.clear();
  }

  /** Whether nobody uses any longer what `instance` held or granted. */
  isSafe(instance: string): boolean {
    if (!this.#guard.isRetired(instance)) {
      this.#seenAtMs.delete(instance);
      return false;
    }
    const {nowMs, safetyMs} = this.#guard;
    const seenAtMs = this.#seenAtMs.get(instance) ?? nowMs;
    this.#seenAtMs.set(instance, seenAtMs);
    return nowMs - seenAtMs >= safetyMs;
  }
}
