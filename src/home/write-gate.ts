/** Holds a group's writes back for a moment, as during a planned switch. */
import type {WriteHold} from '../groups/planned-switch.js';
import type {Clock} from '../platform/clock.js';

/** How long a hold waits for the writes under way. */
const MAX_QUIET_WAIT_MS = 2_000;

/** Every write passes the gate before it reaches a database. */
export class WriteGate implements WriteHold {
  readonly #clock: Clock;
  #inside = 0;
  #opened: Promise<void> | undefined;
  #open: () => void = () => {};
  #whenQuiet: (() => void) | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Waits until the gate is open, or the deadline. Returns a function to be
   * called when the write has ended.
   */
  async enter(deadlineAt: number): Promise<() => void> {
    while (this.#opened !== undefined && this.#clock.now() < deadlineAt) {
      const waited = new AbortController();
      const leftMs = deadlineAt - this.#clock.now();
      await Promise.race([
        this.#opened,
        this.#clock.sleep(leftMs, waited.signal),
      ]);
      waited.abort();
    }
    return this.enterNow();
  }

  /** Passes without waiting, for work that must end, such as a COMMIT. */
  enterNow(): () => void {
    this.#inside++;
    let left = false;
    return () => {
      if (left) return;
      left = true;
      if (--this.#inside === 0) this.#whenQuiet?.();
    };
  }

  async holdWrites(): Promise<void> {
    this.#opened ??= new Promise(resolve => (this.#open = resolve));
    if (this.#inside === 0) return;
    const waited = new AbortController();
    const quiet = new Promise<void>(resolve => (this.#whenQuiet = resolve));
    await Promise.race([
      quiet,
      this.#clock.sleep(MAX_QUIET_WAIT_MS, waited.signal),
    ]);
    waited.abort();
    this.#whenQuiet = undefined;
  }

  releaseWrites(): void {
    this.#opened = undefined;
    this.#open();
  }
}
