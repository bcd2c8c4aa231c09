/** In-memory store with leases, for tests under virtual time. */
import {
  HistoryGoneError,
  LeaseGoneError,
  type ChangeSet,
  type Lease,
  type LeasedStore,
  type LeasedSwapResult,
  type Renewal,
  type Snapshot,
} from '../../src/infra/leased-store.js';
import {
  StoreError,
  type StoredValue,
  type WatchEvent,
} from '../../src/infra/store.js';
import type {StorePosition} from '../../src/infra/store-position.js';
import type {VirtualClock} from './virtual-clock.js';

interface StoredItem extends StoredValue {
  readonly lease: string | undefined;
}

/** The state of the store at one time. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, StoredItem>;
  readonly expiry: Map<string, {ttlMs: number; endsAt: number}>;
  readonly revision: number;
}

/**
 * A store that answers at once; `isDown` makes every call fail without effect.
 * Polls don't wait.
 */
export class FakeLeasedStore implements LeasedStore {
  isDown = false;
  /** Calls so far, by method. */
  readonly calls = new Map<string, number>();
  readonly #clock: VirtualClock;
  #items = new Map<string, StoredItem>();
  #expiry = new Map<string, {ttlMs: number; endsAt: number}>();
  #history: WatchEvent[] = [];
  #revision = 1;
  #compactedRevision = 0;
  #leases = 0;
  #era = 0;

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  /** Returns the value of a key; undefined if there is none. */
  read(key: string): string | undefined {
    this.#expire();
    return this.#items.get(key)?.value;
  }

  /** Writes a key without a lease, whether or not the store is down. */
  put(key: string, value: string): number {
    return this.#put(key, value, undefined);
  }

  /** Removes a key, whether or not the store is down. */
  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#history.push({key, value: undefined, revision: ++this.#revision});
  }

  /** Takes a copy from which the store can be restored. */
  takeCopy(): StoreCopy {
    return {
      items: new Map(this.#items),
      expiry: structuredClone(this.#expiry),
      revision: this.#revision,
    };
  }

  /** Restores the store from a copy, which raises the era. */
  restore({items, expiry, revision}: StoreCopy): void {
    this.#era += 1;
    this.#items = new Map(items);
    this.#expiry = structuredClone(expiry);
    this.#history = [];
    this.#compactedRevision = revision;
    this.#revision = revision;
  }

  /** Discards the history. */
  compact(): void {
    this.#history.length = 0;
    this.#compactedRevision = this.#revision;
  }

  async list(prefix: string): Promise<Snapshot> {
    this.#begin('list');
    const values = [...this.#items.values()].filter(({key}) =>
      key.startsWith(prefix),
    );
    return {values, asOf: this.#position};
  }

  async changes(prefix: string, after: StorePosition): Promise<ChangeSet> {
    this.#begin('changes');
    const isGone =
      after.revision < this.#compactedRevision ||
      after.revision > this.#revision;
    if (isGone) throw new HistoryGoneError();
    const events = this.#history.filter(
      ({key, revision}) => revision > after.revision && key.startsWith(prefix),
    );
    return {events, asOf: this.#position};
  }

  async swap(
    key: string,
    expected: number,
    value: string | undefined,
    lease?: string,
  ): Promise<LeasedSwapResult> {
    this.#begin('swap');
    const current = this.#items.get(key);
    if ((current?.revision ?? 0) !== expected) {
      return {kind: 'conflict', current, era: this.#era};
    }
    if (value === undefined) this.remove(key);
    else if (lease !== undefined && !this.#expiry.has(lease)) {
      throw new LeaseGoneError(lease);
    } else this.#put(key, value, lease);
    return {kind: 'swapped', at: this.#position};
  }

  async grant(ttlMs: number): Promise<Lease> {
    this.#begin('grant');
    const id = `lease-${++this.#leases}`;
    this.#expiry.set(id, {ttlMs, endsAt: this.#clock.now() + ttlMs});
    return {id, ttlMs, era: this.#era};
  }

  async renew(lease: string): Promise<Renewal> {
    this.#begin('renew');
    const known = this.#expiry.get(lease);
    if (known !== undefined) known.endsAt = this.#clock.now() + known.ttlMs;
    return {isAlive: known !== undefined, era: this.#era};
  }

  async revoke(lease: string): Promise<void> {
    this.#begin('revoke');
    this.#end(lease);
  }

  get #position(): StorePosition {
    return {era: this.#era, revision: this.#revision};
  }

  #begin(method: string): void {
    this.calls.set(method, (this.calls.get(method) ?? 0) + 1);
    if (this.isDown) throw new StoreError('notSent', 'the store is down');
    this.#expire();
  }

  #put(key: string, value: string, lease: string | undefined): number {
    const revision = ++this.#revision;
    this.#items.set(key, {key, value, revision, lease});
    this.#history.push({key, value, revision});
    return revision;
  }

  #expire(): void {
    for (const [lease, {endsAt}] of [...this.#expiry]) {
      if (endsAt <= this.#clock.now()) this.#end(lease);
    }
  }

  #end(lease: string): void {
    this.#expiry.delete(lease);
    for (const item of [...this.#items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }
}
