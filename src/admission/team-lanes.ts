/** Start-time fair queueing between the teams of one class. */

import type {WorkOrder} from './fair-queue.js';

const MIN_WEIGHT = 1e-6;

interface Queued<T> {
  readonly item: T;
  readonly costMs: number;
  readonly deadlineMs: number;
  readonly queuedAtMs: number;
  readonly startTag: number;
}

interface Lane<T> {
  readonly team: string;
  readonly weight: number;
  readonly queue: Queued<T>[];
  finishTag: number;
  costMs: number;
}

/** One first-in-first-out lane a team, served by the lowest start tag. */
export class TeamLanes<T> {
  readonly #weightOf: (team: string) => number;
  readonly #lanes = new Map<string, Lane<T>>();
  #virtualTime = 0;
  #size = 0;
  #nextExpiryMs = Infinity;

  constructor(weightOf: (team: string) => number) {
    this.#weightOf = weightOf;
  }

  get size(): number {
    return this.#size;
  }

  /** The expected time of all queued items on one connection. */
  get cost(): number {
    let cost = 0;
    for (const lane of this.#lanes.values()) cost += lane.costMs;
    return cost;
  }

  /** A lower bound of the queued deadlines; infinite when nothing is queued. */
  get nextExpiryMs(): number {
    return this.#size === 0 ? Infinity : this.#nextExpiryMs;
  }

  /** When the oldest item was queued; infinite when nothing is queued. */
  get oldestQueuedAtMs(): number {
    let oldestMs = Infinity;
    for (const {queue} of this.#lanes.values()) {
      oldestMs = Math.min(oldestMs, queue[0]?.queuedAtMs ?? Infinity);
    }
    return oldestMs;
  }

  push(item: T, order: WorkOrder, queuedAtMs: number): void {
    const lane = this.#laneOf(order.team);
    const startTag = Math.max(this.#virtualTime, lane.finishTag);
    const {costMs, deadlineMs} = order;
    lane.finishTag = startTag + costMs / lane.weight;
    lane.costMs += costMs;
    lane.queue.push({item, costMs, deadlineMs, queuedAtMs, startTag});
    this.#size += 1;
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, deadlineMs);
  }

  /** Takes the item with the lowest start tag. */
  take(): T | undefined {
    let first: Lane<T> | undefined;
    let firstTag = Infinity;
    for (const lane of this.#lanes.values()) {
      const tag = lane.queue[0]?.startTag ?? Infinity;
      if (tag >= firstTag) continue;
      first = lane;
      firstTag = tag;
    }
    if (first === undefined) return undefined;
    this.#virtualTime = Math.max(this.#virtualTime, firstTag);
    return this.#removeAt(first, 0);
  }

  /** Takes one item whose deadline has passed. */
  takeExpired(nowMs: number): T | undefined {
    if (nowMs < this.#nextExpiryMs) return undefined;
    let nextMs = Infinity;
    for (const lane of this.#lanes.values()) {
      const index = lane.queue.findIndex(queued => queued.deadlineMs <= nowMs);
      if (index >= 0) return this.#removeAt(lane, index);
      for (const queued of lane.queue) {
        nextMs = Math.min(nextMs, queued.deadlineMs);
      }
    }
    this.#nextExpiryMs = nextMs;
    return undefined;
  }

  remove(item: T): boolean {
    for (const lane of this.#lanes.values()) {
      const index = lane.queue.findIndex(queued => queued.item === item);
      if (index < 0) continue;
      this.#removeAt(lane, index);
      return true;
    }
    return false;
  }

  /** The work that goes before a new item of `team`, on one connection. */
  costAhead(team: string): number {
    const own = this.#lanes.get(team);
    const startTag = Math.max(this.#virtualTime, own?.finishTag ?? 0);
    let cost = own?.costMs ?? 0;
    for (const lane of this.#lanes.values()) {
      const head = lane.queue[0];
      if (lane === own || head === undefined) continue;
      if (head.startTag > startTag) continue;
      const served = (startTag - head.startTag) * lane.weight;
      cost += Math.min(lane.costMs, Math.max(served, head.costMs));
    }
    return cost;
  }

  #laneOf(team: string): Lane<T> {
    const known = this.#lanes.get(team);
    if (known !== undefined) return known;
    const weight = Math.max(MIN_WEIGHT, this.#weightOf(team));
    const lane: Lane<T> = {team, weight, queue: [], finishTag: 0, costMs: 0};
    this.#lanes.set(team, lane);
    return lane;
  }

  #removeAt(lane: Lane<T>, index: number): T | undefined {
    const [removed] = lane.queue.splice(index, 1);
    if (removed === undefined) return undefined;
    lane.costMs -= removed.costMs;
    this.#size -= 1;
    this.#forgetIdle();
    return removed.item;
  }

  /** Forgets lanes whose past gives them no later start than a new one. */
  #forgetIdle(): void {
    for (const [team, lane] of this.#lanes) {
      const idle = lane.queue.length === 0;
      if (idle && lane.finishTag <= this.#virtualTime) this.#lanes.delete(team);
    }
  }
}
