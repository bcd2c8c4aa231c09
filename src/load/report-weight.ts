/** How much a report still counts. */

/** A report counts in full for this long: one report may be lost meanwhile. */
export const FULL_WEIGHT_MS = 300;
/** From this age on it does not count. */
export const MAX_REPORT_AGE_MS = 1_000;

/**
 * Returns the weight of a report by its age, from 1 down to 0.
 *
 * @example
 * const counted = outstanding * weightAt(now - arrivedAt);
 */
export function weightAt(ageMs: number): number {
  const left = MAX_REPORT_AGE_MS - Math.max(ageMs, FULL_WEIGHT_MS);
  return Math.max(0, left / (MAX_REPORT_AGE_MS - FULL_WEIGHT_MS));
}
