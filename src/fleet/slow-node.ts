/**
 * Decides whether this node is slow, from how late its timers fire.
 *
 * Load pattern: a node gets a fraction of its processor time for some seconds or
 * for good, while its health checks and lease renewals still pass. Every statement
 * of the groups whose home it is waits for it.
 */
import type {Clock} from '../infra/clock.js';

/** Weight of the newest sample in the average delay. */
const SMOOTHING = 0.3;
/**
 * A longer delay counts as this one, so that one pause, of garbage collection or
 * of the machine, does not lift the average above the limit.
 */
const MAX_SAMPLE_MS = 160;
/** A node is slow above this delay, a third of the shortest latency goals. */
const SLOW_DELAY_MS = 50;
const SLOW_AFTER_MS = 1_000;
/** A slow node has recovered below this delay. */
const NORMAL_DELAY_MS = 10;
const RECOVERED_AFTER_MS = 5_000;
/** Shortest time between two changes of the mark. */
const MIN_CHANGE_INTERVAL_MS = 2_000;
/**
 * A node that is slow only while it has homes would lose and regain them again
 * and again. If it is marked within this time after a recovery, it must stay
 * normal for twice as long as before.
 */
const RELAPSE_MS = 30_000;
const MAX_RECOVERED_AFTER_MS = 40_000;

/**
 * Tracks the average delay of this node and whether it marks itself as slow.
 *
 * @example
 * const state = new SlowNode(clock);
 * if (state.recordDelay(lateMs)) lease.setSlow(state.isSlow);
 */
export class SlowNode {
  readonly #clock: Clock;
  #delayMs = 0;
  #isSlow = false;
  /** Since when the delay calls for the other state. */
  #differsSince: number | undefined;
  #changedAt = -Infinity;
  #recoveredAfterMs = RECOVERED_AFTER_MS;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isSlow(): boolean {
    return this.#isSlow;
  }

  /** Average delay of this node's timers, in milliseconds. */
  get delayMs(): number {
    return this.#delayMs;
  }

  /** Records how late a timer fired; returns whether the mark changes. */
  recordDelay(lateMs: number): boolean {
    const sample = Math.min(Math.max(0, lateMs), MAX_SAMPLE_MS);
    this.#delayMs += SMOOTHING * (sample - this.#delayMs);
    const now = this.#clock.now();
    const differs = this.#isSlow
      ? this.#delayMs < NORMAL_DELAY_MS
      : this.#delayMs > SLOW_DELAY_MS;
    if (!differs) {
      this.#differsSince = undefined;
      return false;
    }
    this.#differsSince ??= now;
    const neededMs = this.#isSlow ? this.#recoveredAfterMs : SLOW_AFTER_MS;
    if (now - this.#differsSince < neededMs) return false;
    if (now - this.#changedAt < MIN_CHANGE_INTERVAL_MS) return false;
    this.#change(now);
    return true;
  }

  #change(now: number): void {
    if (!this.#isSlow) {
      const isRelapse = now - this.#changedAt < RELAPSE_MS;
      this.#recoveredAfterMs = isRelapse
        ? Math.min(MAX_RECOVERED_AFTER_MS, this.#recoveredAfterMs * 2)
        : RECOVERED_AFTER_MS;
    }
    this.#isSlow = !this.#isSlow;
    this.#changedAt = now;
    this.#differsSince = undefined;
  }
}
