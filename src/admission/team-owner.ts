/** The owner's side of one team's budget: grants and reclaims shares. */

import type {Clock} from '../infra/clock.js';
import {
  affordableIncrease,
  isOverloaded,
  OVERLOAD_PAUSE_MS,
  ownerReserve,
  standbyReserve,
  burstUnitsToGrant,
  standbyCount,
  targetShare,
  tokensToGrant,
} from './allocation.js';
import {budgetKey} from './budget-record.js';
import {DemandTable} from './demand-table.js';
import type {Ledger} from './ledger.js';
import {Recalls} from './recalls.js';
import {
  addShares,
  bucketSizeOf,
  isEmptyShare,
  maxShare,
  tokensIn,
} from './share.js';
import type {SpendGuard} from './spend-guard.js';
import {TokenBucket} from './token-bucket.js';
import type {
  BudgetLimits,
  BudgetPeers,
  BudgetReply,
  GrantReply,
  Share,
  SyncMessage,
} from './types.js';

/** Bounds of the pause between two requests of a node that got too little. */
const MIN_REQUEST_PAUSE_MS = 10;
const MAX_REQUEST_PAUSE_MS = 100;

/** Dependencies of a team owner. */
export interface TeamOwnerDeps {
  readonly team: string;
  readonly self: string;
  readonly clock: Clock;
  readonly guard: SpendGuard;
  readonly peers: BudgetPeers;
  readonly limits: () => BudgetLimits;
  /** Statements a second that callers send to the owner's own node. */
  readonly ownDemand: () => number;
}

/** Keeps the ledger of one budget in one epoch, and the tokens of its pool. */
export class TeamOwner {
  readonly epoch: number;
  readonly #deps: TeamOwnerDeps;
  readonly #ledger: Ledger;
  readonly #bucket: TokenBucket;
  readonly #demands: DemandTable;
  readonly #recalls: Recalls;
  #isClosed = false;

  /**
   * `ledger` has the whole budget in its pool in the first epoch, and as its
   * unaccounted share in a later one.
   */
  constructor(
    deps: TeamOwnerDeps,
    epoch: number,
    ledger: Ledger,
    tokens: number,
  ) {
    this.epoch = epoch;
    this.#deps = deps;
    this.#ledger = ledger;
    this.#demands = new DemandTable(deps.clock);
    this.#bucket = new TokenBucket(deps.clock, this.#bucketSize(), tokens);
    this.#recalls = new Recalls({
      team: deps.team,
      owner: deps.self,
      epoch,
      clock: deps.clock,
      peers: deps.peers,
      limits: deps.limits,
      ledger: this.#ledger,
      demands: this.#demands,
      tokens: () => this.tokens,
      totalDemand: () => this.#totalDemand(),
      targetOf: holder => this.#targetOf(holder),
      count: sync => void this.#reconcile(sync),
    });
  }

  get pool(): Share {
    return this.#ledger.pool;
  }

  get tokens(): number {
    this.#resizeBucket();
    return this.#bucket.tokens;
  }

  /** Whether a holder that may have tokens did not answer in time. */
  get hasUnansweredRecalls(): boolean {
    return this.#recalls.hasUnansweredRecalls;
  }

  /** Pause before tokens are requested again after too few were granted. */
  get requestPauseMs(): number {
    if (this.#isOverloaded()) return OVERLOAD_PAUSE_MS;
    const dueMs = this.#bucket.msUntil(1);
    return Math.min(
      MAX_REQUEST_PAUSE_MS,
      Math.max(MIN_REQUEST_PAUSE_MS, dueMs),
    );
  }

  /** The nodes that the ledger records as holding a share. */
  get holders(): readonly string[] {
    return [...this.#ledger.entries]
      .filter(([, entry]) => !isEmptyShare(entry.share))
      .map(([holder]) => holder);
  }

  trySpend(): boolean {
    if (this.#isClosed || !this.#deps.guard.maySpend()) return false;
    this.#resizeBucket();
    return this.#bucket.trySpend(1);
  }

  msUntilToken(): number {
    this.#resizeBucket();
    return this.#bucket.msUntil(1);
  }

  /** Applies a holder's message to the ledger and replies with a grant. */
  async serve(sync: SyncMessage): Promise<BudgetReply> {
    const result = this.#reconcile(sync);
    if (result === 'stale') return {kind: 'stale'};
    if (result === 'void') {
      return {kind: 'void', epoch: this.epoch, owner: this.#deps.self};
    }
    if (sync.waiting > 0 && this.#bucket.tokens < sync.waiting) {
      await this.recallTokens(sync.waiting, sync.holder);
    }
    const isLatest = this.#ledger.isLatest(sync.holder, sync.seq);
    const mayGrant = !this.#isClosed && this.#deps.guard.maySpend();
    if (!isLatest || !mayGrant) return {kind: 'stale'};
    return this.#grant(sync);
  }

  /** Recalls tokens from holders until the pool has `wanted`, if they can. */
  async recallTokens(wanted: number, except?: string): Promise<void> {
    await this.#recalls.collect(wanted, except);
  }

  /** Requests reports from holders that have not sent one for long. */
  async requestReports(): Promise<void> {
    await this.#recalls.requestReports(this.holders);
    this.#demands.removeExpired();
  }

  /** Reclaims the share of a node that can never spend again. */
  reclaim(holder: string): void {
    this.#resizeBucket();
    this.#ledger.reclaim(holder);
    this.#demands.remove(holder);
    this.#resizeBucket();
  }

  /** Moves the share that this node held under an earlier owner to the pool. */
  adoptOwnShare(share: Share, tokens: number): void {
    this.#resizeBucket();
    if (!this.#ledger.adoptOwnShare(share)) return;
    this.#resizeBucket();
    this.#bucket.add(tokens);
  }

  /** Moves the unaccounted share to the pool, without any tokens. */
  reclaimUnaccounted(): void {
    this.#resizeBucket();
    this.#ledger.reclaimUnaccounted();
    this.#resizeBucket();
  }

  /** Stops granting; returns the pool, which this node keeps as a holder. */
  close(): {readonly share: Share; readonly tokens: number} {
    const pool = {share: this.pool, tokens: this.tokens};
    // A pending call must not grant from a pool that now belongs to a holder.
    this.#isClosed = true;
    return pool;
  }

  #reconcile(sync: SyncMessage): 'reconciled' | 'stale' | 'void' {
    if (this.#isClosed) return 'stale';
    if (this.#deps.guard.isRetired(sync.holder)) return 'void';
    this.#resizeBucket();
    const res = this.#ledger.reconcile(sync, this.epoch);
    if (res.kind !== 'reconciled') return res.kind;
    this.#resizeBucket();
    const maxTokens = tokensIn(res.returned.burst, this.#deps.limits());
    this.#bucket.add(Math.min(maxTokens, sync.tokensBack));
    this.#demands.record(sync);
    return 'reconciled';
  }

  #grant(sync: SyncMessage): GrantReply {
    this.#resizeBucket();
    const held = this.#ledger.shareOf(sync.holder);
    const limits = this.#deps.limits();
    const target = this.#targetOf(sync.holder);
    const reserved = ownerReserve(
      this.#deps.ownDemand(),
      this.#totalDemand(),
      limits,
    );
    const increase = affordableIncrease(
      held,
      target,
      this.#ledger.pool,
      reserved,
    );
    const wanted = tokensToGrant(
      sync,
      this.#bucket.tokens,
      this.#ledger.pool.burst,
      increase.burst,
      target,
    );
    const needed =
      sync.waiting > 0 ? burstUnitsToGrant(wanted, held, limits) : 0;
    const burst = Math.min(
      this.#ledger.pool.burst,
      Math.max(increase.burst, needed),
    );
    this.#ledger.grant(sync.holder, {rate: increase.rate, burst});
    const tokens = this.#bucket.drain(
      Math.min(wanted, tokensIn(burst, limits)),
    );
    this.#resizeBucket();
    return {
      kind: 'granted',
      epoch: this.epoch,
      owner: this.#deps.self,
      seq: sync.seq,
      share: this.#ledger.shareOf(sync.holder),
      tokens,
      target,
      askAgainMs: sync.waiting > tokens + sync.tokens ? this.requestPauseMs : 0,
      retryAfterMs: this.#retryAfterMs(),
      isUncertain: this.hasUnansweredRecalls,
    };
  }

  #targetOf(holder: string): Share {
    const limits = this.#deps.limits();
    const demand = this.#demands.demandOf(holder);
    const target = targetShare(demand, this.#totalDemand(), limits);
    const standbys = this.#standbys();
    const isStandby = this.#demands.isStandby(holder);
    if (!isStandby || !standbys.includes(holder)) return target;
    const shares = standbys.map(instance => this.#ledger.shareOf(instance));
    const total = shares.reduce(addShares, this.#ledger.pool);
    return maxShare(target, standbyReserve(total, standbys.length));
  }

  /** The nodes that keep a reserve: those ranked best, without this one. */
  #standbys(): readonly string[] {
    const {peers, self, team, limits} = this.#deps;
    return peers
      .homeOrder(budgetKey(team))
      .map(({instance}) => instance)
      .filter(instance => instance !== self)
      .slice(0, standbyCount(limits()));
  }

  #totalDemand(): number {
    return this.#demands.total + this.#deps.ownDemand();
  }

  #isOverloaded(): boolean {
    return isOverloaded(this.#totalDemand(), this.#deps.limits());
  }

  #retryAfterMs(): number {
    const poolMs = this.#bucket.msUntil(1);
    if (poolMs !== Infinity) return poolMs;
    return 1_000 / Math.max(this.#deps.limits().rate, 1e-3);
  }

  #resizeBucket(): void {
    const size = this.#bucketSize();
    const {rate, burst} = this.#bucket.size;
    if (rate !== size.rate || burst !== size.burst) this.#bucket.resize(size);
  }

  #bucketSize() {
    return bucketSizeOf(
      this.#ledger.pool,
      this.#deps.limits(),
      this.#deps.guard.clockErrorRatio,
    );
  }
}
