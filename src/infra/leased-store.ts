/** Port to a key-value store with leases, revisions and long polling. */
import type {StoredValue, WatchEvent} from './store.js';
import type {StorePosition} from './store-position.js';

/** Properties of an answer that another node relayed from the store. */
export interface RelayFreshness {
  /** Position up to which later changes may be included; `asOf` if absent. */
  readonly upTo?: StorePosition | undefined;
  /** Age of the answer when it was relayed, in milliseconds. */
  readonly ageMs?: number | undefined;
  /** Time since the relaying node last failed to read the store, if ever. */
  readonly interruptedMsAgo?: number | undefined;
}

/** Changes under a prefix, complete up to a revision. */
export interface ChangeSet extends RelayFreshness {
  readonly events: readonly WatchEvent[];
  /** All changes up to this position are included. */
  readonly asOf: StorePosition;
}

/** A granted lease. */
export interface Lease {
  readonly id: string;
  /** Time to live, from when the store received the grant request. */
  readonly ttlMs: number;
  /** The store's era when it granted the lease. */
  readonly era: number;
}

/** Answer to the renewal of a lease. */
export interface Renewal {
  /** False if the lease has ended. */
  readonly isAlive: boolean;
  readonly era: number;
}

/** Result of a compare-and-swap at a store with eras. */
export type LeasedSwapResult =
  | {readonly kind: 'swapped'; readonly at: StorePosition}
  | {
      readonly kind: 'conflict';
      /** Missing if the key is. */
      readonly current?: StoredValue | undefined;
      readonly era: number;
    };

/** All keys under a prefix. */
export interface Snapshot extends RelayFreshness {
  readonly values: readonly StoredValue[];
  /** Position at which the first page was read. */
  readonly asOf: StorePosition;
}

/**
 * A store with leases. Every method may throw `StoreError`; `changes` throws
 * {@link HistoryGoneError} if the store no longer keeps the changes after the
 * given revision.
 */
export interface LeasedStore {
  list(prefix: string): Promise<Snapshot>;
  /**
   * Long poll: waits up to `waitMs` for changes after a position. If the answer
   * is of a later era, its changes don't continue from that position.
   */
  changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
  ): Promise<ChangeSet>;
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
  ): Promise<LeasedSwapResult>;
  grant(ttlMs: number): Promise<Lease>;
  renew(lease: string): Promise<Renewal>;
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
