/** The policy by which an owner allocates a budget to nodes, by their demand. */

import {
  isEmptyShare,
  EMPTY_SHARE,
  tokensIn,
  unitsFor,
  WHOLE_UNITS,
} from './share.js';
import type {BudgetLimits, Share, SyncMessage} from './types.js';

/** The part of the rate that the owner reserves for token requests. */
const RESERVED_RATE_RATIO = 0.05;

/** The part of the burst that the owner reserves for token requests. */
const RESERVED_BURST_RATIO = 0.25;

/** Maximum number of standbys: nodes that keep a reserve besides the owner. */
export const MAX_STANDBYS = 6;

/** Minimum burst of a standby reserve, in tokens; a smaller one is useless. */
const MIN_STANDBY_TOKENS = 4;

/** Minimum burst of a share, in tokens; a smaller one is useless. */
const MIN_SHARE_TOKENS = 2;

/**
 * A team is overloaded if its demand exceeds this multiple of its rate. The
 * owner then reserves no rate, as all of it is needed now.
 */
const OVERLOAD_RATIO = 1.3;

/** Pause between token requests, and between recalls, under overload. */
export const OVERLOAD_PAUSE_MS = 1_000;

/** A token request is granted tokens for this much future demand. */
const PREFETCH_S = 0.25;

/** Maximum part of the owner's tokens granted for future demand. */
const MAX_PREFETCH_RATIO = 0.25;

/** True if the demand clearly exceeds the rate. */
export function isOverloaded(
  totalDemand: number,
  limits: BudgetLimits,
): boolean {
  return totalDemand > OVERLOAD_RATIO * limits.rate;
}

/** Returns the share that a node should have for its part of the demand. */
export function targetShare(
  demand: number,
  totalDemand: number,
  limits: BudgetLimits,
): Share {
  if (demand <= 0 || totalDemand <= 0) return EMPTY_SHARE;
  const ratio = Math.min(1, demand / totalDemand) * WHOLE_UNITS;
  const reservedRate = reservedRateRatio(totalDemand, limits);
  const burst = Math.floor(ratio * (1 - RESERVED_BURST_RATIO));
  // Too small to be useful: the node requests a token for each statement.
  if (tokensIn(burst, limits) < MIN_SHARE_TOKENS) return EMPTY_SHARE;
  return {rate: Math.floor(ratio * (1 - reservedRate)), burst};
}

/** Returns the part of the pool that the owner keeps when it raises shares. */
export function ownerReserve(
  ownDemand: number,
  totalDemand: number,
  limits: BudgetLimits,
): Share {
  const ratio = totalDemand > 0 ? Math.min(1, ownDemand / totalDemand) : 0;
  const unitsToKeep = (reserved: number) =>
    Math.ceil((reserved + ratio * (1 - reserved)) * WHOLE_UNITS);
  return {
    rate: unitsToKeep(reservedRateRatio(totalDemand, limits)),
    burst: unitsToKeep(RESERVED_BURST_RATIO),
  };
}

/** Returns the number of standbys that a budget's burst allows. */
export function standbyCount(limits: BudgetLimits): number {
  const parts = Math.floor(limits.burst / MIN_STANDBY_TOKENS);
  return Math.max(0, Math.min(MAX_STANDBYS, parts - 1));
}

/**
 * Returns the share that each standby keeps even without demand, so that most
 * of a budget stays usable when its owner fails. `total` is the share that the
 * owner and its standbys have together.
 */
export function standbyReserve(total: Share, standbys: number): Share {
  const part = (units: number) => Math.floor(units / (standbys + 1));
  return {rate: part(total.rate), burst: part(total.burst)};
}

/**
 * Returns how much of the increase from `held` to `wanted` the pool can cover
 * while it keeps `reserved`.
 */
export function affordableIncrease(
  held: Share,
  wanted: Share,
  pool: Share,
  reserved: Share,
): Share {
  const increase = (key: keyof Share) =>
    Math.max(0, Math.min(wanted[key] - held[key], pool[key] - reserved[key]));
  return {rate: increase('rate'), burst: increase('burst')};
}

/**
 * Returns the tokens to grant with a share: in proportion to the burst granted,
 * and more for a node with blocked statements.
 */
export function tokensToGrant(
  sync: SyncMessage,
  poolTokens: number,
  poolBurst: number,
  addedBurst: number,
  target: Share,
): number {
  const ratio = poolBurst > 0 ? addedBurst / poolBurst : 0;
  const proportional = poolTokens * ratio;
  if (sync.waiting === 0) return proportional;
  // Tokens prefetched to a node without a share would be kept from the others.
  const prefetch = isEmptyShare(target)
    ? 0
    : Math.min(sync.demand * PREFETCH_S, poolTokens * MAX_PREFETCH_RATIO);
  return Math.max(proportional, Math.min(poolTokens, sync.waiting + prefetch));
}

/**
 * Returns the units of burst that a node with blocked statements needs to store
 * `tokens` more, and in total at least one token.
 */
export function burstUnitsToGrant(
  tokens: number,
  held: Share,
  limits: BudgetLimits,
): number {
  const missingForOne = Math.max(0, unitsFor(1, limits) - held.burst);
  return Math.max(missingForOne, unitsFor(tokens, limits));
}

function reservedRateRatio(totalDemand: number, limits: BudgetLimits): number {
  return isOverloaded(totalDemand, limits) ? 0 : RESERVED_RATE_RATIO;
}
