/** A queue with priority classes, fairness between teams, and deadlines. */

import type {Clock} from '../infra/clock.js';
import {TeamQueues} from './team-queues.js';

/** The priority class of an item; urgent items go first. */
export type WorkClass = 'urgent' | 'ordinary';

/**
 * While ordinary items wait, at least one dispatch in this many is ordinary, so
 * that urgent ones can't starve them.
 */
export const ORDINARY_DISPATCH_INTERVAL = 8;

/** The attributes of an item by which the queue schedules it. */
export interface SchedulingParams {
  readonly team: string;
  readonly class: WorkClass;
  /** Monotonic time at which the caller gives up. */
  readonly deadlineMs: number;
  /** Expected time for which the item occupies a connection. */
  readonly costMs: number;
}

/** The result of offering an item. */
export type OfferResult =
  | {readonly kind: 'queued'; readonly expectedWaitMs: number}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

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

/**
 * Orders items by class, then between teams by start-time fair queueing (SFQ).
 *
 * @example
 * const queue = new FairQueue<Job>({clock, weightOf, concurrency: () => 2});
 * const offered = queue.offer(job, {team, class: 'urgent', deadlineMs, costMs});
 * if (offered.kind === 'refused') refuse(offered.retryAfterMs);
 */
export class FairQueue<T> {
  readonly #options: FairQueueOptions;
  readonly #classes: Readonly<Record<WorkClass, TeamQueues<T>>>;
  #urgentInARow = 0;

  constructor(options: FairQueueOptions) {
    this.#options = options;
    this.#classes = {
      urgent: new TeamQueues<T>(options.weightOf),
      ordinary: new TeamQueues<T>(options.weightOf),
    };
  }

  /** The number of queued items, including expired ones not yet taken. */
  get size(): number {
    return this.#classes.urgent.size + this.#classes.ordinary.size;
  }

  /** Time for which the oldest item has waited; 0 if the queue is empty. */
  get oldestAgeMs(): number {
    const oldestMs = Math.min(
      this.#classes.urgent.oldestQueuedAtMs,
      this.#classes.ordinary.oldestQueuedAtMs,
    );
    return oldestMs === Infinity ? 0 : this.#options.clock.now() - oldestMs;
  }

  /** A lower bound of the queued deadlines; infinite if the queue is empty. */
  get nextExpiryMs(): number {
    return Math.min(
      this.#classes.urgent.nextExpiryMs,
      this.#classes.ordinary.nextExpiryMs,
    );
  }

  /**
   * Queues an item, or refuses it if it would not meet its deadline.
   *
   * @example
   * queue.offer(job, {team, class: 'ordinary', deadlineMs: now + 500, costMs: 4});
   */
  offer(item: T, order: SchedulingParams): OfferResult {
    const nowMs = this.#options.clock.now();
    const expectedWaitMs = this.#expectedWaitMs(order);
    const lateMs = nowMs + expectedWaitMs + order.costMs - order.deadlineMs;
    if (lateMs > 0) {
      return {kind: 'refused', retryAfterMs: Math.max(1, Math.ceil(lateMs))};
    }
    this.#classes[order.class].push(item, order, nowMs);
    return {kind: 'queued', expectedWaitMs};
  }

  /** Takes an expired item if there is one, else the next item to run. */
  take(): TakenItem<T> | undefined {
    const expired = this.takeExpired();
    if (expired !== undefined) return {kind: 'expired', item: expired};
    const next = this.#nextClass();
    const item = this.#classes[next].take();
    if (item === undefined) return undefined;
    return {kind: 'run', item};
  }

  /** Takes an expired item only; for use while no item may run. */
  takeExpired(): T | undefined {
    const nowMs = this.#options.clock.now();
    return (
      this.#classes.urgent.takeExpired(nowMs) ??
      this.#classes.ordinary.takeExpired(nowMs)
    );
  }

  /** Removes an item, e.g. one that was cancelled; false if it is not queued. */
  remove(item: T): boolean {
    return (
      this.#classes.urgent.remove(item) || this.#classes.ordinary.remove(item)
    );
  }

  #nextClass(): WorkClass {
    const {urgent, ordinary} = this.#classes;
    if (ordinary.size === 0) {
      this.#urgentInARow = 0;
      return 'urgent';
    }
    const isOrdinaryDue = this.#urgentInARow >= ORDINARY_DISPATCH_INTERVAL - 1;
    if (urgent.size === 0 || isOrdinaryDue) {
      this.#urgentInARow = 0;
      return 'ordinary';
    }
    this.#urgentInARow += 1;
    return 'urgent';
  }

  #expectedWaitMs(order: SchedulingParams): number {
    const {urgent, ordinary} = this.#classes;
    const sameClassMs = this.#classes[order.class].costAheadMs(order.team);
    const concurrency = Math.max(1, this.#options.concurrency());
    // The dispatch interval bounds how much of the other class goes first.
    if (order.class === 'urgent') {
      const ordinaryMs = Math.min(
        ordinary.totalCostMs,
        sameClassMs / (ORDINARY_DISPATCH_INTERVAL - 1),
      );
      return (sameClassMs + ordinaryMs) / concurrency;
    }
    const urgentMs = Math.min(
      urgent.totalCostMs,
      (sameClassMs + 1) * (ORDINARY_DISPATCH_INTERVAL - 1),
    );
    return (sameClassMs + urgentMs) / concurrency;
  }
}
