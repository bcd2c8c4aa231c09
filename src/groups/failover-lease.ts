/**
 * The failover lease of a group: it entitles one node at a time to promote a
 * database, under a fencing token that rises with every promotion order.
 *
 * The lease is a key in the store, attached to the holder's own store lease and
 * written by compare-and-swap, so that only one node can hold it. The key's
 * revision is the fencing token; revisions rise over the whole store. An order
 * whose answer was lost may still be carried out later, so every order takes a
 * new token.
 */
import {LeaseGoneError, type LeasedStore} from '../infra/leased-store.js';
import {StoreError, type StoredValue} from '../infra/store.js';
import type {Logger} from '../telemetry/log.js';

const LEASE_KEY_PREFIX = 'zinnia/duties/failover/';

/** The outcome of a promotion order. */
export type OrderOutcome =
  | {readonly kind: 'accepted'}
  /** A higher token was used before, or the database is not running. */
  | {readonly kind: 'refused'}
  /** No usable answer; the order may have been carried out. */
  | {readonly kind: 'unknown'; readonly message: string};

/** Port to the platform's service that promotes databases. */
export interface FailoverOrders {
  /** Orders a database to become its group's primary; never rejects. */
  promote(order: {
    readonly group: string;
    readonly databaseId: string;
    readonly holder: string;
    readonly token: number;
  }): Promise<OrderOutcome>;
}

/** Options of {@link FailoverLease}. */
export interface FailoverLeaseOptions {
  readonly store: LeasedStore;
  readonly log: Logger;
  /** Id of this node. */
  readonly self: string;
  /** Id of this node's store lease; undefined while it holds none. */
  readonly lease: () => string | undefined;
}

/** Acquires and releases this node's failover leases, one per group. */
export class FailoverLease {
  readonly #options: FailoverLeaseOptions;
  /** Revision of the key as this node last wrote it, by group. */
  readonly #held = new Map<string, number>();

  constructor(options: FailoverLeaseOptions) {
    this.#options = options;
  }

  /**
   * Acquires or renews the failover lease. Returns the fencing token for one
   * order, or undefined if another node holds the lease or the store fails.
   *
   * @example
   * const token = await failoverLease.acquireToken('claims');
   * if (token !== undefined) await orders.promote({group, databaseId, holder, token});
   */
  async acquireToken(group: string): Promise<number | undefined> {
    const {store, self, lease, log} = this.#options;
    const leaseId = lease();
    if (leaseId === undefined) return undefined;
    const key = LEASE_KEY_PREFIX + group;
    try {
      let expected = this.#held.get(group) ?? 0;
      for (let attempt = 0; attempt < 2; attempt++) {
        const result = await store.swap(key, expected, self, leaseId);
        if (result.kind === 'swapped') {
          this.#held.set(group, result.revision);
          log.info('dutyTaken', {group, token: result.revision});
          return result.revision;
        }
        this.#held.delete(group);
        if (!isHeldBySelf(result.current, self)) {
          log.info('dutyHeldByOther', {group, holder: result.current?.value});
          return undefined;
        }
        // The key was written by an earlier process of this node, or by a call
        // whose answer was lost: retry from its current revision.
        expected = result.current?.revision ?? 0;
      }
      return undefined;
    } catch (err) {
      if (!(err instanceof StoreError || err instanceof LeaseGoneError))
        throw err;
      log.warn('dutyNotTaken', {group, message: err.message});
      return undefined;
    }
  }

  /**
   * Releases the failover lease, so that the group's next home can acquire it.
   */
  async release(group: string): Promise<void> {
    const revision = this.#held.get(group);
    if (revision === undefined) return;
    this.#held.delete(group);
    try {
      await this.#options.store.swap(
        LEASE_KEY_PREFIX + group,
        revision,
        undefined,
      );
    } catch (err) {
      // The store deletes the key when this node's store lease expires.
      this.#options.log.warn('dutyNotReleased', {group, message: String(err)});
    }
  }
}

function isHeldBySelf(current: StoredValue | undefined, self: string): boolean {
  return current === undefined || current.value === self;
}
