/** The holder's side of one team's budget: the share that the owner granted. */

import {
  bucketSizeOf,
  includesShare,
  isEmptyShare,
  minShare,
  EMPTY_SHARE,
  subtractShares,
  tokensIn,
  unitsFor,
} from './share.js';
import {InFlightSpends} from './in-flight-spends.js';
import type {SpendGuard} from './spend-guard.js';
import {TokenBucket, type BucketSize} from './token-bucket.js';
import type {
  BudgetLimits,
  GrantReply,
  RecallMessage,
  Share,
  SyncMessage,
} from './types.js';
import type {Clock} from '../infra/clock.js';

/** A recalled holder keeps tokens for this much of its own demand. */
const RECALL_KEEP_S = 0.1;

/** A share below this part of its target counts as too small. */
const LOW_RATIO = 0.75;

/** Why a holder sends a sync to the owner. */
export type SyncPurpose =
  /** Requests tokens for blocked statements. */
  | 'acquire'
  /** Reports demand and returns the excess over the target. */
  | 'report'
  /** Returns the whole share. */
  | 'release'
  /**
   * Tests whether the owner answers, and returns nothing: if the owner were
   * gone, the returned share would be lost.
   */
  | 'probe';

/** The fields of a sync that do not describe the share. */
export interface SyncContext {
  readonly team: string;
  readonly holder: string;
  readonly seq: number;
  readonly knownEpoch: number;
  readonly demand: number;
  readonly waiting: number;
  readonly isStandby: boolean;
}

/**
 * Holds a share and its tokens. Shrinks the share before the owner is sent the
 * message that returns a part of it.
 */
export class TeamHolder {
  readonly #guard: SpendGuard;
  readonly #inFlightSpends: InFlightSpends;
  readonly #limits: () => BudgetLimits;
  readonly #bucket: TokenBucket;
  #share: Share = EMPTY_SHARE;
  #target: Share = EMPTY_SHARE;
  #heldEpoch = 0;
  #grantor: string | undefined;
  #awaitedSeq: number | undefined;
  #ownerConfirmedAtMs = 0;

  constructor(clock: Clock, guard: SpendGuard, limits: () => BudgetLimits) {
    this.#guard = guard;
    this.#inFlightSpends = new InFlightSpends(clock);
    this.#limits = limits;
    this.#bucket = new TokenBucket(clock, {rate: 0, burst: 0}, 0);
  }

  get share(): Share {
    this.refresh();
    return this.#share;
  }

  get tokens(): number {
    this.refresh();
    return this.#bucket.tokens;
  }

  /** The epoch of the owner that granted the share; 0 without a share. */
  get heldEpoch(): number {
    return this.#heldEpoch;
  }

  /** The owner that granted the share. */
  get grantor(): string | undefined {
    return this.#grantor;
  }

  /** True while a reply of the owner is pending. */
  get isAwaitingGrant(): boolean {
    return this.#awaitedSeq !== undefined;
  }

  /** True if the share exceeds the target that the owner sent last. */
  get hasExcess(): boolean {
    return !includesShare(this.#target, this.share);
  }

  /** True if the share is clearly below the target that the owner sent last. */
  get isBelowTarget(): boolean {
    const {burst, rate} = this.share;
    const {burst: targetBurst, rate: targetRate} = this.#target;
    return burst < LOW_RATIO * targetBurst || rate < LOW_RATIO * targetRate;
  }

  /** Spends one token, if there is one and this node may spend. */
  trySpend(): boolean {
    if (!this.#guard.maySpend()) return false;
    this.refresh();
    return this.#bucket.trySpend(1);
  }

  /** Milliseconds until this share's bucket has a token. */
  msUntilToken(): number {
    this.refresh();
    return this.#bucket.msUntil(1);
  }

  /**
   * Applies the current limits, and drops a share whose owner was retired too
   * long ago. That time is measured from the last check that found the owner
   * valid, so a process that was paused drops its share before it spends.
   */
  refresh(): void {
    this.#dropExpiredOrphan();
    const size = this.#bucketSize();
    const {rate, burst} = this.#bucket.size;
    if (rate !== size.rate || burst !== size.burst) this.#bucket.resize(size);
  }

  /** Spends up to `count` tokens for another node; returns the number spent. */
  spendForRemote(count: number): number {
    let spent = 0;
    while (spent < count && this.trySpend()) spent++;
    if (spent > 0) this.#inFlightSpends.record(spent);
    this.refresh();
    return spent;
  }

  /** Resolves once no token spent for another node is in flight. */
  async waitForRemoteSpends(): Promise<void> {
    return this.#inFlightSpends.waitUntilSettled();
  }

  /** Shrinks the share as the purpose requires and returns the sync to send. */
  beginSync(purpose: SyncPurpose, context: SyncContext): SyncMessage {
    const needsAdoption = this.#heldEpoch < context.knownEpoch;
    const toKeep = needsAdoption ? this.share : this.#shareToKeep(purpose);
    const tokensBack = purpose === 'release' ? this.tokens : 0;
    const message = this.#shrinkTo(toKeep, tokensBack, context);
    this.#awaitedSeq = context.seq;
    return message;
  }

  /** Returns tokens that this node can spare, with their part of the share. */
  answerRecall(recall: RecallMessage, context: SyncContext): SyncMessage {
    if (this.#heldEpoch < recall.epoch) {
      return this.#shrinkTo(this.share, 0, context);
    }
    const limits = this.#limits();
    const tokens = this.tokens;
    const ownNeed = context.demand * RECALL_KEEP_S + context.waiting;
    const spare = Math.max(tokens / 2, tokens - ownNeed);
    const tokensToReturn = Math.max(0, Math.min(recall.tokens, spare));
    const {rate, burst} = this.#share;
    const remainingBurst = Math.max(
      0,
      burst - unitsFor(tokensToReturn, limits),
    );
    // The rate shrinks with the burst: a small bucket soon overflows, and the
    // tokens that it refills would be lost.
    const remaining = {
      rate: burst > 0 ? Math.floor(rate * (remainingBurst / burst)) : rate,
      burst: remainingBurst,
    };
    return this.#shrinkTo(
      minShare(remaining, recall.target),
      tokensToReturn,
      context,
    );
  }

  /** Applies the pending grant, unless it is outdated or its owner retired. */
  acceptGrant(reply: GrantReply, knownEpoch: number): boolean {
    if (this.#awaitedSeq !== reply.seq) return false;
    this.#awaitedSeq = undefined;
    if (reply.epoch < knownEpoch) return false;
    if (this.#guard.isCutOff || this.#guard.isRetired(reply.owner))
      return false;
    if (!includesShare(reply.share, this.share)) return false;
    this.#share = reply.share;
    this.#target = reply.target;
    this.#heldEpoch = reply.epoch;
    this.#grantor = reply.owner;
    this.#ownerConfirmedAtMs = this.#guard.nowMs;
    this.refresh();
    this.#bucket.add(reply.tokens);
    return true;
  }

  /** Stops waiting for a reply; a later one is ignored. */
  cancelSync(seq: number): void {
    if (this.#awaitedSeq === seq) this.#awaitedSeq = undefined;
  }

  /** Drops the share and its tokens; returns what was dropped. */
  clear(): {readonly share: Share; readonly tokens: number} {
    const dropped = {share: this.share, tokens: this.tokens};
    this.#awaitedSeq = undefined;
    this.#dropShare();
    return dropped;
  }

  /** Takes the pool that this node had as the owner of `epoch` as its share. */
  resumeAsHolder(
    share: Share,
    tokens: number,
    epoch: number,
    self: string,
  ): void {
    this.#share = share;
    this.#target = share;
    this.#heldEpoch = epoch;
    this.#grantor = self;
    this.#ownerConfirmedAtMs = this.#guard.nowMs;
    this.refresh();
    this.#bucket.add(tokens);
  }

  /** The bucket's size, less the burst reserved for tokens in flight. */
  #bucketSize(): BucketSize {
    const {rate, burst} = bucketSizeOf(
      this.#share,
      this.#limits(),
      this.#guard.clockErrorRatio,
    );
    return {
      rate,
      burst: Math.max(0, burst - this.#inFlightSpends.tokensInFlight),
    };
  }

  #shareToKeep(purpose: SyncPurpose): Share {
    const share = this.share;
    if (purpose === 'probe') return share;
    if (purpose === 'release') return EMPTY_SHARE;
    const lowered = minShare(share, this.#target);
    if (purpose === 'report') return lowered;
    // The node needs its tokens, so it returns only burst that holds none.
    const filledBurst = unitsFor(this.tokens, this.#limits());
    const burst = Math.max(lowered.burst, Math.min(share.burst, filledBurst));
    return {rate: lowered.rate, burst};
  }

  /**
   * Shrinks the share and returns `tokens`, or as many as no longer fit if that
   * is more, but no more than the returned burst can hold.
   */
  #shrinkTo(
    wantedShare: Share,
    tokens: number,
    context: SyncContext,
  ): SyncMessage {
    const limits = this.#limits();
    const remaining = this.#withInFlightBurst(wantedShare, limits);
    const overflow = this.tokens - tokensIn(remaining.burst, limits);
    const maxReturned = tokensIn(
      subtractShares(this.#share, remaining).burst,
      limits,
    );
    const wanted = Math.min(maxReturned, Math.max(overflow, tokens));
    const tokensBack = this.#bucket.drain(wanted);
    const heldEpoch = isEmptyShare(remaining) ? 0 : this.#heldEpoch;
    this.#share = remaining;
    if (isEmptyShare(remaining)) this.#dropShare();
    this.refresh();
    return {
      kind: 'sync',
      ...context,
      heldEpoch,
      held: remaining,
      tokens: this.#bucket.tokens,
      tokensBack,
    };
  }

  /** Raises a share's burst so that it covers the tokens in flight. */
  #withInFlightBurst(share: Share, limits: BudgetLimits): Share {
    const spent = unitsFor(this.#inFlightSpends.tokensInFlight, limits);
    const burst = Math.max(share.burst, Math.min(this.#share.burst, spent));
    return {rate: share.rate, burst};
  }

  #dropExpiredOrphan(): void {
    if (this.#grantor === undefined || this.#guard.isCutOff) return;
    const nowMs = this.#guard.nowMs;
    if (!this.#guard.isRetired(this.#grantor)) {
      this.#ownerConfirmedAtMs = nowMs;
      return;
    }
    if (nowMs - this.#ownerConfirmedAtMs >= this.#guard.orphanGraceMs)
      this.#dropShare();
  }

  #dropShare(): void {
    this.#share = EMPTY_SHARE;
    this.#target = EMPTY_SHARE;
    this.#heldEpoch = 0;
    this.#grantor = undefined;
    this.#bucket.resize({rate: 0, burst: 0});
  }
}
