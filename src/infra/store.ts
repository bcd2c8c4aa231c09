/** Port to the platform's key-value store. */

/** A value and the revision of its last change. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Store-wide revision at which this key last changed; at least 1. */
  readonly revision: number;
}

/** Result of a compare-and-swap. */
export type SwapResult =
  | {readonly kind: 'swapped'; readonly revision: number}
  | {readonly kind: 'conflict'; readonly current: StoredValue | undefined};

/** A change reported by a watch; `value` is undefined for a deletion. */
export interface WatchEvent {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** An item of a watch: changes, or a sign that the watch is still alive. */
export type WatchItem =
  | {readonly kind: 'events'; readonly events: readonly WatchEvent[]}
  | {readonly kind: 'progress'; readonly revision: number};

/**
 * Whether a failed store call may have taken effect: `notSent` certainly had no
 * effect; `unknown` may have taken effect, but its answer was lost.
 */
export type StoreFailureKind = 'notSent' | 'unknown';

/** A failed store call. */
export class StoreError extends Error {
  constructor(
    readonly kind: StoreFailureKind,
    message: string,
  ) {
    super(message);
    this.name = 'StoreError';
  }
}

/** The platform's key-value store. Every method may throw {@link StoreError}. */
export interface Store {
  get(key: string): Promise<StoredValue | undefined>;
  list(prefix: string): Promise<readonly StoredValue[]>;
  /** Writes only if the key's revision is `expected`; 0 for a missing key. */
  compareAndSwap(
    key: string,
    expected: number,
    value: string,
  ): Promise<SwapResult>;
  /**
   * Reports the changes under `prefix` from `fromRevision` on, and progress at
   * least once a second, until `signal` aborts or the store fails.
   */
  watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchItem>;
  /** Grants a lease; resolves to its id. */
  grantLease(ttlMs: number): Promise<string>;
  /** Renews a lease; false if it has already expired. */
  keepAlive(leaseId: string): Promise<boolean>;
  revokeLease(leaseId: string): Promise<void>;
}
