/** Virtual time that only tests advance. */

import type {Clock} from '../../src/infra/clock.js';

interface Timer {
  readonly dueMs: number;
  readonly order: number;
  readonly fire: () => void;
}

/** Skew and drift of a node's clock against the virtual clock. */
export interface NodeClockOptions {
  /** Added to the node's monotonic clock. */
  readonly offsetMs?: number;
  /** Added to the node's wall clock, besides `offsetMs`. */
  readonly wallOffsetMs?: number;
  /** Milliseconds of the node per millisecond of the virtual clock. */
  readonly rate?: number;
}

/** Event loop turns after each timer, in which promises settle. */
const SETTLE_TURNS = 2;

/** Wall time at which every virtual clock starts. */
export const VIRTUAL_EPOCH_MS = Date.UTC(2026, 0, 1);

/**
 * A clock that the test advances.
 *
 * @example
 * const clock = new VirtualClock();
 * const done = clock.sleep(100);
 * await clock.advance(100);
 * await done;
 */
export class VirtualClock implements Clock {
  #nowMs = 0;
  #wallOffsetMs = VIRTUAL_EPOCH_MS;
  #order = 0;
  readonly #timers = new TimerHeap();
  readonly #settleTurns: number;

  constructor(settleTurns = SETTLE_TURNS) {
    this.#settleTurns = settleTurns;
  }

  now(): number {
    return this.#nowMs;
  }

  wallNow(): number {
    return this.#nowMs + this.#wallOffsetMs;
  }

  /** Shifts the wall clock by `ms`; the monotonic time does not change. */
  shiftWallClock(ms: number): void {
    this.#wallOffsetMs += ms;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepUntilScheduled(finish => this.schedule(ms, finish), signal);
  }

  /** Calls `fire` after `ms`. */
  schedule(ms: number, fire: () => void): void {
    const dueMs = this.#nowMs + Math.max(0, ms);
    this.#timers.push({dueMs, order: this.#order++, fire});
  }

  /** Advances time by `ms`; fires due timers in order and settles promises. */
  async advance(ms: number): Promise<void> {
    const endMs = this.#nowMs + ms;
    await this.settle();
    for (;;) {
      const dueMs = this.#timers.peek()?.dueMs;
      if (dueMs === undefined || dueMs > endMs) break;
      this.#nowMs = Math.max(this.#nowMs, dueMs);
      this.#fireDue();
      await this.settle();
    }
    this.#nowMs = endMs;
  }

  /** Advances time in steps until `done()` is true; false after `limitMs`. */
  async advanceUntil(
    done: () => boolean,
    limitMs: number,
    stepMs = 10,
  ): Promise<boolean> {
    const endMs = this.#nowMs + limitMs;
    while (!done() && this.#nowMs < endMs) await this.advance(stepMs);
    return done();
  }

  /**
   * Advances time by `ms`; returns the value if the promise resolved by then.
   */
  async outcome<T>(promise: Promise<T>, ms: number): Promise<T | undefined> {
    let value: T | undefined;
    void promise.then(result => (value = result));
    await this.advance(ms);
    return value;
  }

  /** Runs pending promises and immediates without advancing time. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < this.#settleTurns; turn++) {
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** Creates the clock of a node, which may have skew and may be paused. */
  forNode(options: NodeClockOptions = {}): NodeClock {
    return new NodeClock(this, options);
  }

  #fireDue(): void {
    for (;;) {
      const next = this.#timers.peek();
      if (next === undefined || next.dueMs > this.#nowMs) return;
      this.#timers.pop();
      next.fire();
    }
  }
}

/** The clock of one node, driven by a {@link VirtualClock}. */
export class NodeClock implements Clock {
  readonly #time: VirtualClock;
  readonly #offsetMs: number;
  readonly #rate: number;
  #wallOffsetMs: number;
  #paused = false;
  #held: (() => void)[] = [];

  constructor(time: VirtualClock, options: NodeClockOptions) {
    this.#time = time;
    this.#offsetMs = options.offsetMs ?? 0;
    this.#wallOffsetMs = options.wallOffsetMs ?? 0;
    this.#rate = options.rate ?? 1;
  }

  now(): number {
    return this.#time.now() * this.#rate + this.#offsetMs;
  }

  wallNow(): number {
    return VIRTUAL_EPOCH_MS + this.now() + this.#wallOffsetMs;
  }

  /** Shifts the wall clock of this node only. */
  shiftWallClock(ms: number): void {
    this.#wallOffsetMs += ms;
  }

  /** True while the node is paused. */
  get paused(): boolean {
    return this.#paused;
  }

  /** Pauses the node: its timers fire only after {@link resume}. */
  pause(): void {
    this.#paused = true;
  }

  /**
   * Resumes the node; first runs the work that fell due meanwhile, in order.
   */
  resume(): void {
    this.#paused = false;
    const held = this.#held;
    this.#held = [];
    for (const run of held) run();
  }

  /** Runs `fire` now, or after {@link resume} while the node is paused. */
  whenRunning(fire: () => void): void {
    if (this.#paused) this.#held.push(fire);
    else fire();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepUntilScheduled(
      finish =>
        this.#time.schedule(ms / this.#rate, () => this.whenRunning(finish)),
      signal,
    );
  }
}

/** Resolves when the scheduled callback runs or the signal aborts. */
function sleepUntilScheduled(
  schedule: (finish: () => void) => void,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) return resolve();
    const finish = () => {
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    schedule(finish);
    signal?.addEventListener('abort', finish, {once: true});
  });
}

/** A binary heap ordered by due time, then by insertion. */
class TimerHeap {
  readonly #items: Timer[] = [];

  peek(): Timer | undefined {
    return this.#items[0];
  }

  push(timer: Timer): void {
    const items = this.#items;
    let at = items.push(timer) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(timer, items[parent]!)) break;
      items[at] = items[parent]!;
      at = parent;
    }
    items[at] = timer;
  }

  pop(): void {
    const items = this.#items;
    const last = items.pop();
    if (last === undefined || items.length === 0) return;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && isBefore(items[right]!, items[child]!)) {
        child = right;
      }
      if (!isBefore(items[child]!, last)) break;
      items[at] = items[child]!;
      at = child;
    }
    items[at] = last;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);
}
