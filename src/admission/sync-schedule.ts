/** Decides when a holder sends a sync to the owner of a budget. */

import type {Clock} from '../infra/clock.js';
import type {DemandMeter} from './demand-meter.js';
import {isEmptyShare} from './share.js';
import type {SyncPurpose, TeamHolder} from './team-holder.js';
import type {GrantReply} from './types.js';

/** A holder without demand for this long returns its share. */
const RELEASE_AFTER_MS = 2_000;
/** The state of a budget without demand for this long is dropped. */
const DROP_AFTER_MS = 60_000;
/** Minimum interval between reports of changed demand. */
const REPORT_INTERVAL_MS = 1_000;
/** Minimum interval between reports of a standby that is below its target. */
const BELOW_TARGET_INTERVAL_MS = 250;
/** Maximum interval between reports of a node with demand. */
const REFRESH_INTERVAL_MS = 5_000;
/** Maximum interval between reports of a standby without demand. */
const IDLE_INTERVAL_MS = 9_000;
/** Minimum relative change of demand that triggers a report. */
const DEMAND_CHANGE_RATIO = 0.25;
/**
 * An owner that has not answered for this long may be gone, and what is returned
 * to it lost, so the holder sends a probe first.
 */
const RECENT_ANSWER_MS = 1_000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** The conditions, besides demand and share, that make a sync due. */
export interface SyncConditions {
  /** The share was granted in an epoch older than the latest one known. */
  readonly isShareOutdated: boolean;
  /** No owner is known, or the known one was retired. */
  readonly hasNoValidOwner: boolean;
  /** This node keeps a reserve of the budget even without demand. */
  readonly isStandby: boolean;
}

/** Schedules one team's syncs, with backoff after failures. */
export class SyncSchedule {
  readonly #clock: Clock;
  #sentAtMs = -Infinity;
  #sentDemand = 0;
  #nextRequestAtMs = -Infinity;
  #nextReportAtMs = -Infinity;
  #tokenDueAtMs = -Infinity;
  #failures = 0;
  #answeredAtMs = -Infinity;
  #isUncertain = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** True if tokens may be requested now. */
  mayRequestTokens(): boolean {
    return this.#clock.now() >= this.#nextRequestAtMs;
  }

  /** Milliseconds until a request can be granted a token. */
  msUntilTokenExpected(): number {
    const dueAtMs = Math.max(this.#nextRequestAtMs, this.#tokenDueAtMs);
    return Math.max(0, dueAtMs - this.#clock.now());
  }

  /** True if the owner has answered, and no message has failed since. */
  get hasOwnerAnswered(): boolean {
    return !this.isOwnerUnresponsive && this.#tokenDueAtMs !== -Infinity;
  }

  /**
   * True if the owner's last answer took all holders into account, and no
   * message has failed since.
   */
  get isAnswerComplete(): boolean {
    return this.hasOwnerAnswered && !this.#isUncertain;
  }

  /** True if messages have failed since the owner last answered. */
  get isOwnerUnresponsive(): boolean {
    return this.#failures > 0;
  }

  /** True if the owner answered recently, and no message has failed since. */
  get hasOwnerAnsweredRecently(): boolean {
    const silentMs = this.#clock.now() - this.#answeredAtMs;
    return !this.isOwnerUnresponsive && silentMs < RECENT_ANSWER_MS;
  }

  /** Records that a message was sent. */
  sent(demand: number): void {
    this.#sentAtMs = this.#clock.now();
    this.#sentDemand = demand;
  }

  /** Records that the owner granted the last message. */
  answered({
    askAgainMs,
    retryAfterMs,
    isUncertain = false,
  }: Pick<GrantReply, 'askAgainMs' | 'retryAfterMs' | 'isUncertain'>): void {
    const nowMs = this.#clock.now();
    this.#failures = 0;
    this.#isUncertain = isUncertain;
    this.#answeredAtMs = nowMs;
    this.#nextRequestAtMs = nowMs + askAgainMs;
    this.#tokenDueAtMs = nowMs + retryAfterMs;
  }

  /** Records a failure; the backoff doubles with each consecutive one. */
  failed(): void {
    const backoffMs = MIN_BACKOFF_MS * 2 ** Math.min(this.#failures, 10);
    const nextAtMs = this.#clock.now() + Math.min(MAX_BACKOFF_MS, backoffMs);
    this.#failures += 1;
    this.#nextRequestAtMs = nextAtMs;
    this.#nextReportAtMs = nextAtMs;
  }

  /** Returns the purpose of the sync that is due now; undefined if none is. */
  duePurpose(
    meter: DemandMeter,
    holder: TeamHolder,
    conditions: SyncConditions,
  ): SyncPurpose | undefined {
    const nowMs = this.#clock.now();
    if (nowMs < this.#nextReportAtMs) return undefined;
    const sinceSyncMs = nowMs - this.#sentAtMs;
    const {isStandby} = conditions;
    const hasNoDemand = meter.idleMs >= RELEASE_AFTER_MS;
    const isRefreshDue =
      sinceSyncMs >= (hasNoDemand ? IDLE_INTERVAL_MS : REFRESH_INTERVAL_MS);
    if (isEmptyShare(holder.share)) {
      return isStandby && isRefreshDue ? 'report' : undefined;
    }
    if (conditions.isShareOutdated || conditions.hasNoValidOwner)
      return 'report';
    if (hasNoDemand && !isStandby) return 'release';
    if (isRefreshDue) return 'report';
    const isBelowTarget = isStandby && holder.isBelowTarget;
    if (isBelowTarget && sinceSyncMs >= BELOW_TARGET_INTERVAL_MS)
      return 'report';
    if (sinceSyncMs < REPORT_INTERVAL_MS) return undefined;
    const change = Math.abs(meter.perSecond - this.#sentDemand);
    const isChanged = change > DEMAND_CHANGE_RATIO * (this.#sentDemand + 1);
    return isChanged || holder.hasExcess ? 'report' : undefined;
  }

  /** True if the team has had no demand at this node for long. */
  isIdle(meter: DemandMeter): boolean {
    return meter.idleMs >= DROP_AFTER_MS;
  }
}
