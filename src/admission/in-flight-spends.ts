/** Tokens that this node spent for other nodes and that may still be in use. */

import type {Clock} from '../infra/clock.js';

/**
 * Time for which the reply to a `spend` message is valid, measured by the
 * requesting node from its request.
 */
export const SPEND_VALID_MS = 100;

/** Covers the drift between the two nodes' clocks while a reply is in flight. */
const CLOCK_DRIFT_MARGIN = 1.05;

interface Spend {
  readonly count: number;
  readonly untilMs: number;
}

/**
 * Counts tokens that were spent for other nodes, but whose statements may not be
 * admitted yet.
 *
 * The bucket must keep capacity free for them. If it refilled completely while
 * they are in flight, one window could admit them and a full burst as well.
 */
export class InFlightSpends {
  readonly #clock: Clock;
  #spends: readonly Spend[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Tokens whose statements another node may still admit. */
  get tokensInFlight(): number {
    // Fast path: this runs at each admission, and there are rarely any.
    if (this.#spends.length === 0) return 0;
    const nowMs = this.#clock.now();
    this.#spends = this.#spends.filter(spend => nowMs < spend.untilMs);
    return this.#spends.reduce((sum, spend) => sum + spend.count, 0);
  }

  record(count: number): void {
    const untilMs = this.#clock.now() + SPEND_VALID_MS * CLOCK_DRIFT_MARGIN;
    this.#spends = [...this.#spends, {count, untilMs}];
  }

  /** Resolves once no token is in flight. */
  async waitUntilSettled(): Promise<void> {
    while (this.tokensInFlight > 0) await this.#clock.sleep(SPEND_VALID_MS);
  }
}
