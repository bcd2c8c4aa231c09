/** The store as this node reaches it itself, with a record of whether it does. */
import type {EraCheckedStore} from '../infra/era-checked-store.js';
import type {
  ChangeSet,
  Lease,
  LeasedStore,
  LeasedSwapResult,
  Renewal,
  Snapshot,
} from '../infra/leased-store.js';
import {StoreError, type StoreFailureKind} from '../infra/store.js';
import type {StorePosition} from '../infra/store-position.js';
import type {StoreAccess} from './store-access.js';

/** Passes calls on and tells {@link StoreAccess} which of them were answered. */
export class TrackedStore implements LeasedStore {
  readonly #store: EraCheckedStore;
  readonly #access: StoreAccess;

  constructor(store: EraCheckedStore, access: StoreAccess) {
    this.#store = store;
    this.#access = access;
  }

  /** The latest era that an answer has shown; 0 before the first answer. */
  get era(): number {
    return this.#store.era;
  }

  /** @throws StoreError of the given kind if the era is an earlier one */
  observe(era: number, kind: StoreFailureKind): void {
    this.#store.observe(era, kind);
  }

  list(prefix: string): Promise<Snapshot> {
    return this.#track(this.#store.list(prefix));
  }

  changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
  ): Promise<ChangeSet> {
    return this.#track(this.#store.changes(prefix, after, waitMs));
  }

  swap(
    key: string,
    expected: number,
    value: string | undefined,
    lease?: string,
  ): Promise<LeasedSwapResult> {
    return this.#track(this.#store.swap(key, expected, value, lease));
  }

  grant(ttlMs: number): Promise<Lease> {
    return this.#track(this.#store.grant(ttlMs));
  }

  renew(lease: string): Promise<Renewal> {
    return this.#track(this.#store.renew(lease));
  }

  revoke(lease: string): Promise<void> {
    return this.#track(this.#store.revoke(lease));
  }

  async #track<Result>(call: Promise<Result>): Promise<Result> {
    try {
      const result = await call;
      this.#access.recordAnswer();
      return result;
    } catch (err) {
      // Other errors, such as that a lease has ended, are answers of the store.
      if (err instanceof StoreError) this.#access.recordFailure();
      else this.#access.recordAnswer();
      throw err;
    }
  }
}
