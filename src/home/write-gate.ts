/** Holds back a group's writes for a short time, as during a planned switch. */
import type {WriteHold} from '../groups/planned-switch.js';
import type {Clock} from '../infra/clock.js';

/** Maximum time that a hold waits for writes in flight. */
const MAX_HOLD_WAIT_MS = 2_000;
/** Part of that time in which open transactions may continue. */
const MAX_TRANSACTION_WAIT_MS = 500;
const HOLD_POLL_MS = 5;

/** Options of a write gate. */
export interface WriteGateOptions {
  readonly clock: Clock;
  /** Returns the number of transactions that wait for their next statement. */
  readonly openTransactions: () => number;
}

/**
 * Every write enters the gate before it is sent to a database.
 *
 * A hold lets open transactions end first: a commit after the target of a
 * switch has caught up would make the switch abort.
 */
export class WriteGate implements WriteHold {
  readonly #clock: Clock;
  readonly #openTransactions: () => number;
  #inFlight = 0;
  #reopened: Promise<void> | undefined;
  #open: () => void = () => {};
  #holdsTransactions = false;

  constructor({clock, openTransactions}: WriteGateOptions) {
    this.#clock = clock;
    this.#openTransactions = openTransactions;
  }

  /**
   * Waits until the gate is open, or until the deadline. Returns a function to
   * call when the write has ended.
   */
  async enter(deadlineAt: number): Promise<() => void> {
    while (this.#reopened !== undefined && this.#clock.now() < deadlineAt) {
      await this.#waitForReopening(this.#reopened, deadlineAt);
    }
    return this.#enterNow();
  }

  /** Enters with a statement of an open transaction, which a hold lets end. */
  async enterPinned(deadlineAt: number): Promise<() => void> {
    return this.#holdsTransactions ? this.enter(deadlineAt) : this.#enterNow();
  }

  async holdWrites(): Promise<void> {
    this.#reopened ??= new Promise(resolve => (this.#open = resolve));
    const startedAt = this.#clock.now();
    await this.#waitUntil(startedAt + MAX_TRANSACTION_WAIT_MS, () => {
      return this.#inFlight === 0 && this.#openTransactions() === 0;
    });
    this.#holdsTransactions = true;
    const isDrained = () => this.#inFlight === 0;
    await this.#waitUntil(startedAt + MAX_HOLD_WAIT_MS, isDrained);
  }

  releaseWrites(): void {
    this.#reopened = undefined;
    this.#holdsTransactions = false;
    this.#open();
  }

  #enterNow(): () => void {
    this.#inFlight++;
    let left = false;
    return () => {
      if (left) return;
      left = true;
      this.#inFlight--;
    };
  }

  async #waitForReopening(
    reopened: Promise<void>,
    deadlineAt: number,
  ): Promise<void> {
    const timer = new AbortController();
    const remainingMs = deadlineAt - this.#clock.now();
    await Promise.race([
      reopened,
      this.#clock.sleep(remainingMs, timer.signal),
    ]);
    timer.abort();
  }

  async #waitUntil(deadlineAt: number, done: () => boolean): Promise<void> {
    while (!done() && this.#clock.now() < deadlineAt) {
      await this.#clock.sleep(HOLD_POLL_MS);
    }
  }
}
