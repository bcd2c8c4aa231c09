/** Service-level objectives, and how fast errors spend their budget. */

/** The period that an error budget is stated for. */
const BUDGET_PERIOD_DAYS = 30;
const HOURS_A_DAY = 24;
const MINUTES_AN_HOUR = 60;

/** What the service promises. */
export interface ServiceObjective {
  /** Share of statements that must succeed, in percent, below 100. */
  readonly availabilityPercent: number;
  /** Latency that a statement should stay within. */
  readonly latencyMs: number;
}

/** Counts of finished statements. */
export interface StatementCounts {
  readonly done: number;
  readonly mayHaveRun: number;
  /** Refusals because the team itself was over its rate. */
  readonly overRate: number;
  /** Refusals for any other reason. */
  readonly wrongful: number;
}

/** Statements that count for availability: all but those over the rate. */
export function eligibleStatements(counts: StatementCounts): number {
  return counts.done + counts.mayHaveRun + counts.wrongful;
}

/**
 * The share of eligible statements that succeeded; null if there were none.
 *
 * @example
 * availabilityOf({done: 999, mayHaveRun: 1, overRate: 50, wrongful: 0}) === 0.999;
 */
export function availabilityOf(counts: StatementCounts): number | null {
  const eligible = eligibleStatements(counts);
  return eligible === 0 ? null : counts.done / eligible;
}

/**
 * The share of errors over the share that the objective allows; null if there
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
  const eligible = eligibleStatements(counts);
  if (eligible === 0) return null;
  const errorPercent = (100 * (counts.mayHaveRun + counts.wrongful)) / eligible;
  const allowedPercent = 100 - objective.availabilityPercent;
  return roundTo(errorPercent / allowedPercent, 6);
}

/**
 * Says in words what a burn rate means.
 *
 * @example
 * describeBurn(2) === 'over budget: a 30-day budget lasts 15.0 days at this rate';
 */
export function describeBurn(rate: number | null): string {
  if (rate === null) return 'no statements that count';
  if (rate === 0) return 'no errors';
  if (rate <= 1) return 'within budget';
  const period = `a ${BUDGET_PERIOD_DAYS}-day budget`;
  return `over budget: ${period} lasts ${formatLifetime(rate)} at this rate`;
}

function formatLifetime(rate: number): string {
  const days = BUDGET_PERIOD_DAYS / rate;
  if (days >= 1) return `${days.toFixed(1)} days`;
  const hours = days * HOURS_A_DAY;
  if (hours >= 1) return `${hours.toFixed(1)} hours`;
  return `${(hours * MINUTES_AN_HOUR).toFixed(1)} minutes`;
}

function roundTo(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
