/** Arithmetic of shares: whole units, so that sums are exact. */

import type {BudgetLimits, Share} from './types.js';
import type {BucketSize} from './token-bucket.js';

/** The units of a whole budget; a multiple of every number up to 16. */
export const WHOLE_UNITS = 720_720_000_000;

/** All of a budget. */
export const WHOLE: Share = {rate: WHOLE_UNITS, burst: WHOLE_UNITS};

/** Nothing of a budget. */
export const NO_SHARE: Share = {rate: 0, burst: 0};

/** The sum of two shares. */
export function addShares(a: Share, b: Share): Share {
  return {rate: a.rate + b.rate, burst: a.burst + b.burst};
}

/** What is left of `a` without `b`. */
export function subtractShares(a: Share, b: Share): Share {
  return {rate: a.rate - b.rate, burst: a.burst - b.burst};
}

/** The smaller of two shares, for rate and burst each. */
export function minShare(a: Share, b: Share): Share {
  return {rate: Math.min(a.rate, b.rate), burst: Math.min(a.burst, b.burst)};
}

/** The larger of two shares, for rate and burst each. */
export function maxShare(a: Share, b: Share): Share {
  return {rate: Math.max(a.rate, b.rate), burst: Math.max(a.burst, b.burst)};
}

/** Whether `a` has at least the rate and the burst of `b`. */
export function includesShare(a: Share, b: Share): boolean {
  return a.rate >= b.rate && a.burst >= b.burst;
}

/** Whether a share is empty. */
export function isNoShare(share: Share): boolean {
  return share.rate === 0 && share.burst === 0;
}

/** The tokens that a share of `units` of the burst can hold. */
export function tokensIn(units: number, limits: BudgetLimits): number {
  return (units * limits.burst) / WHOLE_UNITS;
}

/** The least units of the burst that can hold `tokens`. */
export function unitsFor(tokens: number, limits: BudgetLimits): number {
  if (limits.burst <= 0) return 0;
  return Math.min(
    WHOLE_UNITS,
    Math.ceil((tokens * WHOLE_UNITS) / limits.burst),
  );
}

/**
 * The bucket of a share.
 *
 * The rate is lowered by the clocks' possible error: a clock that runs fast
 * must not admit more than the rate in true time.
 */
export function bucketSizeOf(
  share: Share,
  limits: BudgetLimits,
  clockErrorRatio: number,
): BucketSize {
  const rate = (share.rate * limits.rate) / WHOLE_UNITS;
  return {
    rate: rate / (1 + clockErrorRatio),
    burst: tokensIn(share.burst, limits),
  };
}
