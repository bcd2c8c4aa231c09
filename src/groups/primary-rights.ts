/**
 * The right of a node to send work to the primary of a group.
 *
 * Any number of nodes may hold it at once. Each writes a key under a store lease
 * before it reads the group's order, and whoever orders a promotion records the
 * order before it reads the keys. So either the holder knows the order, or the
 * one who ordered knows the holder, and waits until it has handed the right back
 * or its lease has run out. The holder counts the lease from when it sent the
 * last renewal, so it always stops first.
 *
 * The lease outlasts short outages of the store: while the store is away, nobody
 * can order. It also outlasts a restore of the store from an older copy, since
 * whoever orders after that waits for the rights that the store may have lost.
 */
import type {Clock} from '../infra/clock.js';
import type {EraCheckedStore} from '../infra/era-checked-store.js';
import {LeaseGoneError} from '../infra/leased-store.js';
import {StoreError} from '../infra/store.js';
import {
  elapsedSince,
  takeInstant,
  type Instant,
} from '../membership/elapsed.js';
import type {PeerAddress} from '../peers/types.js';
import type {Logger} from '../telemetry/log.js';
import {
  encodeOrder,
  orderKey,
  readOrder,
  type PrimaryOrder,
} from './primary-order.js';
import {encodeHolder, rightKey} from './primary-right-record.js';

/** Time to live of the lease that a node's rights are attached to. */
export const RIGHT_TTL_MS = 4_500;
/** Three renewals fit into the lease. */
const RENEW_PERIOD_MS = 1_400;
const RENEW_RETRY_MS = 300;
/** The holder stops relying on the lease this long before it expires. */
const EXPIRY_MARGIN_MS = 300;
/** Pause before a right is asked for again after a failure. */
const ACQUIRE_RETRY_MS = 200;
/** How long a hand-back waits for work that is under way at the primary. */
const MAX_WORK_WAIT_MS = 300;
const WORK_POLL_MS = 5;
/** How soon a holder that knows of an order is asked to hand its right back. */
const ASKED_WITHIN_MS = 300;

/** Permission to send work to a group's primary. */
export interface PrimaryClaim {
  /**
   * Whether the right still holds. Ask again once an answer has arrived: what
   * the database did after the right ended may not be acknowledged.
   */
  readonly isValid: boolean;
  /** Marks work as under way; call the result once it has ended. */
  begin(): () => void;
}

/** Options of {@link PrimaryRights}. */
export interface PrimaryRightsOptions {
  readonly store: Pick<
    EraCheckedStore,
    'swap' | 'list' | 'grant' | 'renew' | 'revoke' | 'era'
  >;
  readonly clock: Clock;
  readonly log: Logger;
  /** Where this node is asked to hand its rights back. */
  readonly self: PeerAddress;
  /** The shortest lease that the store grants, in milliseconds. */
  readonly minTtlMs: number;
  /** Called with each order that is later than those known before. */
  readonly onOrder: (group: string, order: PrimaryOrder) => void;
}

/** A lease at the store for the keys of this node's rights. */
interface NodeLease {
  readonly id: string;
  readonly ttlMs: number;
  /** When the last successful grant or renewal was sent. */
  renewedAt: Instant;
  readonly era: number;
}

/** This node's right to one group. */
interface HeldRight {
  lease: NodeLease;
  revision: number;
  /** Rises with each hand-back, which ends the claims given before. */
  generation: number;
  /** Number of claims with work under way. */
  working: number;
  /** Token of the order for which the right was last handed back. */
  handedBackFor: number;
}

/**
 * Acquires, renews and hands back this node's rights, and knows the latest order
 * of each group.
 *
 * @example
 * if (await rights.acquire('claims')) {
 *   const claim = rights.claim('claims');
 *   const end = claim?.begin();
 *   const reply = await write();
 *   if (claim?.isValid) acknowledge(reply);
 *   end?.();
 * }
 */
export class PrimaryRights {
  readonly #options: PrimaryRightsOptions;
  readonly #orders = new Map<string, PrimaryOrder>();
  readonly #rights = new Map<string, HeldRight>();
  readonly #acquiring = new Map<string, Promise<boolean>>();
  /** Earliest time to ask again after a failure, by group. */
  readonly #retryAt = new Map<string, number>();
  #lease: NodeLease | undefined;
  #granting: Promise<NodeLease> | undefined;

  constructor(options: PrimaryRightsOptions) {
    this.#options = options;
  }

  /** Whether this node certainly has the right to a group now. */
  isHeld(group: string): boolean {
    const right = this.#rights.get(group);
    return right !== undefined && this.#isValid(right.lease);
  }

  /** Returns a claim for one piece of work; undefined without the right. */
  claim(group: string): PrimaryClaim | undefined {
    const right = this.#rights.get(group);
    if (right === undefined || !this.isHeld(group)) return undefined;
    const {generation} = right;
    const isLeaseValid = () => this.#isValid(right.lease);
    return {
      get isValid() {
        return right.generation === generation && isLeaseValid();
      },
      begin() {
        right.working += 1;
        return () => {
          right.working -= 1;
        };
      },
    };
  }

  /** The latest order of a group that this node knows. */
  orderOf(group: string): PrimaryOrder | undefined {
    return this.#orders.get(group);
  }

  /** Records an order; returns false if a later one is known. */
  observe(group: string, order: PrimaryOrder): boolean {
    const known = this.#orders.get(group)?.token ?? 0;
    if (order.token > known) {
      this.#orders.set(group, order);
      const {log, onOrder} = this.#options;
      const {databaseId: database, term, token, orderer} = order;
      log.info('orderKnown', {group, database, term, token, orderer});
      onOrder(group, order);
      if (this.#rights.has(group)) void this.#giveUpFor(group, order);
    }
    return order.token >= known;
  }

  /** Acquires the right to a group; false if the store does not answer. */
  async acquire(group: string): Promise<boolean> {
    if (this.isHeld(group) && this.#isOfThisEra(group)) return true;
    const known = this.#acquiring.get(group);
    if (known !== undefined) return known;
    const {clock} = this.#options;
    if (clock.now() < (this.#retryAt.get(group) ?? -Infinity)) return false;
    const acquiring = this.#acquire(group);
    this.#acquiring.set(group, acquiring);
    try {
      const isAcquired = await acquiring;
      if (!isAcquired) this.#retryAt.set(group, clock.now() + ACQUIRE_RETRY_MS);
      return isAcquired;
    } finally {
      this.#acquiring.delete(group);
    }
  }

  /**
   * Hands the right back, so that an order may take effect: work that is under
   * way may end first, and is not acknowledged after that. Returns false if a
   * later order is known.
   */
  async handBack(group: string, order: PrimaryOrder): Promise<boolean> {
    if (!this.observe(group, order)) return false;
    const right = this.#rights.get(group);
    if (right === undefined || right.handedBackFor >= order.token) return true;
    const {clock, log} = this.#options;
    const startedAt = clock.now();
    const until = startedAt + MAX_WORK_WAIT_MS;
    while (right.working > 0 && clock.now() < until) {
      await clock.sleep(WORK_POLL_MS);
    }
    right.handedBackFor = order.token;
    right.generation += 1;
    log.info('rightHandedBack', {
      group,
      token: order.token,
      orderer: order.orderer,
      unfinished: right.working,
      tookMs: Math.round(clock.now() - startedAt),
    });
    return true;
  }

  /**
   * Gives the right up at the store if the node that ordered has not asked for
   * it: the two may not reach one another.
   */
  async #giveUpFor(group: string, order: PrimaryOrder): Promise<void> {
    const {clock, self} = this.#options;
    if (order.orderer === self.id) return;
    await clock.sleep(ASKED_WITHIN_MS);
    const right = this.#rights.get(group);
    if (right === undefined || right.handedBackFor >= order.token) return;
    if (await this.handBack(group, order)) await this.release(group);
  }

  /** Gives the right to a group up, as when its home closes. */
  async release(group: string): Promise<void> {
    const right = this.#rights.get(group);
    if (right === undefined) return;
    this.#rights.delete(group);
    right.generation += 1;
    const {store, self, log} = this.#options;
    try {
      await store.swap(rightKey(group, self.id), right.revision, undefined);
    } catch (err) {
      // The key is asked about until the lease of this node ends.
      log.info('rightNotReleased', {group, message: String(err)});
    }
  }

  /** Renews the lease while there are rights, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.#options;
    while (!signal.aborted) {
      const isRenewed = this.#rights.size === 0 || (await this.#renew());
      for (const group of this.#rights.keys()) {
        if (!this.#isOfThisEra(group)) void this.acquire(group);
      }
      await clock.sleep(isRenewed ? RENEW_PERIOD_MS : RENEW_RETRY_MS, signal);
    }
  }

  /** Gives all rights up and ends their lease. */
  async end(): Promise<void> {
    const lease = this.#lease;
    this.#forgetLease();
    if (lease !== undefined) await this.#options.store.revoke(lease.id);
  }

  #isValid({renewedAt, ttlMs}: NodeLease): boolean {
    const ageMs = elapsedSince(this.#options.clock, renewedAt);
    return ageMs < ttlMs - EXPIRY_MARGIN_MS;
  }

  /** Whether the store knows the right also if it was restored from a copy. */
  #isOfThisEra(group: string): boolean {
    return this.#rights.get(group)?.lease.era === this.#options.store.era;
  }

  async #acquire(group: string): Promise<boolean> {
    const {log} = this.#options;
    try {
      const lease = await this.#ensureLease();
      const revision = await this.#writeKey(group, lease);
      if (revision === undefined) return false;
      await this.#readOrder(group, lease.era);
      this.#keepRight(group, lease, revision);
      log.info('rightTaken', {group, lease: lease.id, era: lease.era});
      return this.isHeld(group);
    } catch (err) {
      if (err instanceof LeaseGoneError) this.#forgetLease();
      else if (!(err instanceof StoreError)) throw err;
      log.info('rightNotTaken', {group, message: err.message});
      return false;
    }
  }

  #keepRight(group: string, lease: NodeLease, revision: number): void {
    const known = this.#rights.get(group);
    if (known !== undefined && this.#isValid(known.lease)) {
      known.lease = lease;
      known.revision = revision;
      return;
    }
    // Claims of an earlier right ended with its lease.
    const handedBackFor = this.#orders.get(group)?.token ?? 0;
    const unused = {generation: 0, working: 0, handedBackFor};
    this.#rights.set(group, {lease, revision, ...unused});
  }

  async #writeKey(
    group: string,
    {id, era}: NodeLease,
  ): Promise<number | undefined> {
    const {store, self} = this.#options;
    let expected = 0;
    for (let attempt = 0; attempt < 2; attempt++) {
      const key = rightKey(group, self.id);
      const result = await store.swap(key, expected, encodeHolder(self), id);
      if (result.kind === 'swapped') {
        return result.at.era === era ? result.at.revision : undefined;
      }
      // Written by an earlier process of this node or under an earlier lease.
      expected = result.current?.revision ?? 0;
    }
    return undefined;
  }

  /**
   * Reads the order after the key was written. Writes the order again that a
   * store restored from an older copy has lost.
   */
  async #readOrder(group: string, era: number): Promise<void> {
    const {store} = this.#options;
    const {order, revision, era: readIn} = await readOrder(store, group);
    if (readIn !== era) throw new StoreError('notSent', RESTORED);
    if (order !== undefined) this.observe(group, order);
    const known = this.#orders.get(group);
    if (known === undefined || known.token <= (order?.token ?? 0)) return;
    await store.swap(orderKey(group), revision, encodeOrder(known));
  }

  async #ensureLease(): Promise<NodeLease> {
    const known = this.#lease;
    const isCurrent = known?.era === this.#options.store.era;
    if (known !== undefined && isCurrent && this.#isValid(known)) return known;
    this.#granting ??= this.#grant().finally(() => {
      this.#granting = undefined;
    });
    return this.#granting;
  }

  async #grant(): Promise<NodeLease> {
    const {store, clock, minTtlMs} = this.#options;
    const renewedAt = takeInstant(clock);
    const wantedMs = Math.max(RIGHT_TTL_MS, minTtlMs);
    const {id, ttlMs, era} = await store.grant(wantedMs);
    this.#lease = {id, ttlMs, era, renewedAt};
    return this.#lease;
  }

  /** Returns false if the renewal should be tried again soon. */
  async #renew(): Promise<boolean> {
    const {store, clock, log} = this.#options;
    const lease = this.#lease;
    if (lease === undefined) return true;
    const renewedAt = takeInstant(clock);
    try {
      const {isAlive, era} = await store.renew(lease.id);
      if (this.#lease?.id !== lease.id) return true;
      // A restored store may have lost the keys that the lease holds.
      if (era !== lease.era) return true;
      if (isAlive) lease.renewedAt = renewedAt;
      else this.#forgetLease();
      return true;
    } catch (err) {
      log.info('rightsNotRenewed', {message: String(err)});
      return false;
    }
  }

  #forgetLease(): void {
    this.#lease = undefined;
    this.#rights.clear();
  }
}

const RESTORED = 'the store was restored meanwhile';
