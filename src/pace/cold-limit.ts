/**
 * The limit on the requests that a cold database gets from all nodes.
 *
 * Load pattern: a database has just started and is slow until its caches have
 * filled. All of its senders have work for it, and the platform bounds the
 * requests that it may get in any second.
 */
import type {QuotaDecision, RateLimits} from '../quota/types.js';
import {BURST_REFILL_RATIO} from '../quota/window-budget.js';

/** Length of the window to which the bound applies. */
export const COLD_WINDOW_MS = 1_000;
/** A granted request is sent within this time or not at all. */
export const COLD_GRANT_VALID_MS = 150;
/** Time from a request's admission until it reaches the database. */
const DELIVERY_MS = 200;
/** Time in which the requests of one window may have been granted. */
export const COLD_HORIZON_MS =
  COLD_WINDOW_MS + COLD_GRANT_VALID_MS + DELIVERY_MS;
/** Least burst: a statement and the start of its transaction. */
const MIN_BURST = 2;
/** Burst as a part of the rate, where the bound leaves room for it. */
const BURST_RATIO = 0.1;

/** How much a cold database may get beyond its rate, as the operators state. */
export interface ColdTolerance {
  /** Multiple of the rate that a window may reach. */
  readonly overage: number;
  /** Requests by which a window may exceed that. */
  readonly slack: number;
}

/** Bounds the requests that this node sends to cold databases. */
export interface ColdLimit {
  /**
   * Whether a database is cold, as far as this node knows.
   *
   * @param returnedAt when it accepted a connection again after it had refused
   *   one; from then it may be a new process that has not announced itself
   */
  isCold(id: string, returnedAt: number): boolean;
  /** Milliseconds for which a database certainly gets nothing more. */
  refusedForMs(id: string): number;
  /** Milliseconds after which the next refused caller should retry. */
  nextRetryMs(id: string): number;
  /** Admits requests to a cold database, or none. */
  admit(id: string, requests: number): Promise<QuotaDecision>;
}

/**
 * Returns the limits of the budget whose grants keep every window at a database
 * within `rate * overage + slack`, although the grants of `COLD_HORIZON_MS` may
 * arrive in one window.
 *
 * @example
 * coldBudgetLimits(40, {overage: 1.5, slack: 5}); // {rate: 40, burst: 4}
 */
export function coldBudgetLimits(
  rate: number,
  {overage, slack}: ColdTolerance,
): RateLimits {
  const horizon = COLD_HORIZON_MS / 1_000;
  const bursts = 1 + BURST_REFILL_RATIO * horizon;
  const wantedBurst = Math.max(MIN_BURST, rate * BURST_RATIO);
  const roomForBurst = (rate * (overage - horizon) + slack) / bursts;
  const burst = Math.max(1, Math.min(wantedBurst, roomForBurst));
  const most = (rate * overage + slack - burst * bursts) / horizon;
  return {rate: Math.max(0, Math.min(rate, most)), burst};
}
