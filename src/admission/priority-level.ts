/** The queued items of one priority. */
import type {Clock} from '../infra/clock.js';
import type {SchedulingParams} from './fair-queue.js';
import {TeamQueues} from './team-queues.js';
import {WorkRate} from './work-rate.js';

/**
 * Items that can meet their latency goal, and late ones. A late item runs only
 * when no other of its priority waits, so that it makes none late.
 */
export class PriorityLevel<T> {
  readonly inTime: TeamQueues<T>;
  readonly late: TeamQueues<T>;
  /** The work that was accepted for this priority. */
  readonly rate: WorkRate;
  /** All the work that was offered, also what was refused. */
  readonly offeredRate: WorkRate;
  /** Dispatches since a lower priority had its turn. */
  inARow = 0;

  constructor(clock: Clock, weightOf: (team: string) => number) {
    this.inTime = new TeamQueues<T>(weightOf);
    this.late = new TeamQueues<T>(weightOf);
    this.rate = new WorkRate(clock);
    this.offeredRate = new WorkRate(clock);
  }

  get size(): number {
    return this.inTime.size + this.late.size;
  }

  get totalCostMs(): number {
    return this.inTime.totalCostMs + this.late.totalCostMs;
  }

  /** Average cost of this priority's items, or a default before the first. */
  costMs(defaultMs: number): number {
    if (this.size > 0) return this.totalCostMs / this.size;
    return this.rate.costMs ?? defaultMs;
  }

  get nextExpiryMs(): number {
    return Math.min(this.inTime.nextExpiryMs, this.late.nextExpiryMs);
  }

  get oldestQueuedAtMs(): number {
    return Math.min(this.inTime.oldestQueuedAtMs, this.late.oldestQueuedAtMs);
  }

  take(): T | undefined {
    return this.inTime.take() ?? this.late.take();
  }

  takeExpired(nowMs: number): T | undefined {
    return this.inTime.takeExpired(nowMs) ?? this.late.takeExpired(nowMs);
  }

  remove(item: T): boolean {
    return this.inTime.remove(item) || this.late.remove(item);
  }

  /** Moves an item whose latency goal has passed behind the others. */
  makeLate(item: T, order: SchedulingParams, queuedAtMs: number): void {
    this.inTime.remove(item);
    this.late.push(item, order, queuedAtMs);
  }
}
