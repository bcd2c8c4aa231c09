/** The demand and tokens that holders last reported to the owner. */

import type {Clock} from '../infra/clock.js';
import {tokensIn, WHOLE_UNITS} from './share.js';
import type {BudgetLimits, Share, SyncMessage} from './types.js';

/** A holder that has not reported for this long counts as idle. */
const DEMAND_TTL_MS = 10_000;

interface HolderReport {
  readonly demand: number;
  readonly tokens: number;
  readonly isStandby: boolean;
  readonly atMs: number;
}

/** Keeps the part of each holder's last report that allocation depends on. */
export class DemandTable {
  readonly #clock: Clock;
  readonly #reports = new Map<string, HolderReport>();
  #total = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Statements a second that callers send to all holders together. */
  get total(): number {
    return this.#total;
  }

  record(sync: SyncMessage): void {
    this.remove(sync.holder);
    const {demand, tokens, isStandby} = sync;
    const atMs = this.#clock.now();
    this.#reports.set(sync.holder, {demand, tokens, isStandby, atMs});
    this.#total += demand;
  }

  remove(holder: string): void {
    this.#total -= this.demandOf(holder);
    this.#reports.delete(holder);
    if (this.#reports.size === 0) this.#total = 0;
  }

  removeExpired(): void {
    const beforeMs = this.#clock.now() - DEMAND_TTL_MS;
    for (const [holder, heard] of this.#reports) {
      if (heard.atMs < beforeMs) this.remove(holder);
    }
  }

  demandOf(holder: string): number {
    return this.#reports.get(holder)?.demand ?? 0;
  }

  /** True if a holder last reported itself as a standby. */
  isStandby(holder: string): boolean {
    return this.#reports.get(holder)?.isStandby ?? false;
  }

  lastReportAtMs(holder: string): number {
    return this.#reports.get(holder)?.atMs ?? -Infinity;
  }

  /** Estimates the tokens that a holder has now, from its last report. */
  estimateTokens(holder: string, share: Share, limits: BudgetLimits): number {
    const capacity = tokensIn(share.burst, limits);
    const heard = this.#reports.get(holder);
    if (heard === undefined) return capacity;
    const elapsedS = (this.#clock.now() - heard.atMs) / 1_000;
    const rate = (share.rate * limits.rate) / WHOLE_UNITS;
    const tokens = heard.tokens + (rate - heard.demand) * elapsedS;
    return Math.max(0, Math.min(capacity, tokens));
  }
}
