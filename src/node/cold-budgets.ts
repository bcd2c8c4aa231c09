/** The budgets of the cold databases: the holder's and the owner's side. */
import {LAPSE_GRACE_MS, peerAddressOf} from '../fleet/member-list.js';
import type {MemberLease} from '../fleet/member-lease.js';
import type {Clock} from '../infra/clock.js';
import {runAtTicks} from '../infra/timer.js';
import {
  COLD_GRANT_VALID_MS,
  COLD_HORIZON_MS,
  COLD_WINDOW_MS,
  coldBudgetLimits,
  type ColdLimit,
  type ColdTolerance,
} from '../pace/cold-limit.js';
import type {PeerCaller, PeerHandler} from '../peers/types.js';
import {BudgetHolder} from '../quota/budget-holder.js';
import {BudgetOwner} from '../quota/budget-owner.js';
import {RetrySpacing} from '../quota/retry-spacing.js';
import {createTokenHandler} from '../quota/token-handler.js';
import type {
  QuotaDecision,
  RateLimits,
  TokenReply,
  TokenRequest,
} from '../quota/types.js';
import type {Logger} from '../telemetry/log.js';
import type {ClusterState} from './cluster-state.js';
import type {WorkPlacement} from './work-placement.js';

/** Peer method by which holders request tokens for a cold database. */
const TAKE_METHOD = 'pace.cold';
/** Timeout of a request to an owner; a later reply is of no use. */
const TAKE_TIMEOUT_MS = 100;
/** How long the owner is not asked again after it did not grant or answer. */
const UNAVAILABLE_PAUSE_MS = 200;
/** Age of its copy of the store up to which a node grants as the owner. */
const MAX_COPY_AGE_MS = 2_000;
/**
 * How long a node must have been the owner before it grants. The node that it
 * follows may go on by a copy of the store of the maximum age, in which a lapsed
 * member is kept for its grace period, and its last grants must have been used.
 */
export const OWNER_HOLD_OFF_MS =
  MAX_COPY_AGE_MS + LAPSE_GRACE_MS + COLD_HORIZON_MS;
const ROLE_CHECK_MS = 500;
/** A statement and the start of its transaction. */
const MAX_REQUESTS_PER_STATEMENT = 2;
/** Maximum delay between the start of a database and its announcement. */
const ANNOUNCEMENT_DELAY_MS = 1_000;

/** Dependencies of {@link ColdBudgets}. */
export interface ColdBudgetsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: string;
  readonly clusterState: Pick<
    ClusterState,
    'catalog' | 'entries' | 'findDatabase' | 'coldRemainingMs'
  >;
  /** Age of this node's copy of the store, in milliseconds. */
  readonly copyAgeMs: () => number;
  readonly placement: Pick<WorkPlacement, 'budgetOrder'>;
  readonly lease: Pick<MemberLease, 'isHeld'>;
  readonly peers: PeerCaller;
  readonly tolerance: ColdTolerance;
}

/**
 * Bounds the requests to each cold database over all nodes. One node owns the
 * budget of a database and grants each request; without it nothing is granted.
 *
 * A new owner grants nothing until an earlier one can't grant any more, since
 * two owners would exceed the bound. It has no stand-in for the same reason.
 *
 * @example
 * void budgets.run(signal);
 * if (budgets.isCold('db-1', -Infinity)) await budgets.admit('db-1', 1);
 */
export class ColdBudgets implements ColdLimit {
  readonly #options: ColdBudgetsOptions;
  readonly #owner: BudgetOwner;
  readonly #holder: BudgetHolder;
  /** Since when this node ranks first for a database's budget. */
  readonly #firstSince = new Map<string, number>();
  /** Until when this node admits nothing to a database. */
  readonly #refusedUntil = new Map<string, number>();
  readonly #retrySpacings = new Map<string, RetrySpacing>();

  constructor(options: ColdBudgetsOptions) {
    const {clock, log} = options;
    this.#options = options;
    const limits = (id: string) => this.#limitsOf(id);
    this.#owner = new BudgetOwner({
      clock,
      roleFor: id => (this.#mayGrant(id) ? 'owner' : 'none'),
      heldForMs: () => COLD_WINDOW_MS,
      limits,
      windowMs: COLD_WINDOW_MS,
    });
    this.#holder = new BudgetHolder({
      clock,
      log,
      limits,
      requestTokens: req => this.#requestTokens(req),
      grantValidMs: COLD_GRANT_VALID_MS,
      // A token is asked for each request, so that none waits for its use.
      prefetchMs: 0,
    });
  }

  /** Handlers by peer method. */
  get handlers(): ReadonlyMap<string, PeerHandler> {
    return new Map<string, PeerHandler>([
      [TAKE_METHOD, createTokenHandler(this)],
    ]);
  }

  /** Follows which budgets this node owns, until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return runAtTicks(this.#options.clock, ROLE_CHECK_MS, signal, () =>
      this.#updateRoles(),
    );
  }

  /** Serves one token request of a holder. */
  serve(holder: string, req: TokenRequest): TokenReply {
    return this.#owner.serve(holder, req);
  }

  isCold(id: string, returnedAt: number): boolean {
    const {clock, clusterState, copyAgeMs} = this.#options;
    if (this.#rateOf(id) <= 0) return false;
    if (clusterState.coldRemainingMs(id) > 0) return true;
    const confirmedAt = clock.now() - copyAgeMs();
    return confirmedAt < returnedAt + ANNOUNCEMENT_DELAY_MS;
  }

  refusedForMs(id: string): number {
    const until = this.#refusedUntil.get(id) ?? -Infinity;
    return Math.max(0, until - this.#options.clock.now());
  }

  async admit(id: string, requests: number): Promise<QuotaDecision> {
    const count = Math.min(requests, this.#mostPerStatement(id));
    const decision = await this.#holder.admit(id, count);
    if (decision.kind === 'admitted') return decision;
    this.#pause(id, decision.retryAfterMs);
    return {...decision, retryAfterMs: this.nextRetryMs(id)};
  }

  nextRetryMs(id: string): number {
    const {clock} = this.#options;
    const spacing = this.#retrySpacings.get(id) ?? new RetrySpacing(clock);
    this.#retrySpacings.set(id, spacing);
    const rate = this.#limitsOf(id)?.rate ?? 0;
    return spacing.nextDelayMs(this.refusedForMs(id), rate);
  }

  /** Admits nothing until the budget has a token, or its owner may answer. */
  #pause(id: string, retryAfterMs = UNAVAILABLE_PAUSE_MS): void {
    const {rate = 0} = this.#limitsOf(id) ?? {};
    const perTokenMs = rate > 0 ? 1_000 / rate : UNAVAILABLE_PAUSE_MS;
    const ms = Math.min(retryAfterMs, perTokenMs, UNAVAILABLE_PAUSE_MS);
    this.#refusedUntil.set(id, this.#options.clock.now() + ms);
  }

  #rateOf(id: string): number {
    const {catalog, findDatabase} = this.#options.clusterState;
    const group = findDatabase(id)?.group ?? '';
    return catalog.groups.get(group)?.coldRate ?? 0;
  }

  #limitsOf(id: string): RateLimits | undefined {
    const rate = this.#rateOf(id);
    if (rate <= 0) return undefined;
    return coldBudgetLimits(rate, this.#options.tolerance);
  }

  /** Requests of one statement that are counted; a burst may allow only one. */
  #mostPerStatement(id: string): number {
    const burst = this.#limitsOf(id)?.burst ?? 1;
    return Math.max(1, Math.min(MAX_REQUESTS_PER_STATEMENT, Math.floor(burst)));
  }

  #isFirst(id: string): boolean {
    const {placement, self} = this.#options;
    return placement.budgetOrder(budgetName(id))[0]?.id === self;
  }

  /** Whether no other node can grant from a database's budget now. */
  #mayGrant(id: string): boolean {
    const {clock, lease, copyAgeMs} = this.#options;
    if (!lease.isHeld || copyAgeMs() > MAX_COPY_AGE_MS) return false;
    const since = this.#isFirst(id) ? this.#firstSince.get(id) : undefined;
    return since !== undefined && clock.now() - since >= OWNER_HOLD_OFF_MS;
  }

  #updateRoles(): void {
    const {clock, log, lease, copyAgeMs, clusterState} = this.#options;
    const isInTouch = lease.isHeld && copyAgeMs() <= MAX_COPY_AGE_MS;
    const owned = new Set<string>();
    for (const {id} of clusterState.entries) {
      if (isInTouch && this.#rateOf(id) > 0 && this.#isFirst(id)) owned.add(id);
    }
    for (const id of this.#firstSince.keys()) {
      if (owned.has(id)) continue;
      this.#firstSince.delete(id);
      log.info('coldBudgetLeft', {
        database: id,
        isLeaseHeld: lease.isHeld,
        copyAgeMs: Math.round(copyAgeMs()),
      });
    }
    for (const id of owned) {
      if (this.#firstSince.has(id)) continue;
      this.#firstSince.set(id, clock.now());
      const grantsInMs = OWNER_HOLD_OFF_MS;
      log.info('coldBudgetTaken', {database: id, grantsInMs});
    }
  }

  async #requestTokens(req: TokenRequest): Promise<TokenReply> {
    const {placement, self, peers} = this.#options;
    const {team: id} = req;
    if (this.refusedForMs(id) > 0)
      throw new Error('the owner is not asked now');
    const [owner] = placement.budgetOrder(budgetName(id));
    if (owner === undefined) throw new Error('no live node to own the budget');
    // Grants that were not used are not granted again: they may still count.
    const atLeast = Math.min(req.wanted, this.#mostPerStatement(id));
    const sent = {...req, atLeast, returned: 0};
    if (owner.id === self) return this.#checked(id, this.serve(self, sent));
    try {
      const options = {timeoutMs: TAKE_TIMEOUT_MS};
      const address = peerAddressOf(owner);
      const reply = await peers.call(address, TAKE_METHOD, sent, options);
      return this.#checked(id, reply as TokenReply);
    } catch (err) {
      this.#pause(id);
      throw err;
    }
  }

  /** Leaves out the share, without which a holder grants itself nothing. */
  #checked(id: string, reply: TokenReply): TokenReply {
    if (reply.kind === 'granted') return {...reply, share: 0};
    this.#pause(id);
    return reply;
  }
}

function budgetName(id: string): string {
  return `cold ${id}`;
}
