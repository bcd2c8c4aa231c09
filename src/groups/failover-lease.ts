/**
 * The failover lease of a group: it entitles one node at a time to promote a
 * database, under a fencing token that rises with every promotion order.
 *
 * The lease is a key in the store, written by compare-and-swap, so that only one
 * node can hold it. The position of the write is the fencing token: it rises over
 * the whole store, and over restores of the store from a copy. An order whose
 * answer was lost may still be carried out later, so every order takes a new
 * token.
 *
 * The key is attached to a store lease of its own, which the holder renews while
 * it is responsible for the group. The first node that ordered thus keeps the
 * others, whose view may be partial, from overruling it; a holder that runs on
 * without being responsible blocks them for `FAILOVER_LEASE_TTL_MS` at most.
 */
import type {Clock} from '../infra/clock.js';
import type {EraCheckedStore} from '../infra/era-checked-store.js';
import {LeaseGoneError} from '../infra/leased-store.js';
import {StoreError, type StoredValue} from '../infra/store.js';
import type {StorePosition} from '../infra/store-position.js';
import {
  elapsedSince,
  takeInstant,
  type Instant,
} from '../membership/elapsed.js';
import type {Logger} from '../telemetry/log.js';

const LEASE_KEY_PREFIX = 'zinnia/duties/failover/';
/**
 * Time to live after an order or renewal. Longer than a promoted database may
 * take to lead, so that no other node promotes another one meanwhile.
 */
export const FAILOVER_LEASE_TTL_MS = 3_000;
/** Three renewals fit into the lease. */
const RENEW_PERIOD_MS = 1_000;
/** The holder stops relying on the lease this long before it expires. */
const EXPIRY_MARGIN_MS = 200;

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
  readonly store: Pick<
    EraCheckedStore,
    'swap' | 'grant' | 'renew' | 'revoke' | 'era'
  >;
  readonly clock: Clock;
  readonly log: Logger;
  /** Id of this node. */
  readonly self: string;
  /** The shortest lease that the store grants, in milliseconds. */
  readonly minTtlMs: number;
}

/** A lease at the store for the key of one group. */
interface StoreLease {
  readonly id: string;
  readonly ttlMs: number;
  /** When the last successful grant or renewal was sent. */
  readonly renewedAt: Instant;
  /** The store's era in which it was last renewed. */
  readonly era: number;
  /** Revision of the key as this node last wrote it; 0 if it holds none. */
  readonly revision: number;
}

/** Acquires and releases this node's failover leases, one per group. */
export class FailoverLease {
  readonly #options: FailoverLeaseOptions;
  readonly #leases = new Map<string, StoreLease>();
  /** Groups whose lease is being renewed. */
  readonly #renewing = new Set<string>();

  constructor(options: FailoverLeaseOptions) {
    this.#options = options;
  }

  /** Whether this node certainly holds a group's lease now. */
  isHeld(group: string): boolean {
    const lease = this.#leases.get(group);
    if (lease === undefined || lease.revision === 0) return false;
    // A restored store may not know the lease.
    if (lease.era !== this.#options.store.era) return false;
    const ageMs = elapsedSince(this.#options.clock, lease.renewedAt);
    return ageMs < lease.ttlMs - EXPIRY_MARGIN_MS;
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
    const {log} = this.#options;
    try {
      const lease = await this.#renewOrGrant(group);
      this.#leases.set(group, lease);
      return await this.#writeKey(group, lease);
    } catch (err) {
      if (!(err instanceof StoreError || err instanceof LeaseGoneError))
        throw err;
      log.warn('dutyNotTaken', {group, message: err.message});
      return undefined;
    }
  }

  /**
   * Renews the lease of a group if this node holds it and the last renewal is
   * not recent.
   */
  async keep(group: string): Promise<void> {
    const {store, clock, log} = this.#options;
    const lease = this.#leases.get(group);
    if (lease === undefined || !this.isHeld(group)) return;
    const isRecent = elapsedSince(clock, lease.renewedAt) < RENEW_PERIOD_MS;
    if (isRecent || this.#renewing.has(group)) return;
    this.#renewing.add(group);
    const renewedAt = takeInstant(clock);
    try {
      const {isAlive, era} = await store.renew(lease.id);
      const current = this.#leases.get(group);
      // An order may have taken another token, or another lease, meanwhile.
      if (current?.id !== lease.id) return;
      if (isAlive && era === lease.era) {
        this.#leases.set(group, {...current, renewedAt});
      } else this.#leases.delete(group);
    } catch (err) {
      // The next check tries again until the lease expires.
      log.info('dutyNotRenewed', {group, message: String(err)});
    } finally {
      this.#renewing.delete(group);
    }
  }

  /** Releases the failover lease, so that another node can acquire it. */
  async release(group: string): Promise<void> {
    const lease = this.#leases.get(group);
    if (lease === undefined) return;
    this.#leases.delete(group);
    try {
      await this.#options.store.revoke(lease.id);
    } catch (err) {
      // The lease expires by itself.
      this.#options.log.warn('dutyNotReleased', {group, message: String(err)});
    }
  }

  async #abandon(group: string, from: number, to: number): Promise<undefined> {
    this.#options.log.warn('dutyNotTaken', {
      group,
      message: `the store was restored from era ${from} to ${to} meanwhile`,
    });
    await this.release(group);
    return undefined;
  }

  async #renewOrGrant(group: string): Promise<StoreLease> {
    const {store, clock, minTtlMs} = this.#options;
    const known = this.#leases.get(group);
    const renewedAt = takeInstant(clock);
    if (known !== undefined) {
      const {isAlive, era} = await store.renew(known.id);
      if (isAlive && era === known.era) return {...known, renewedAt};
    }
    const grantedAt = takeInstant(clock);
    const wantedMs = Math.max(FAILOVER_LEASE_TTL_MS, minTtlMs);
    const {id, ttlMs, era} = await store.grant(wantedMs);
    return {id, ttlMs, era, renewedAt: grantedAt, revision: 0};
  }

  async #writeKey(
    group: string,
    lease: StoreLease,
  ): Promise<number | undefined> {
    const {store, self, log} = this.#options;
    const key = LEASE_KEY_PREFIX + group;
    let expected = lease.revision;
    for (let attempt = 0; attempt < 2; attempt++) {
      const result = await store.swap(key, expected, self, lease.id);
      if (result.kind === 'swapped') {
        const {era, revision} = result.at;
        // After a restore the expected revision may be another node's write.
        if (era !== lease.era) return this.#abandon(group, lease.era, era);
        const token = fencingTokenOf(result.at);
        this.#leases.set(group, {...lease, revision});
        log.info('dutyTaken', {group, token, era, ttlMs: lease.ttlMs});
        return token;
      }
      this.#leases.set(group, {...lease, revision: 0});
      if (!isHeldBySelf(result.current, self)) {
        log.info('dutyHeldByOther', {group, holder: result.current?.value});
        return undefined;
      }
      // The key was written by an earlier process of this node, or by a call
      // whose answer was lost: retry from its current revision.
      expected = result.current?.revision ?? 0;
    }
    return undefined;
  }
}

/** Revisions per era that a token can hold. */
const REVISIONS_PER_ERA = 2 ** 40;

/**
 * Returns the fencing token of a write: higher for each later position, also
 * where a restored store gives revisions out again.
 *
 * @throws Error after 8,192 restores, as a token is a safe integer
 */
export function fencingTokenOf({era, revision}: StorePosition): number {
  const token = era * REVISIONS_PER_ERA + revision;
  if (Number.isSafeInteger(token)) return token;
  throw new Error(`no fencing token is left for era ${era} of the store`);
}

function isHeldBySelf(current: StoredValue | undefined, self: string): boolean {
  return current === undefined || current.value === self;
}
