/** A queue with priorities, fairness between teams, and deadlines. */

import type {Clock} from '../infra/clock.js';
import {PriorityLevel} from './priority-level.js';
import type {QueuedItem} from './team-queues.js';
import {
  isWaitWithin,
  solveWait,
  workWithin,
  type WaitEstimate,
  type WorkStream,
} from './wait-estimate.js';

/**
 * While less urgent items wait, one dispatch in this many goes to them, so that
 * more urgent ones can't starve them. The same holds for each step down: of the
 * dispatches that the first priority leaves, the second leaves one in this many.
 */
export const FLOOR_DISPATCH_INTERVAL = 8;
/**
 * Part of the time left within which an item must be expected to end, as waits
 * are estimated and the way back to the caller takes time as well. In the model
 * of test/home/queue-load.ts, 1 is worth 0.91 and 0.8 is worth 0.93 at 2.4 times
 * the usual load of himalwire-grown.
 */
const EXPECTED_TIME_RATIO = 0.8;
/** Higher numbers count as this one: they come from other nodes. */
const MAX_PRIORITY = 15;

/** The attributes of an item by which the queue schedules it. */
export interface SchedulingParams {
  readonly team: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic time at which the caller gives up. */
  readonly deadlineMs: number;
  /**
   * Monotonic time until which the item's result has its full value; the
   * deadline by default. An item that can't meet it is queued behind those that
   * can, if it is expected to meet its deadline there.
   */
  readonly latencyGoalMs?: number | undefined;
  /** Expected time for which the item occupies a connection. */
  readonly costMs: number;
}

/** The result of offering an item. */
export type OfferResult =
  | {
      readonly kind: 'queued';
      readonly expectedWaitMs: number;
      /** Set if it is expected to miss its latency goal. */
      readonly isLate?: true;
    }
  | {
      readonly kind: 'refused';
      /** Infinite if the queue does not become shorter at the present load. */
      readonly retryAfterMs: number;
    };

/** An item taken from the queue: to run, or expired while it waited. */
export type TakenItem<T> =
  | {readonly kind: 'run'; readonly item: T}
  | {readonly kind: 'expired'; readonly item: T};

/** Options of a fair queue. */
export interface FairQueueOptions {
  readonly clock: Clock;
  /** Returns a team's weight, such as its rate; it should be above zero. */
  readonly weightOf: (team: string) => number;
  /** Returns how many items run concurrently. */
  readonly concurrency: () => number;
}

/** Where an item stands: its priority, and the work ahead of it there. */
interface Place {
  readonly priority: number;
  readonly isLate: boolean;
  readonly sameMs: number;
  readonly costMs: number;
  /** Whether work that arrives later is counted. */
  readonly countsArrivals: boolean;
}

/**
 * Orders items by priority, then between teams by start-time fair queueing (SFQ).
 *
 * @example
 * const queue = new FairQueue<Job>({clock, weightOf, concurrency: () => 2});
 * const offered = queue.offer(job, {team, priority: 0, deadlineMs, costMs});
 * if (offered.kind === 'refused') refuse(offered.retryAfterMs);
 */
export class FairQueue<T> {
  readonly #options: FairQueueOptions;
  /** By priority, the most urgent first. */
  readonly #levels: PriorityLevel<T>[] = [];

  constructor(options: FairQueueOptions) {
    this.#options = options;
  }

  /** The number of queued items, including expired ones not yet taken. */
  get size(): number {
    let size = 0;
    for (const level of this.#levels) size += level.size;
    return size;
  }

  /** Time for which the oldest item has waited; 0 if the queue is empty. */
  get oldestAgeMs(): number {
    const oldestMs = Math.min(
      ...this.#levels.map(level => level.oldestQueuedAtMs),
    );
    return oldestMs === Infinity ? 0 : this.#options.clock.now() - oldestMs;
  }

  /** A lower bound of the queued deadlines; infinite if the queue is empty. */
  get nextExpiryMs(): number {
    return Math.min(...this.#levels.map(level => level.nextExpiryMs));
  }

  /**
   * Queues an item, or refuses it if it would not meet its deadline.
   *
   * @example
   * queue.offer(job, {team, priority: 1, deadlineMs: now + 500, costMs: 4});
   */
  offer(item: T, order: SchedulingParams): OfferResult {
    const nowMs = this.#options.clock.now();
    const level = this.#levelOf(order.priority);
    const endMs = nowMs + order.costMs;
    const {waitMs} = this.estimate(order);
    const lateMs = endMs + waitMs - inTimeUntilMs(order, nowMs);
    const lateUntilMs =
      nowMs + EXPECTED_TIME_RATIO * (order.deadlineMs - nowMs);
    level.offeredRate.record(order.costMs);
    if (lateMs <= 0) {
      level.inTime.push(item, order, nowMs);
      level.rate.record(order.costMs);
      return {kind: 'queued', expectedWaitMs: waitMs};
    }
    const late = this.#estimate(this.#placeOf(order, true));
    const mayBeLate = order.latencyGoalMs !== undefined;
    if (mayBeLate && endMs + late.waitMs <= lateUntilMs) {
      level.late.push(item, order, nowMs);
      return {kind: 'queued', expectedWaitMs: late.waitMs, isLate: true};
    }
    const retryAfterMs = Math.max(1, Math.ceil(this.#drainMs(order, lateMs)));
    return {kind: 'refused', retryAfterMs};
  }

  /** Estimates the wait of an item that is offered now. */
  estimate(order: SchedulingParams): WaitEstimate {
    return this.#estimate(this.#placeOf(order, false));
  }

  /** Records an item that ran without being queued, for later estimates. */
  recordStart({priority, costMs}: SchedulingParams): void {
    const level = this.#levelOf(priority);
    level.rate.record(costMs);
    level.offeredRate.record(costMs);
  }

  /** Takes an expired item if there is one, else the next item to run. */
  take(): TakenItem<T> | undefined {
    const expired = this.takeExpired();
    if (expired !== undefined) return {kind: 'expired', item: expired};
    const item = this.#nextLevel()?.take();
    return item === undefined ? undefined : {kind: 'run', item};
  }

  /** Takes an expired item only; for use while no item may run. */
  takeExpired(): T | undefined {
    const nowMs = this.#options.clock.now();
    for (const level of this.#levels) {
      const expired = level.takeExpired(nowMs);
      if (expired !== undefined) return expired;
    }
    return undefined;
  }

  /** Removes an item, e.g. one that was cancelled; false if it is not queued. */
  remove(item: T): boolean {
    return this.#levels.some(level => level.remove(item));
  }

  /**
   * Removes and returns the items that are not expected to meet their deadline
   * any more, because more urgent ones have arrived since. Moves those whose
   * latency goal has passed behind the others. Items without a goal stay.
   *
   * @example
   * for (const job of queue.takeHopeless()) refuse(job);
   */
  takeHopeless(): readonly T[] {
    const hopeless: T[] = [];
    for (const [priority, level] of this.#levels.entries()) {
      this.#reviewBand(priority, level.inTime.inOrder(), false, hopeless);
      this.#reviewBand(priority, level.late.inOrder(), true, hopeless);
    }
    return hopeless;
  }

  #reviewBand(
    priority: number,
    queued: readonly QueuedItem<T>[],
    isLate: boolean,
    hopeless: T[],
  ): void {
    const nowMs = this.#options.clock.now();
    const level = this.#levelOf(priority);
    let sameMs = 0;
    for (const {item, order, queuedAtMs} of queued) {
      const {costMs, deadlineMs, latencyGoalMs} = order;
      const aheadMs = sameMs;
      sameMs += costMs;
      if (latencyGoalMs === undefined) continue;
      const place = {priority, isLate, sameMs: aheadMs, costMs};
      const leftMs = deadlineMs - nowMs - costMs;
      if (!this.#isServedWithin(leftMs, {...place, countsArrivals: true})) {
        level.remove(item);
        hopeless.push(item);
      } else if (!isLate && nowMs + costMs > latencyGoalMs) {
        level.makeLate(item, order, queuedAtMs);
      } else continue;
      sameMs -= costMs;
    }
  }

  /**
   * Time until the queue of a priority is shorter by `ms`; infinite while more
   * work of this and the more urgent priorities arrives than the slots can run.
   */
  #drainMs({priority, latencyGoalMs}: SchedulingParams, ms: number): number {
    if (latencyGoalMs === undefined) return ms;
    const concurrency = this.#concurrency;
    let free = concurrency - this.#levelOf(priority).offeredRate.perMs;
    for (const level of this.#levels.slice(0, levelIndex(priority))) {
      free -= level.rate.perMs;
    }
    return free > 0 ? (ms * concurrency) / free : Infinity;
  }

  #levelOf(priority: number): PriorityLevel<T> {
    const {clock, weightOf} = this.#options;
    const index = levelIndex(priority);
    for (let next = this.#levels.length; next <= index; next++) {
      this.#levels.push(new PriorityLevel<T>(clock, weightOf));
    }
    return this.#levels[index]!;
  }

  #nextLevel(): PriorityLevel<T> | undefined {
    let waitingBelow = this.size;
    for (const level of this.#levels) {
      waitingBelow -= level.size;
      const isLowerDue = level.inARow >= FLOOR_DISPATCH_INTERVAL - 1;
      if (waitingBelow === 0) {
        level.inARow = 0;
        return level;
      }
      if (level.size > 0 && !isLowerDue) {
        level.inARow += 1;
        return level;
      }
      level.inARow = 0;
    }
    return undefined;
  }

  #placeOf(order: SchedulingParams, isLate: boolean): Place {
    const {inTime, late} = this.#levelOf(order.priority);
    return {
      priority: levelIndex(order.priority),
      isLate,
      sameMs: (isLate ? late : inTime).costAheadMs(order.team),
      costMs: order.costMs,
      countsArrivals: order.latencyGoalMs !== undefined,
    };
  }

  #isServedWithin(ms: number, place: Place): boolean {
    const fixedMs = place.sameMs + this.#floorMs(place);
    const streams = this.#streamsBefore(place);
    return isWaitWithin(ms, fixedMs, streams, this.#concurrency);
  }

  get #concurrency(): number {
    return Math.max(1, this.#options.concurrency());
  }

  #estimate(place: Place): WaitEstimate {
    const concurrency = this.#concurrency;
    const streams = this.#streamsBefore(place);
    const floorMs = this.#floorMs(place);
    const {sameMs} = place;
    const waitMs = solveWait(sameMs + floorMs, streams, concurrency);
    let urgentMs = 0;
    let arrivingMs = 0;
    for (const stream of streams) {
      const queuedMs = Math.min(stream.queuedMs, stream.limitMs);
      urgentMs += queuedMs;
      arrivingMs += workWithin(stream, waitMs) - queuedMs;
    }
    return {waitMs, sameMs, urgentMs, arrivingMs, floorMs, concurrency};
  }

  /**
   * The work that goes first: of more urgent priorities, as far as the floor of
   * this one lets it, and before a late item also that in time. A late item is
   * not promised the floor, which those in time use up.
   */
  #streamsBefore({
    priority,
    isLate,
    sameMs,
    costMs,
    countsArrivals,
  }: Place): readonly WorkStream[] {
    const rateOf = (level: PriorityLevel<T>) =>
      countsArrivals ? level.rate.perMs : 0;
    const turns = 1 + sameMs / Math.max(1, costMs);
    const streams = this.#levels.slice(0, priority).map((level, index) => {
      const dispatches =
        (FLOOR_DISPATCH_INTERVAL - 1) *
        FLOOR_DISPATCH_INTERVAL ** (priority - 1 - index);
      return {
        queuedMs: level.totalCostMs,
        arrivingPerMs: rateOf(level),
        limitMs: isLate ? Infinity : turns * dispatches * level.costMs(costMs),
      };
    });
    if (!isLate) return streams;
    const own = this.#levelOf(priority);
    const inTime: WorkStream = {
      queuedMs: own.inTime.totalCostMs,
      arrivingPerMs: rateOf(own),
      limitMs: Infinity,
    };
    return [...streams, inTime];
  }

  /** Work of the lower priorities that their floor lets go first. */
  #floorMs({priority, isLate, sameMs, costMs}: Place): number {
    const inTimeMs = isLate ? this.#levelOf(priority).inTime.totalCostMs : 0;
    const dispatches = (inTimeMs + sameMs) / Math.max(1, costMs);
    const turns = dispatches / (FLOOR_DISPATCH_INTERVAL - 1);
    let floorMs = 0;
    for (const [index, level] of this.#levels.entries()) {
      if (index <= priority || level.size === 0) continue;
      const limitMs = turns * level.costMs(costMs);
      floorMs = Math.max(floorMs, Math.min(level.totalCostMs, limitMs));
    }
    return floorMs;
  }
}

/** The time by which an item must be expected to end to count as in time. */
function inTimeUntilMs(
  {latencyGoalMs, deadlineMs}: SchedulingParams,
  nowMs: number,
): number {
  if (latencyGoalMs === undefined) return deadlineMs;
  const goalMs = nowMs + EXPECTED_TIME_RATIO * (latencyGoalMs - nowMs);
  return Math.min(goalMs, deadlineMs);
}

/** Limits a priority from another node to the supported ones. */
function levelIndex(priority: number): number {
  if (!(priority >= 0)) return MAX_PRIORITY;
  return Math.min(MAX_PRIORITY, Math.floor(priority));
}
