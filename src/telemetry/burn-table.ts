/** The burn report as a plain-text table. */
import {
  createBurnColumns,
  describeOverBudgetRows,
  describeVmCoverage,
} from './burn-format.js';
import type {BurnReport} from './burn-report.js';

const COLUMN_GAP = '  ';

/**
 * Formats the report as an aligned table, followed by a legend of its columns.
 *
 * @example
 * console.log(formatBurnTable(report));
 */
export function formatBurnTable(report: BurnReport): string {
  const columns = createBurnColumns(report);
  const cells = [
    columns.map(({heading}) => heading),
    ...report.rows.map(row => columns.map(column => column.format(row))),
  ];
  const widths = columns.map((_, i) =>
    Math.max(...cells.map(line => line[i]?.length ?? 0)),
  );
  const lines = cells.map(line =>
    line
      .map((cell, i) => {
        const width = widths[i] ?? 0;
        return columns[i]?.isNumber ? cell.padStart(width) : cell.padEnd(width);
      })
      .join(COLUMN_GAP)
      .trimEnd(),
  );
  const overBudget = describeOverBudgetRows(report);
  return [
    `service level at ${new Date(report.collectedAt).toISOString()}, ${describeVmCoverage(report)}`,
    `objective: ${report.objective.availabilityPercent}% available, ${report.objective.latencyMs} ms`,
    '',
    ...lines,
    ...(report.rows.length === 0 ? ['no statements in these windows'] : []),
    '',
    ...(overBudget.length === 0 ? ['no row is over budget'] : overBudget),
    '',
    ...columns.map(({heading, meaning}) => `${heading}: ${meaning}`),
  ].join('\n');
}
