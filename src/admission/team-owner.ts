/** The owner of one team's budget: grants shares and takes them back. */

import type {Clock} from '../platform/clock.js';
import {
  affordableRise,
  isOverloaded,
  ownerShare,
  targetShare,
} from './allocation.js';
import {DemandTable} from './demand-table.js';
import {Ledger} from './ledger.js';
import {
  bucketSizeOf,
  isNoShare,
  minShare,
  NO_SHARE,
  tokensIn,
  unitsFor,
} from './share.js';
import type {SpendGuard} from './spend-guard.js';
import {TokenBucket} from './token-bucket.js';
import type {
  BudgetLimits,
  BudgetPeers,
  BudgetReply,
  GrantReply,
  RecallMessage,
  Share,
  SyncMessage,
} from './types.js';

const RECALL_TIMEOUT_MS = 12;
const REPORT_TIMEOUT_MS = 250;
const MAX_RECALLS = 8;
/** Pause between two rounds of recalls that brought too little. */
const RECALL_PAUSE_MS = 25;
const FRUITFUL_RECALL_TOKENS = 2;
/** A round brings tokens for this long ahead, so that rounds are few. */
const RECALL_AHEAD_S = 0.1;
/** An asking node is given tokens for this long ahead, if there are plenty. */
const ASK_AHEAD_S = 0.25;
/** The part of the owner's tokens that may be given ahead of need. */
const MAX_AHEAD_RATIO = 0.25;
/** Pauses between two asks of a node that got too little. */
const MIN_ASK_PAUSE_MS = 10;
const MAX_ASK_PAUSE_MS = 100;
/** Pause between asks, and rounds of recalls, while the team is overloaded. */
const OVERLOAD_PAUSE_MS = 1_000;
/** A holder that was not heard of for this long is asked what it holds. */
const REPORT_AFTER_MS = 10_000;

/** What an owner is built from. */
export interface TeamOwnerDeps {
  readonly team: string;
  readonly self: string;
  readonly clock: Clock;
  readonly guard: SpendGuard;
  readonly peers: BudgetPeers;
  readonly limits: () => BudgetLimits;
  /** Statements a second offered at the owner's own node. */
  readonly ownDemand: () => number;
}

/** The ledger of one budget in one epoch, and the tokens of its pool. */
export class TeamOwner {
  readonly epoch: number;
  readonly #deps: TeamOwnerDeps;
  readonly #ledger: Ledger;
  readonly #bucket: TokenBucket;
  readonly #demands: DemandTable;
  readonly #askedAtMs = new Map<string, number>();
  #recalling: Promise<void> | undefined;
  #nextRecallAtMs = 0;

  /** `ledger` is whole in the first epoch, and unaccounted in a later one. */
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
    this.#bucket = new TokenBucket(deps.clock, this.#size(), tokens);
  }

  get pool(): Share {
    return this.#ledger.pool;
  }

  get hasUnaccounted(): boolean {
    return !isNoShare(this.#ledger.unaccounted);
  }

  get tokens(): number {
    this.#refit();
    return this.#bucket.tokens;
  }

  /** The nodes that may hold a share. */
  get holders(): readonly string[] {
    return [...this.#ledger.entries]
      .filter(([, entry]) => !isNoShare(entry.share))
      .map(([holder]) => holder);
  }

  trySpend(): boolean {
    if (!this.#deps.guard.maySpend()) return false;
    this.#refit();
    return this.#bucket.trySpend(1);
  }

  msUntilToken(): number {
    this.#refit();
    return this.#bucket.msUntil(1);
  }

  /** Counts a holder's message and answers it with a grant. */
  async serve(sync: SyncMessage): Promise<BudgetReply> {
    const counted = this.#count(sync);
    if (counted === 'stale') return {kind: 'stale'};
    if (counted === 'void') {
      return {kind: 'void', epoch: this.epoch, owner: this.#deps.self};
    }
    if (sync.waiting > 0 && this.#bucket.tokens < sync.waiting) {
      await this.recallTokens(sync.waiting, sync.holder);
    }
    const isLatest = this.#ledger.isLatest(sync.holder, sync.seq);
    if (!isLatest || !this.#deps.guard.maySpend()) return {kind: 'stale'};
    return this.#grant(sync);
  }

  /** Asks the holders with most tokens to spare for `wanted` of them. */
  async recallTokens(wanted: number, except?: string): Promise<void> {
    if (this.#recalling !== undefined) await this.#recalling;
    this.#refit();
    if (this.#bucket.tokens >= wanted) return;
    if (this.#deps.clock.now() < this.#nextRecallAtMs) return;
    this.#recalling ??= this.#recallRound(wanted, except).finally(() => {
      this.#recalling = undefined;
    });
    return this.#recalling;
  }

  /** Asks holders not heard of for long what they hold. */
  async askForReports(): Promise<void> {
    const nowMs = this.#deps.clock.now();
    const silent = this.holders.filter(holder => {
      const heardAtMs = Math.max(
        this.#demands.heardAtMs(holder),
        this.#askedAtMs.get(holder) ?? -Infinity,
      );
      return nowMs - heardAtMs >= REPORT_AFTER_MS;
    });
    for (const holder of silent) this.#askedAtMs.set(holder, nowMs);
    await Promise.all(
      silent.map(holder => this.#recall(holder, 0, REPORT_TIMEOUT_MS)),
    );
    this.#demands.forgetSilent();
  }

  /** Takes back the share of a node that can never spend again. */
  reclaim(holder: string): void {
    this.#refit();
    this.#ledger.reclaim(holder);
    this.#askedAtMs.delete(holder);
    this.#demands.forget(holder);
    this.#refit();
  }

  /** Takes over what this node held of an earlier owner. */
  absorb(share: Share, tokens: number): void {
    this.#refit();
    if (!this.#ledger.absorb(share)) return;
    this.#refit();
    this.#bucket.add(tokens);
  }

  /** Takes what no earlier grant can hold any longer, without tokens. */
  closeAdoption(): void {
    this.#refit();
    this.#ledger.closeAdoption();
    this.#refit();
  }

  #count(sync: SyncMessage): 'counted' | 'stale' | 'void' {
    if (this.#deps.guard.isRetired(sync.holder)) return 'void';
    this.#refit();
    const res = this.#ledger.reconcile(sync, this.epoch);
    if (res.kind !== 'counted') return res.kind;
    this.#refit();
    const room = tokensIn(res.returned.burst, this.#deps.limits());
    this.#bucket.add(Math.min(room, sync.tokensBack));
    this.#demands.note(sync);
    return 'counted';
  }

  #grant(sync: SyncMessage): GrantReply {
    this.#refit();
    const held = this.#ledger.shareOf(sync.holder);
    const limits = this.#deps.limits();
    const target = this.#targetOf(sync.holder);
    const kept = ownerShare(
      this.#deps.ownDemand(),
      this.#totalDemand(),
      limits,
    );
    const rise = affordableRise(held, target, this.#ledger.pool, kept);
    const wanted = this.#wantedTokens(sync, rise, target);
    const room = this.#roomFor(sync, wanted, held);
    const burst = Math.min(this.#ledger.pool.burst, Math.max(rise.burst, room));
    this.#ledger.grant(sync.holder, {rate: rise.rate, burst});
    const tokens = this.#bucket.drain(
      Math.min(wanted, tokensIn(burst, limits)),
    );
    this.#refit();
    return {
      kind: 'granted',
      epoch: this.epoch,
      owner: this.#deps.self,
      seq: sync.seq,
      share: this.#ledger.shareOf(sync.holder),
      tokens,
      target,
      askAgainMs: sync.waiting > tokens + sync.tokens ? this.#askPauseMs() : 0,
      retryAfterMs: this.#retryAfterMs(),
    };
  }

  /** Tokens go along with burst in proportion; waiting statements need more. */
  #wantedTokens(sync: SyncMessage, rise: Share, target: Share): number {
    const {tokens} = this.#bucket;
    const pool = this.#ledger.pool.burst;
    const inProportion = pool > 0 ? (tokens * rise.burst) / pool : 0;
    if (sync.waiting === 0) return inProportion;
    // A node without a share of its own would keep others from the tokens.
    const ahead = isNoShare(target)
      ? 0
      : Math.min(sync.demand * ASK_AHEAD_S, tokens * MAX_AHEAD_RATIO);
    return Math.max(inProportion, Math.min(tokens, sync.waiting + ahead));
  }

  /** A node with waiting statements must be able to hold a whole token. */
  #roomFor(sync: SyncMessage, tokens: number, held: Share): number {
    const limits = this.#deps.limits();
    if (sync.waiting === 0) return 0;
    const whole = Math.max(0, unitsFor(1, limits) - held.burst);
    return Math.max(whole, unitsFor(tokens, limits));
  }

  #targetOf(holder: string): Share {
    return targetShare(
      this.#demands.demandOf(holder),
      this.#totalDemand(),
      this.#deps.limits(),
    );
  }

  #totalDemand(): number {
    return this.#demands.total + this.#deps.ownDemand();
  }

  #askPauseMs(): number {
    if (this.#isOverloaded()) return OVERLOAD_PAUSE_MS;
    const dueMs = this.#bucket.msUntil(1);
    return Math.min(MAX_ASK_PAUSE_MS, Math.max(MIN_ASK_PAUSE_MS, dueMs));
  }

  #isOverloaded(): boolean {
    return isOverloaded(this.#totalDemand(), this.#deps.limits());
  }

  #retryAfterMs(): number {
    const poolMs = this.#bucket.msUntil(1);
    if (poolMs !== Infinity) return poolMs;
    return 1_000 / Math.max(this.#deps.limits().rate, 1e-3);
  }

  async #recallRound(wanted: number, except?: string): Promise<void> {
    const limits = this.#deps.limits();
    const ahead = this.#totalDemand() * RECALL_AHEAD_S;
    const before = this.#bucket.tokens;
    const missing = wanted + ahead - before;
    const sources = [...this.#ledger.entries]
      .filter(([holder, entry]) => holder !== except && entry.share.burst > 0)
      .map(([holder, entry]) => ({
        holder,
        spare: this.#demands.spareTokens(holder, entry.share, limits),
      }))
      .sort((a, b) => b.spare - a.spare)
      .slice(0, MAX_RECALLS);
    await Promise.all(
      sources.map(({holder}) =>
        this.#recall(holder, missing, RECALL_TIMEOUT_MS),
      ),
    );
    this.#refit();
    const isFruitful = this.#bucket.tokens - before >= FRUITFUL_RECALL_TOKENS;
    if (isFruitful && !this.#isOverloaded()) return;
    const pauseMs = this.#isOverloaded() ? OVERLOAD_PAUSE_MS : RECALL_PAUSE_MS;
    this.#nextRecallAtMs = this.#deps.clock.now() + pauseMs;
  }

  async #recall(
    holder: string,
    tokens: number,
    timeoutMs: number,
  ): Promise<void> {
    const {team, self, peers} = this.#deps;
    const share = this.#ledger.shareOf(holder);
    const target = tokens > 0 ? this.#recallTarget(holder, share) : share;
    const message: RecallMessage = {
      kind: 'recall',
      team,
      epoch: this.epoch,
      owner: self,
      target,
      tokens,
    };
    try {
      const reply = await peers.call(holder, message, timeoutMs);
      if (reply.kind === 'returned') this.#count(reply.sync);
    } catch {
      // The holder says at its next message what it holds.
    }
  }

  /** Rate goes back too where a node's demand fell. */
  #recallTarget(holder: string, share: Share): Share {
    const target = this.#targetOf(holder);
    return isNoShare(target) ? NO_SHARE : minShare(share, target);
  }

  #refit(): void {
    const size = this.#size();
    const {rate, burst} = this.#bucket.size;
    if (rate !== size.rate || burst !== size.burst) this.#bucket.resize(size);
  }

  #size() {
    return bucketSizeOf(
      this.#ledger.pool,
      this.#deps.limits(),
      this.#deps.guard.clockErrorRatio,
    );
  }
}
