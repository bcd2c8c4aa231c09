/** Service-level objectives, availability and error-budget burn rates. */

/** Period of the error budget. */
const BUDGET_PERIOD_DAYS = 30;
const HOURS_PER_DAY = 24;
const MINUTES_PER_HOUR = 60;

/** A service-level objective. */
export interface ServiceObjective {
  /** Percentage of statements that must succeed; below 100. */
  readonly availabilityPercent: number;
  /** Target latency of a statement. */
  readonly latencyMs: number;
}

/** Counts of finished statements. */
export interface StatementCounts {
  readonly done: number;
  readonly mayHaveRun: number;
  /** Refusals because the team exceeded its rate. */
  readonly overRate: number;
  /** Refusals for any other reason. */
  readonly wrongful: number;
}

/** Counts the statements that availability is based on: all within the rate. */
export function countEligibleStatements(counts: StatementCounts): number {
  return counts.done + counts.mayHaveRun + counts.wrongful;
}

/**
 * Fraction of eligible statements that succeeded; null if there were none.
 *
 * @example
 * availabilityOf({done: 999, mayHaveRun: 1, overRate: 50, wrongful: 0}) === 0.999;
 */
export function availabilityOf(counts: StatementCounts): number | null {
  const eligible = countEligibleStatements(counts);
  return eligible === 0 ? null : counts.done / eligible;
}

/**
 * Error rate divided by the error rate that the objective allows; null if there
 * were no eligible statements. At 1 the budget lasts exactly its period.
 *
 * @example
 * burnRateOf({done: 998, mayHaveRun: 2, overRate: 0, wrongful: 0}, objective);
 * // 2 for an objective of 99.9 percent
 */
export function burnRateOf(
  counts: StatementCounts,
  objective: ServiceObjective,
): number | null {
  const eligible = countEligibleStatements(counts);
  if (eligible === 0) return null;
  const errorPercent = (100 * (counts.mayHaveRun + counts.wrongful)) / eligible;
  const allowedPercent = 100 - objective.availabilityPercent;
  return roundTo(errorPercent / allowedPercent, 6);
}

/**
 * Describes a burn rate in words.
 *
 * @example
 * describeBurnRate(2) === 'over budget: a 30-day budget lasts 15.0 days at this rate';
 */
export function describeBurnRate(rate: number | null): string {
  if (rate === null) return 'no statements that count';
  if (rate === 0) return 'no errors';
  if (rate <= 1) return 'within budget';
  const period = `a ${BUDGET_PERIOD_DAYS}-day budget`;
  return `over budget: ${period} lasts ${formatLifetime(rate)} at this rate`;
}

function formatLifetime(rate: number): string {
  const days = BUDGET_PERIOD_DAYS / rate;
  if (days >= 1) return `${days.toFixed(1)} days`;
  const hours = days * HOURS_PER_DAY;
  if (hours >= 1) return `${hours.toFixed(1)} hours`;
  return `${(hours * MINUTES_PER_HOUR).toFixed(1)} minutes`;
}

function roundTo(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
