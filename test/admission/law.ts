import type {BudgetLimits} from '../../src/admission/types.js';

/** Limits that came into force at a moment. */
export interface LimitsChange {
  readonly atMs: number;
  readonly limits: BudgetLimits;
}

const ROUNDING_TOLERANCE = 1e-3;

/**
 * By how many statements the admissions exceed the law in the worst window;
 * 0 if they keep it. A lower limit may take `lagMs` to reach every node.
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
  const moments = [...changes, ...changes.map(c => ({atMs: c.atMs + lagMs}))]
    .map(change => ({atMs: change.atMs, spend: 0}))
    .concat(timesMs.map(timeMs => ({atMs: timeMs, spend: 1})))
    .sort((a, b) => a.atMs - b.atMs || a.spend - b.spend);
  for (const moment of moments) {
    const refill = (limits.rate * (moment.atMs - atMs)) / 1_000;
    level = Math.min(limits.burst, level + refill) - moment.spend;
    atMs = moment.atMs;
    worst = Math.max(worst, -level);
    const next = largestLimitsBetween(changes, atMs - lagMs, atMs);
    // A window that spans a rise counts with the larger burst.
    if (next.burst > limits.burst) level = next.burst;
    limits = next;
  }
  if (Number.isNaN(worst)) throw new Error('a moment is not a number');
  return worst > ROUNDING_TOLERANCE ? worst : 0;
}

/** The largest limits in force between two moments. */
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
