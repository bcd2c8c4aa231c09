/** In-memory store with fault injection, for tests in virtual time. */
import type {Clock} from '../../src/infra/clock.js';
import {WatchCompactedError} from '../../src/infra/etcd-errors.js';
import {
  StoreError,
  type Store,
  type StoredValue,
  type SwapResult,
  type WatchEvent,
  type WatchItem,
} from '../../src/infra/store.js';

const PROGRESS_INTERVAL_MS = 500;

/** A concurrent write just before the next compare-and-swap of a key. */
export type Interference = (current: string | undefined) => string;

/**
 * An in-memory {@link Store}.
 *
 * @example
 * const store = new MemoryStore(clock);
 * store.loseAnswers(1); // the next write takes effect, then throws `unknown`
 * store.down = true; // every call throws `notSent`, watches end
 */
export class MemoryStore implements Store {
  /** While true, calls throw and watches end. */
  down = false;
  /** Latency of each call. */
  latencyMs = 0;
  /** Number of calls so far by method. */
  readonly calls = new Map<string, number>();

  readonly #clock: Clock;
  readonly #values = new Map<string, StoredValue>();
  readonly #history: WatchEvent[] = [];
  readonly #leases = new Map<string, {ttlMs: number; endsAt: number}>();
  readonly #interferences: {key: string; change: Interference}[] = [];
  #revision = 0;
  #compactedRevision = 0;
  #nextLease = 1;
  #lostAnswers = 0;
  #lostRequests = 0;
  #nextChange = new AbortController();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The current store-wide revision. */
  get revision(): number {
    return this.#revision;
  }

  /** Makes the next `count` writes take effect but throw `unknown`. */
  loseAnswers(count: number): void {
    this.#lostAnswers += count;
  }

  /** Makes the next `count` writes throw `unknown` without taking effect. */
  loseRequests(count: number): void {
    this.#lostRequests += count;
  }

  /** Simulates a concurrent write of `key` before its next compare-and-swap. */
  interfere(key: string, change: Interference): void {
    this.#interferences.push({key, change});
  }

  /** Writes a key unconditionally, regardless of injected faults. */
  put(key: string, value: string): number {
    this.#revision += 1;
    const revision = this.#revision;
    this.#values.set(key, {key, value, revision});
    this.#record({key, value, revision});
    return revision;
  }

  /** Deletes a key, regardless of injected faults. */
  delete(key: string): void {
    if (!this.#values.delete(key)) return;
    this.#revision += 1;
    this.#record({key, value: undefined, revision: this.#revision});
  }

  /** Marks the history before the current revision as compacted. */
  compact(): void {
    this.#compactedRevision = this.#revision;
  }

  async get(key: string): Promise<StoredValue | undefined> {
    await this.#startCall('get');
    return this.#values.get(key);
  }

  async list(prefix: string): Promise<readonly StoredValue[]> {
    await this.#startCall('list');
    return [...this.#values.values()]
      .filter(entry => entry.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  async compareAndSwap(
    key: string,
    expected: number,
    value: string,
  ): Promise<SwapResult> {
    await this.#startCall('compareAndSwap');
    if (this.#lostRequests > 0) {
      this.#lostRequests -= 1;
      throw new StoreError('unknown', 'the request was lost');
    }
    this.#applyInterference(key);
    const current = this.#values.get(key);
    const matches = (current?.revision ?? 0) === expected;
    const result: SwapResult = matches
      ? {kind: 'swapped', revision: this.put(key, value)}
      : {kind: 'conflict', current};
    this.#throwIfAnswerLost();
    return result;
  }

  async *watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchItem> {
    await this.#startCall('watch');
    if (fromRevision > 0 && fromRevision < this.#compactedRevision) {
      throw new WatchCompactedError(this.#compactedRevision);
    }
    let next = fromRevision > 0 ? fromRevision : this.#revision + 1;
    while (!signal.aborted) {
      this.#throwIfDown();
      const events = this.#history.filter(
        event => event.revision >= next && event.key.startsWith(prefix),
      );
      next = Math.max(next, this.#revision + 1);
      if (events.length > 0) yield {kind: 'events', events};
      else yield {kind: 'progress', revision: this.#revision};
      if (this.#revision >= next) continue;
      await this.#waitForChange(signal);
    }
  }

  async grantLease(ttlMs: number): Promise<string> {
    await this.#startCall('grantLease');
    const id = String(this.#nextLease);
    this.#nextLease += 1;
    this.#leases.set(id, {ttlMs, endsAt: this.#clock.now() + ttlMs});
    return id;
  }

  async keepAlive(leaseId: string): Promise<boolean> {
    await this.#startCall('keepAlive');
    const lease = this.#leases.get(leaseId);
    if (lease === undefined || lease.endsAt <= this.#clock.now()) return false;
    lease.endsAt = this.#clock.now() + lease.ttlMs;
    return true;
  }

  async revokeLease(leaseId: string): Promise<void> {
    await this.#startCall('revokeLease');
    this.#leases.delete(leaseId);
  }

  async #startCall(method: string): Promise<void> {
    this.calls.set(method, (this.calls.get(method) ?? 0) + 1);
    this.#throwIfDown();
    if (this.latencyMs > 0) await this.#clock.sleep(this.latencyMs);
    this.#throwIfDown();
  }

  #throwIfDown(): void {
    if (this.down) throw new StoreError('notSent', 'the store is down');
  }

  #applyInterference(key: string): void {
    const index = this.#interferences.findIndex(entry => entry.key === key);
    const [interference] =
      index < 0 ? [] : this.#interferences.splice(index, 1);
    if (interference === undefined) return;
    this.put(key, interference.change(this.#values.get(key)?.value));
  }

  #throwIfAnswerLost(): void {
    if (this.#lostAnswers === 0) return;
    this.#lostAnswers -= 1;
    throw new StoreError('unknown', 'the answer was lost');
  }

  #record(event: WatchEvent): void {
    this.#history.push(event);
    this.#nextChange.abort();
    this.#nextChange = new AbortController();
  }

  async #waitForChange(signal: AbortSignal): Promise<void> {
    const wake = AbortSignal.any([signal, this.#nextChange.signal]);
    await this.#clock.sleep(PROGRESS_INTERVAL_MS, wake);
  }
}
