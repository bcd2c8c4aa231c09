/** How an owner divides a budget between the nodes that need it. */

import {NO_SHARE, tokensIn, WHOLE_UNITS} from './share.js';
import type {BudgetLimits, Share} from './types.js';

/** The part of the rate that the owner keeps for nodes that ask. */
const RESERVED_RATE_RATIO = 0.05;

/** The part of the burst that the owner keeps for nodes that ask. */
const RESERVED_BURST_RATIO = 0.25;

/** A share whose burst holds fewer tokens than this is of no use. */
const MIN_SHARE_TOKENS = 2;

/** Demand over this part of the rate leaves nothing to keep for later. */
const OVERLOAD_RATIO = 1.3;

/** Whether callers offer clearly more than the rate. */
export function isOverloaded(
  totalDemand: number,
  limits: BudgetLimits,
): boolean {
  return totalDemand > OVERLOAD_RATIO * limits.rate;
}

/** The share that a node should have, given its part of all demand. */
export function targetShare(
  demand: number,
  totalDemand: number,
  limits: BudgetLimits,
): Share {
  if (demand <= 0 || totalDemand <= 0) return NO_SHARE;
  const ratio = Math.min(1, demand / totalDemand) * WHOLE_UNITS;
  const reservedRate = reservedRateRatio(totalDemand, limits);
  const burst = Math.floor(ratio * (1 - RESERVED_BURST_RATIO));
  // Such a node is served by asking for each statement.
  if (tokensIn(burst, limits) < MIN_SHARE_TOKENS) return NO_SHARE;
  return {rate: Math.floor(ratio * (1 - reservedRate)), burst};
}

/** The share that the owner keeps when it raises the shares of others. */
export function ownerShare(
  ownDemand: number,
  totalDemand: number,
  limits: BudgetLimits,
): Share {
  const ratio = totalDemand > 0 ? Math.min(1, ownDemand / totalDemand) : 0;
  const kept = (reserved: number) =>
    Math.ceil((reserved + ratio * (1 - reserved)) * WHOLE_UNITS);
  return {
    rate: kept(reservedRateRatio(totalDemand, limits)),
    burst: kept(RESERVED_BURST_RATIO),
  };
}

/** The part of `wanted` that fits into `pool` without what is kept of it. */
export function affordableRise(
  held: Share,
  wanted: Share,
  pool: Share,
  kept: Share,
): Share {
  const rise = (key: keyof Share) =>
    Math.max(0, Math.min(wanted[key] - held[key], pool[key] - kept[key]));
  return {rate: rise('rate'), burst: rise('burst')};
}

function reservedRateRatio(totalDemand: number, limits: BudgetLimits): number {
  return isOverloaded(totalDemand, limits) ? 0 : RESERVED_RATE_RATIO;
}
