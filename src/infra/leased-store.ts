/** The port to a store with leases, revisions and bounded polls. */
import type {StoredValue, SwapResult, WatchEvent} from './store.js';

/** What an answer says of itself where another node handed it on. */
export interface HandedOn {
  /** How old it was when it was handed on, in milliseconds. */
  readonly ageMs?: number | undefined;
  /** How long ago that node last failed to read the store, if it did. */
  readonly interruptedMsAgo?: number | undefined;
}

/** Changes under a prefix, and how far they reach. */
export interface ChangeSet extends HandedOn {
  readonly events: readonly WatchEvent[];
  /** Every change up to this revision is known. */
  readonly asOf: number;
}

/** A lease as it was granted. */
export interface Lease {
  readonly id: string;
  /** Milliseconds from the arrival of the call that granted it. */
  readonly ttlMs: number;
}

/** Every key under a prefix. */
export interface Snapshot extends HandedOn {
  readonly values: readonly StoredValue[];
  /** The revision at which the first page was read. */
  readonly asOf: number;
}

/**
 * A store with leases. Every method may throw `StoreError`; `changes` throws
 * {@link HistoryGoneError} when the store has dropped what was asked for.
 */
export interface LeasedStore {
  list(prefix: string): Promise<Snapshot>;
  /** Waits up to `waitMs` for a change after a revision. */
  changes(prefix: string, after: number, waitMs: number): Promise<ChangeSet>;
  /**
   * Writes only if the key's revision is `expected`; 0 means "absent". A value
   * of undefined removes the key. With a lease the key ends with it.
   *
   * @throws LeaseGoneError when there is no such lease
   */
  swap(
    key: string,
    expected: number,
    value: string | undefined,
    lease?: string,
  ): Promise<SwapResult>;
  grant(ttlMs: number): Promise<Lease>;
  /** Renews a lease; false if it has ended. */
  renew(lease: string): Promise<boolean>;
  end(lease: string): Promise<void>;
}

/** The store keeps no changes that far back; list the keys again. */
export class HistoryGoneError extends Error {
  constructor() {
    super('the store has dropped the changes asked for; list the keys again');
    this.name = 'HistoryGoneError';
  }
}

/** The lease has ended; grant another. */
export class LeaseGoneError extends Error {
  constructor(lease: string) {
    super(`lease ${lease} has ended; grant another`);
    this.name = 'LeaseGoneError';
  }
}
