/** Port to a key-value store with leases, revisions and long polling. */
import type {StoredValue, SwapResult, WatchEvent} from './store.js';

/** Age of an answer that another node relayed from the store. */
export interface RelayFreshness {
  /** Age of the answer when it was relayed, in milliseconds. */
  readonly ageMs?: number | undefined;
  /** Time since the relaying node last failed to read the store, if ever. */
  readonly interruptedMsAgo?: number | undefined;
}

/** Changes under a prefix, complete up to a revision. */
export interface ChangeSet extends RelayFreshness {
  readonly events: readonly WatchEvent[];
  /** All changes up to this revision are included. */
  readonly asOf: number;
}

/** A granted lease. */
export interface Lease {
  readonly id: string;
  /** Time to live, from when the store received the grant request. */
  readonly ttlMs: number;
}

/** All keys under a prefix. */
export interface Snapshot extends RelayFreshness {
  readonly values: readonly StoredValue[];
  /** Revision at which the first page was read. */
  readonly asOf: number;
}

/**
 * A store with leases. Every method may throw `StoreError`; `changes` throws
 * {@link HistoryGoneError} if the store no longer keeps the changes after the
 * given revision.
 */
export interface LeasedStore {
  list(prefix: string): Promise<Snapshot>;
  /** Long poll: waits up to `waitMs` for changes after a revision. */
  changes(prefix: string, after: number, waitMs: number): Promise<ChangeSet>;
  /**
   * Compare-and-swap: writes only if the key's revision is `expected`, where 0
   * stands for a missing key. A value of undefined deletes the key. A key
   * written with a lease is deleted when the lease ends.
   *
   * @throws LeaseGoneError if the lease does not exist or has ended
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
  revoke(lease: string): Promise<void>;
}

/** The store no longer keeps the requested changes; list the keys again. */
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
