/** Arithmetic of shares, in integer units so that sums are exact. */

import type {BudgetLimits, Share} from './types.js';
import type {BucketSize} from './token-bucket.js';

/** The units of a whole budget; divisible by every number up to 16. */
export const WHOLE_UNITS = 720_720_000_000;

/** The share that is the whole budget. */
export const WHOLE_SHARE: Share = {rate: WHOLE_UNITS, burst: WHOLE_UNITS};

/** The share without any rate or burst. */
export const EMPTY_SHARE: Share = {rate: 0, burst: 0};

/** Adds two shares. */
export function addShares(a: Share, b: Share): Share {
  return {rate: a.rate + b.rate, burst: a.burst + b.burst};
}

/** Subtracts share `b` from share `a`. */
export function subtractShares(a: Share, b: Share): Share {
  return {rate: a.rate - b.rate, burst: a.burst - b.burst};
}

/** Returns the minimum of two shares, for rate and burst separately. */
export function minShare(a: Share, b: Share): Share {
  return {rate: Math.min(a.rate, b.rate), burst: Math.min(a.burst, b.burst)};
}

/** Returns the maximum of two shares, for rate and burst separately. */
export function maxShare(a: Share, b: Share): Share {
  return {rate: Math.max(a.rate, b.rate), burst: Math.max(a.burst, b.burst)};
}

/** True if `a` has at least the rate and the burst of `b`. */
export function includesShare(a: Share, b: Share): boolean {
  return a.rate >= b.rate && a.burst >= b.burst;
}

/** True if a share has neither rate nor burst. */
export function isEmptyShare(share: Share): boolean {
  return share.rate === 0 && share.burst === 0;
}

/** Returns how many tokens `units` of burst can hold. */
export function tokensIn(units: number, limits: BudgetLimits): number {
  return (units * limits.burst) / WHOLE_UNITS;
}

/** Returns the minimum units of burst that can hold `tokens`. */
export function unitsFor(tokens: number, limits: BudgetLimits): number {
  if (limits.burst <= 0) return 0;
  return Math.min(
    WHOLE_UNITS,
    Math.ceil((tokens * WHOLE_UNITS) / limits.burst),
  );
}

/**
 * Returns the size of a share's token bucket.
 *
 * The rate is lowered by the maximum clock error, so that a node whose clock
 * runs fast does not admit more than the rate in real time.
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
