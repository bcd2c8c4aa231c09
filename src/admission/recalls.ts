/** Recalls tokens, and requests reports, from the holders of a budget. */

import type {Clock} from '../infra/clock.js';
import {isOverloaded, OVERLOAD_PAUSE_MS} from './allocation.js';
import type {DemandTable} from './demand-table.js';
import type {Ledger} from './ledger.js';
import {isEmptyShare, minShare, EMPTY_SHARE} from './share.js';
import type {
  BudgetLimits,
  BudgetPeers,
  RecallMessage,
  Share,
  SyncMessage,
} from './types.js';

const RECALL_TIMEOUT_MS = 12;
const REPORT_TIMEOUT_MS = 250;
const MAX_RECALLS = 8;
/** Pause after a round of recalls that returned too few tokens. */
const RECALL_PAUSE_MS = 25;
const MIN_RECALLED_TOKENS = 2;
/** A round also recalls tokens for this much future demand, to save rounds. */
const RECALL_PREFETCH_S = 0.1;
/** A report is requested from a holder that has sent none for this long. */
const REPORT_AFTER_MS = 10_000;

/** Dependencies of recalls. */
export interface RecallsDeps {
  readonly team: string;
  readonly owner: string;
  readonly epoch: number;
  readonly clock: Clock;
  readonly peers: BudgetPeers;
  readonly limits: () => BudgetLimits;
  readonly ledger: Ledger;
  readonly demands: DemandTable;
  /** The tokens in the owner's pool. */
  readonly tokens: () => number;
  readonly totalDemand: () => number;
  /** The share that a holder should have. */
  readonly targetOf: (holder: string) => Share;
  /** Applies the sync that a holder replies with to the ledger. */
  readonly count: (sync: SyncMessage) => void;
}

/** Sends recalls to holders, in one round at a time. */
export class Recalls {
  readonly #deps: RecallsDeps;
  readonly #reportRequestedAtMs = new Map<string, number>();
  #round: Promise<void> | undefined;
  #nextRoundAtMs = -Infinity;
  /** Number of holders that did not answer in the last round. */
  #unanswered = 0;

  constructor(deps: RecallsDeps) {
    this.#deps = deps;
  }

  /**
   * Whether a holder did not answer the last round in time. It may be busy and
   * have tokens, so the budget is not known to be used up.
   */
  get hasUnansweredRecalls(): boolean {
    return this.#unanswered > 0;
  }

  /**
   * Recalls tokens from the holders with most of them, unless the pool already
   * has `wanted`.
   */
  async collect(wanted: number, except?: string): Promise<void> {
    const {clock, tokens} = this.#deps;
    if (this.#round !== undefined) await this.#round;
    if (tokens() >= wanted || clock.now() < this.#nextRoundAtMs) return;
    this.#round ??= this.#runRound(wanted, except).finally(() => {
      this.#round = undefined;
    });
    return this.#round;
  }

  /** Requests reports from holders that have not sent one for long. */
  async requestReports(holders: readonly string[]): Promise<void> {
    const nowMs = this.#deps.clock.now();
    const silent = holders.filter(holder => {
      const reportedAtMs = this.#deps.demands.lastReportAtMs(holder);
      const requestedAtMs = this.#reportRequestedAtMs.get(holder) ?? -Infinity;
      return nowMs - Math.max(reportedAtMs, requestedAtMs) >= REPORT_AFTER_MS;
    });
    for (const holder of silent) this.#reportRequestedAtMs.set(holder, nowMs);
    await Promise.all(
      silent.map(holder => this.#recall(holder, 0, REPORT_TIMEOUT_MS)),
    );
  }

  async #runRound(wanted: number, except?: string): Promise<void> {
    const {clock, tokens, totalDemand} = this.#deps;
    const before = tokens();
    this.#unanswered = 0;
    const missing = wanted + totalDemand() * RECALL_PREFETCH_S - before;
    await Promise.all(
      this.#holdersToRecall(except).map(holder =>
        this.#recall(holder, missing, RECALL_TIMEOUT_MS),
      ),
    );
    const isEnough = tokens() - before >= MIN_RECALLED_TOKENS;
    const overloaded = isOverloaded(totalDemand(), this.#deps.limits());
    if (isEnough && !overloaded) return;
    const pauseMs = overloaded ? OVERLOAD_PAUSE_MS : RECALL_PAUSE_MS;
    this.#nextRoundAtMs = clock.now() + pauseMs;
  }

  #holdersToRecall(except?: string): readonly string[] {
    const {ledger, demands} = this.#deps;
    const limits = this.#deps.limits();
    return [...ledger.entries]
      .filter(([holder, entry]) => holder !== except && entry.share.burst > 0)
      .map(([holder, entry]) => ({
        holder,
        spare: demands.estimateTokens(holder, entry.share, limits),
      }))
      .sort((a, b) => b.spare - a.spare)
      .slice(0, MAX_RECALLS)
      .map(({holder}) => holder);
  }

  async #recall(
    holder: string,
    tokens: number,
    timeoutMs: number,
  ): Promise<void> {
    const {team, owner, epoch, peers, ledger} = this.#deps;
    const share = ledger.shareOf(holder);
    const target = tokens > 0 ? this.#recallTarget(holder, share) : share;
    const message: RecallMessage = {
      kind: 'recall',
      team,
      epoch,
      owner,
      target,
      tokens,
    };
    try {
      const reply = await peers.call(holder, message, timeoutMs);
      if (reply.kind === 'returned') this.#deps.count(reply.sync);
    } catch {
      // The holder's next sync reports what it holds.
      this.#unanswered += 1;
    }
  }

  /** Limits a holder's share to its target, so that it also returns rate. */
  #recallTarget(holder: string, share: Share): Share {
    const target = this.#deps.targetOf(holder);
    return isEmptyShare(target) ? EMPTY_SHARE : minShare(share, target);
  }
}
