import type {BudgetLimits} from '../../src/admission/types.js';

/** Limits that take effect at a given time. */
export interface LimitsChange {
  readonly atMs: number;
  readonly limits: BudgetLimits;
}

const ROUNDING_TOLERANCE = 1e-3;

/**
 * Checks the conservation invariant: in any time window, at most
 * `rate * window + burst` statements are admitted. Returns by how many statements
 * the worst window exceeds that bound; 0 if the invariant holds. A lower limit
 * may take `lagMs` to reach every node.
 */
export function worstExcess(
  timesMs: readonly number[],
  changes: readonly LimitsChange[],
  lagMs: number,
): number {
  const first = largestLimitsBetween(changes, 0, 0);
  let level = first.burst;
  let limits = first;
  let atMs = 0;
  let worst = 0;
  const events = [...changes, ...changes.map(c => ({atMs: c.atMs + lagMs}))]
    .map(change => ({atMs: change.atMs, spend: 0}))
    .concat(timesMs.map(timeMs => ({atMs: timeMs, spend: 1})))
    .sort((a, b) => a.atMs - b.atMs || a.spend - b.spend);
  for (const moment of events) {
    const refill = (limits.rate * (moment.atMs - atMs)) / 1_000;
    level = Math.min(limits.burst, level + refill) - moment.spend;
    atMs = moment.atMs;
    worst = Math.max(worst, -level);
    const next = largestLimitsBetween(changes, atMs - lagMs, atMs);
    // A window that spans an increase of the limits has the larger burst.
    if (next.burst > limits.burst) level = next.burst;
    limits = next;
  }
  if (Number.isNaN(worst)) throw new Error('the times include NaN');
  return worst > ROUNDING_TOLERANCE ? worst : 0;
}

/** Returns the largest limits in effect between two times. */
function largestLimitsBetween(
  changes: readonly LimitsChange[],
  fromMs: number,
  toMs: number,
): BudgetLimits {
  let rate = 0;
  let burst = 0;
  changes.forEach((change, index) => {
    const endMs = changes[index + 1]?.atMs ?? Infinity;
    if (change.atMs > toMs || endMs <= fromMs) return;
    rate = Math.max(rate, change.limits.rate);
    burst = Math.max(burst, change.limits.burst);
  });
  return {rate, burst};
}
