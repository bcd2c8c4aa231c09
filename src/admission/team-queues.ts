/** Start-time fair queueing (SFQ) between the teams of one priority class. */

import type {SchedulingParams} from './fair-queue.js';

const MIN_WEIGHT = 1e-6;

/** An item with its order and its place in the queue. */
export interface QueuedItem<T> {
  readonly item: T;
  readonly order: SchedulingParams;
  readonly queuedAtMs: number;
  readonly startTag: number;
}

interface TeamQueue<T> {
  weight: number;
  readonly items: QueuedItem<T>[];
  finishTag: number;
  costMs: number;
}

/**
 * One FIFO queue for each team. The next item is the one with the lowest start
 * tag, the virtual time from which the team's weight entitles it to run.
 */
export class TeamQueues<T> {
  readonly #weightOf: (team: string) => number;
  readonly #queues = new Map<string, TeamQueue<T>>();
  #virtualTime = 0;
  #size = 0;
  #totalCostMs = 0;
  #nextExpiryMs = Infinity;

  constructor(weightOf: (team: string) => number) {
    this.#weightOf = weightOf;
  }

  get size(): number {
    return this.#size;
  }

  /** The expected time of all queued items on one connection. */
  get totalCostMs(): number {
    return this.#totalCostMs;
  }

  /** The queued items in the order in which they will be taken. */
  inOrder(): readonly QueuedItem<T>[] {
    return [...this.#queues.values()]
      .flatMap(({items}) => items)
      .toSorted((a, b) => a.startTag - b.startTag);
  }

  /** A lower bound of the queued deadlines; infinite if nothing is queued. */
  get nextExpiryMs(): number {
    return this.#size === 0 ? Infinity : this.#nextExpiryMs;
  }

  /** Time at which the oldest item was queued; infinite if nothing is queued. */
  get oldestQueuedAtMs(): number {
    let oldestMs = Infinity;
    for (const {items} of this.#queues.values()) {
      oldestMs = Math.min(oldestMs, items[0]?.queuedAtMs ?? Infinity);
    }
    return oldestMs;
  }

  push(item: T, order: SchedulingParams, queuedAtMs: number): void {
    const queue = this.#queueOf(order.team);
    const startTag = Math.max(this.#virtualTime, queue.finishTag);
    const {costMs, deadlineMs} = order;
    queue.finishTag = startTag + costMs / queue.weight;
    queue.costMs += costMs;
    queue.items.push({item, order, queuedAtMs, startTag});
    this.#size += 1;
    this.#totalCostMs += costMs;
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, deadlineMs);
  }

  /** Takes the item with the lowest start tag. */
  take(): T | undefined {
    let first: TeamQueue<T> | undefined;
    let firstTag = Infinity;
    for (const queue of this.#queues.values()) {
      const tag = queue.items[0]?.startTag ?? Infinity;
      if (tag >= firstTag) continue;
      first = queue;
      firstTag = tag;
    }
    if (first === undefined) return undefined;
    this.#virtualTime = Math.max(this.#virtualTime, firstTag);
    return this.#removeAt(first, 0);
  }

  /** Takes one item whose deadline has passed, if there is any. */
  takeExpired(nowMs: number): T | undefined {
    if (nowMs < this.#nextExpiryMs) return undefined;
    let nextMs = Infinity;
    for (const queue of this.#queues.values()) {
      const index = queue.items.findIndex(
        ({order}) => order.deadlineMs <= nowMs,
      );
      if (index >= 0) return this.#removeAt(queue, index);
      for (const {order} of queue.items) {
        nextMs = Math.min(nextMs, order.deadlineMs);
      }
    }
    this.#nextExpiryMs = nextMs;
    return undefined;
  }

  remove(item: T): boolean {
    for (const queue of this.#queues.values()) {
      const index = queue.items.findIndex(queued => queued.item === item);
      if (index < 0) continue;
      this.#removeAt(queue, index);
      return true;
    }
    return false;
  }

  /** The expected time, on one connection, of the items before a new one. */
  costAheadMs(team: string): number {
    const own = this.#queues.get(team);
    const startTag = Math.max(this.#virtualTime, own?.finishTag ?? 0);
    let aheadMs = own?.costMs ?? 0;
    for (const queue of this.#queues.values()) {
      const head = queue.items[0];
      if (queue === own || head === undefined) continue;
      if (head.startTag > startTag) continue;
      const served = (startTag - head.startTag) * queue.weight;
      aheadMs += Math.min(queue.costMs, Math.max(served, head.order.costMs));
    }
    return aheadMs;
  }

  #queueOf(team: string): TeamQueue<T> {
    const weight = Math.max(MIN_WEIGHT, this.#weightOf(team));
    const known = this.#queues.get(team);
    if (known !== undefined) {
      known.weight = weight;
      return known;
    }
    const queue: TeamQueue<T> = {weight, items: [], finishTag: 0, costMs: 0};
    this.#queues.set(team, queue);
    return queue;
  }

  #removeAt(queue: TeamQueue<T>, index: number): T | undefined {
    const [removed] = queue.items.splice(index, 1);
    if (removed === undefined) return undefined;
    queue.costMs -= removed.order.costMs;
    this.#size -= 1;
    // The sum of an empty queue is exact again, whatever was rounded before.
    this.#totalCostMs =
      this.#size === 0 ? 0 : this.#totalCostMs - removed.order.costMs;
    this.#removeIdleQueues();
    return removed.item;
  }

  /** Drops empty queues whose finish tag no longer delays their next item. */
  #removeIdleQueues(): void {
    for (const [name, queue] of this.#queues) {
      const idle = queue.items.length === 0;
      if (idle && queue.finishTag <= this.#virtualTime)
        this.#queues.delete(name);
    }
  }
}
