/**
 * Registers this node in the store under a lease and renews the lease.
 *
 * Load pattern: hundreds of nodes renew their leases, which is most of what the
 * store is asked on a calm day. Only a few of them do work that others wait to
 * take over: homes, budget owners and watchers. They renew often, so that their
 * leases end soon after they fail; the others seldom.
 */
import type {Clock} from '../infra/clock.js';
import {LeaseGoneError, type LeasedStore} from '../infra/leased-store.js';
import {
  elapsedSince,
  takeInstant,
  type Instant,
} from '../membership/elapsed.js';
import type {Logger} from '../telemetry/log.js';
import {encodeMember, memberKey, type FleetMember} from './member-record.js';

/**
 * Other nodes take over a failed node's work only once its lease has expired.
 * Three renewals fit into it, so two lost answers don't let it expire.
 */
const LEASE_TTL_MS = 2_000;
const RENEW_PERIOD_MS = 500;
/**
 * The same for a node without such work. The period is below the shorter time to
 * live, so that a node that gets work can rely on its lease at once.
 */
const IDLE_LEASE_TTL_MS = 6_400;
const IDLE_RENEW_PERIOD_MS = 1_600;
/** How long a node has such work before it renews more often. */
const WORK_SETTLED_MS = 3_000;
/** How long a node is without it before it renews less often. */
const IDLE_SETTLED_MS = 10_000;
const RETRY_MS = 100;
/** The node stops relying on its lease this long before it expires. */
const EXPIRY_MARGIN_MS = 200;
/**
 * After a restore of the store every node writes its record again: two calls a
 * node, spread so that the fleet makes 1,000 calls a second.
 */
const REWRITE_SPREAD_MS_PER_NODE = 2;

/** Dependencies and settings of {@link MemberLease}. */
export interface MemberLeaseOptions {
  readonly store: Pick<LeasedStore, 'swap' | 'grant' | 'renew' | 'revoke'>;
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: FleetMember;
  /** The shortest lease that the store grants, in milliseconds. */
  readonly minTtlMs: number;
  /** Returns whether this node does work that other nodes take over. */
  readonly hasWork: () => boolean;
  /** Returns the number of live nodes. */
  readonly fleetSize: () => number;
  /** Returns a number from 0 to 1; `Math.random` by default. */
  readonly random?: () => number;
}

/**
 * Registers this node as a member and renews its lease.
 *
 * @example
 * const lease = new MemberLease({store, clock, log, self, minTtlMs});
 * void lease.run(signal);
 * if (lease.isHeld) grantFromOwnBudget();
 */
export class MemberLease {
  readonly #options: MemberLeaseOptions;
  #self: FleetMember;
  #lease: string | undefined;
  #ttlMs = 0;
  /** When the last successful grant or renewal was sent. */
  #renewedAt: Instant | undefined;
  #heldSince: number | undefined;
  #revision = 0;
  /** The store's era in which this node's record was last written. */
  #recordEra = 0;
  /**
   * The lease of the record; undefined while a write has not been answered, or if
   * the record has changed since.
   */
  #recordLease: string | undefined;
  /** Whether the lease is one of a node with work. */
  #isShort: boolean;
  /** Since when that differs from what the node needs. */
  #differsSince: number | undefined;

  constructor(options: MemberLeaseOptions) {
    this.#options = options;
    this.#self = options.self;
    this.#isShort = false;
  }

  /**
   * Whether the lease is certainly valid now. Don't cache it. A node without work
   * relies on it no longer than one with work, so that work which it is given
   * passes on as soon.
   */
  get isHeld(): boolean {
    if (this.#renewedAt === undefined || this.#lease === undefined)
      return false;
    const {clock, minTtlMs} = this.#options;
    const ageMs = elapsedSince(clock, this.#renewedAt);
    const reliableMs = Math.min(this.#ttlMs, Math.max(LEASE_TTL_MS, minTtlMs));
    return ageMs < reliableMs - EXPIRY_MARGIN_MS;
  }

  /** How long the lease has been held without interruption. */
  get heldForMs(): number {
    if (!this.isHeld || this.#heldSince === undefined) return 0;
    return this.#options.clock.now() - this.#heldSince;
  }

  /** Keeps the node registered until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, log} = this.#options;
    while (!signal.aborted) {
      let hasFailed = false;
      try {
        if (this.#lease === undefined) await this.#register();
        else if (this.#needsOtherLease()) await this.#exchangeLease();
        else await this.#renew();
      } catch (err) {
        hasFailed = true;
        if (err instanceof LeaseGoneError) this.#clearLease();
        log.warn('memberLeaseNotRenewed', {message: String(err)});
      }
      await clock.sleep(hasFailed ? RETRY_MS : this.#periodMs, signal);
    }
  }

  get #periodMs(): number {
    return this.#isShort ? RENEW_PERIOD_MS : IDLE_RENEW_PERIOD_MS;
  }

  /** Marks this node's record as slow, or no longer, with the next renewal. */
  setSlow(isSlow: boolean): void {
    this.#self = {...this.#self, isSlow: isSlow || undefined};
    this.#recordLease = undefined;
  }

  /** Marks this node's record as leaving, so that it receives no new work. */
  async announceLeaving(): Promise<void> {
    this.#self = {...this.#self, isLeaving: true};
    if (this.#lease !== undefined) await this.#write(this.#lease);
  }

  /** Revokes the lease, which removes the record too. */
  async end(): Promise<void> {
    const lease = this.#lease;
    this.#clearLease();
    if (lease !== undefined) await this.#options.store.revoke(lease);
  }

  /** Whether the node has had work, or none, for long enough. */
  #needsOtherLease(): boolean {
    const {clock, hasWork} = this.#options;
    const now = clock.now();
    if (hasWork() === this.#isShort) {
      this.#differsSince = undefined;
      return false;
    }
    this.#differsSince ??= now;
    const settledMs = this.#isShort ? IDLE_SETTLED_MS : WORK_SETTLED_MS;
    return now - this.#differsSince >= settledMs;
  }

  /** Moves the record to a lease of the other length. */
  async #exchangeLease(): Promise<void> {
    const {store, log} = this.#options;
    const old = this.#lease ?? '';
    this.#isShort = !this.#isShort;
    this.#differsSince = undefined;
    try {
      await this.#register();
    } catch (err) {
      this.#isShort = !this.#isShort;
      throw err;
    }
    await store.revoke(old).catch((err: unknown) => {
      // It ends by itself, and the record no longer hangs on it.
      log.info('oldLeaseNotEnded', {lease: old, message: String(err)});
    });
  }

  async #register(): Promise<void> {
    const {store, clock, log, minTtlMs} = this.#options;
    const wasHeld = this.isHeld;
    const sentAt = takeInstant(clock);
    const usualMs = this.#isShort ? LEASE_TTL_MS : IDLE_LEASE_TTL_MS;
    const wantedMs = Math.max(usualMs, minTtlMs);
    const {id, ttlMs} = await store.grant(wantedMs);
    await this.#write(id);
    this.#lease = id;
    this.#ttlMs = ttlMs;
    this.#renewedAt = sentAt;
    if (!wasHeld) this.#heldSince = clock.now();
    log.info('memberRegistered', {lease: id, ttlMs});
  }

  async #renew(): Promise<void> {
    const {store, clock} = this.#options;
    const wasHeld = this.isHeld;
    const sentAt = takeInstant(clock);
    const lease = this.#lease ?? '';
    const {isAlive, era} = await store.renew(lease);
    const wasRestored = era !== this.#recordEra;
    if (wasRestored) await this.#spreadRewrite();
    if (!isAlive) {
      this.#clearLease();
      return this.#register();
    }
    // The copy that the store was restored from may lack the latest record, an
    // unanswered write may have moved it to another lease, or it has changed.
    if (wasRestored || this.#recordLease !== lease) await this.#write(lease);
    this.#renewedAt = sentAt;
    if (!wasHeld) this.#heldSince = clock.now();
  }

  #spreadRewrite(): Promise<void> {
    const {clock, fleetSize, random = Math.random} = this.#options;
    return clock.sleep(random() * fleetSize() * REWRITE_SPREAD_MS_PER_NODE);
  }

  async #write(lease: string): Promise<void> {
    const {store, self} = this.#options;
    const key = memberKey(self.id);
    const value = encodeMember(this.#self);
    let expected = this.#revision;
    this.#recordLease = undefined;
    for (;;) {
      const result = await store.swap(key, expected, value, lease);
      if (result.kind === 'swapped') {
        this.#revision = result.at.revision;
        this.#recordEra = result.at.era;
        const isCurrent = value === encodeMember(this.#self);
        this.#recordLease = isCurrent ? lease : undefined;
        return;
      }
      // Written by an earlier process of this node, or by an earlier attempt
      // whose answer was lost.
      expected = result.current?.revision ?? 0;
    }
  }

  #clearLease(): void {
    this.#lease = undefined;
    this.#renewedAt = undefined;
    this.#heldSince = undefined;
  }
}
