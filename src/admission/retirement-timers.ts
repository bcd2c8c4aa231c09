/** Tracks for how long each instance has been retired. */

import type {SpendGuard} from './spend-guard.js';

/**
 * Records when this node first saw each retirement, on its monotonic clock.
 * Shares of a retired instance may be reclaimed after `reclaimDelayMs`.
 */
export class RetirementTimers {
  readonly #guard: SpendGuard;
  readonly #seenAtMs = new Map<string, number>();

  constructor(guard: SpendGuard) {
    this.#guard = guard;
  }

  /** Restarts every timer if this node is cut off. */
  resetIfCutOff(): void {
    if (this.#guard.isCutOff) this.#seenAtMs.clear();
  }

  /**
   * True if no node can still spend a share that `instance` held or granted.
   * The first call after a retirement starts its timer.
   */
  isReclaimable(instance: string): boolean {
    if (!this.#guard.isRetired(instance)) {
      this.#seenAtMs.delete(instance);
      return false;
    }
    const {nowMs, reclaimDelayMs} = this.#guard;
    const seenAtMs = this.#seenAtMs.get(instance) ?? nowMs;
    this.#seenAtMs.set(instance, seenAtMs);
    return nowMs - seenAtMs >= reclaimDelayMs;
  }
}
