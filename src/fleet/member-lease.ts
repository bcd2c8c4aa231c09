/** Registers this node in the store under a lease and renews the lease. */
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
  readonly store: LeasedStore;
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: FleetMember;
  /** The shortest lease that the store grants, in milliseconds. */
  readonly minTtlMs: number;
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

  constructor(options: MemberLeaseOptions) {
    this.#options = options;
    this.#self = options.self;
  }

  /** Whether the lease is certainly valid now. Don't cache it. */
  get isHeld(): boolean {
    if (this.#renewedAt === undefined || this.#lease === undefined)
      return false;
    const age = elapsedSince(this.#options.clock, this.#renewedAt);
    return age < this.#ttlMs - EXPIRY_MARGIN_MS;
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
      let waitMs = RENEW_PERIOD_MS;
      try {
        if (this.#lease === undefined) await this.#register();
        else await this.#renew();
      } catch (err) {
        waitMs = RETRY_MS;
        if (err instanceof LeaseGoneError) this.#clearLease();
        log.warn('memberLeaseNotRenewed', {message: String(err)});
      }
      await clock.sleep(waitMs, signal);
    }
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

  async #register(): Promise<void> {
    const {store, clock, log, minTtlMs} = this.#options;
    const sentAt = takeInstant(clock);
    const wantedMs = Math.max(LEASE_TTL_MS, minTtlMs);
    const {id, ttlMs} = await store.grant(wantedMs);
    await this.#write(id);
    this.#lease = id;
    this.#ttlMs = ttlMs;
    this.#renewedAt = sentAt;
    this.#heldSince = clock.now();
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
    // The copy that the store was restored from may lack the latest record.
    if (wasRestored) await this.#write(lease);
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
    for (;;) {
      const result = await store.swap(key, expected, value, lease);
      if (result.kind === 'swapped') {
        this.#revision = result.at.revision;
        this.#recordEra = result.at.era;
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
