/** Columns and text of the burn report, shared by its table and HTML output. */
import type {BurnReport, BurnRow} from './burn-report.js';

const NO_VALUE = '-';

/** A column of the report: its heading, its cell text and an explanation. */
export interface BurnColumn {
  readonly heading: string;
  readonly meaning: string;
  readonly isNumber: boolean;
  format(row: BurnRow): string;
}

/**
 * Returns the columns of a report in display order.
 *
 * @example
 * createBurnColumns(report).map(({heading}) => heading);
 */
export function createBurnColumns(report: BurnReport): readonly BurnColumn[] {
  const {objective, windows} = report;
  const longest = windows.at(-1)?.label ?? '';
  const {availabilityPercent, latencyMs} = objective;
  return [
    textColumn('team', 'whose key came with the statements', row => row.team),
    textColumn(
      'group',
      'the database group that they went to',
      row => row.group,
    ),
    textColumn(
      'kind',
      'read, write, or transaction: from BEGIN to its end',
      row => row.kind,
    ),
    numberColumn('statements', `all statements of the last ${longest}`, row =>
      String(row.statements),
    ),
    numberColumn(
      'available',
      'done / (done + may have run + wrongful refusals)',
      row => formatPercent(row.availability),
    ),
    numberColumn(
      'may have run',
      'statements whose outcome the caller was not told',
      row => String(row.mayHaveRun),
    ),
    numberColumn(
      'wrongful',
      "refusals for any reason but the team's rate",
      row => String(row.wrongful),
    ),
    numberColumn(
      'over rate',
      'refusals because the team was over its rate; they do not count as unavailable',
      row => String(row.overRate),
    ),
    numberColumn(
      'p50 ms',
      'half of the statements that reached a target took no longer',
      row => formatMs(row.p50Ms),
    ),
    numberColumn('p99 ms', '99 of 100 of them took no longer', row =>
      formatMs(row.p99Ms),
    ),
    numberColumn(
      'max ms',
      'the slowest of them; latencies are exact to 1%',
      row => formatMs(row.maxMs),
    ),
    numberColumn(
      `<=${latencyMs} ms`,
      'share within the latency objective',
      row => formatPercent(row.withinLatency),
    ),
    ...windows.map(({label}, i) =>
      numberColumn(
        `burn ${label}`,
        `error share of the last ${label} / ${formatErrorAllowance(availabilityPercent)}% allowed; above 1 the budget runs out early`,
        row => formatRate(row.burn[i]?.rate ?? null),
      ),
    ),
  ];
}

/** Describes how many of the VMs the figures cover, and which are missing. */
export function describeVmCoverage({answered, unanswered}: BurnReport): string {
  const total = answered.length + unanswered.length;
  if (total === 0) return 'the platform lists no VM';
  const base = `from ${answered.length} of ${total} VMs`;
  if (unanswered.length === 0) return base;
  return `${base}; no answer, so missing here: ${unanswered.join(', ')}`;
}

/** Describes each row and window whose burn rate exceeds 1. */
export function describeOverBudgetRows({
  rows,
  windows,
}: BurnReport): readonly string[] {
  const longest = windows.at(-1)?.label ?? '';
  return rows.flatMap(({team, group, kind, burn, refused}) =>
    burn
      .filter(({rate}) => (rate ?? 0) > 1)
      .map(({window, rate, meaning}) => {
        const reasons = Object.entries(refused)
          .filter(([reason]) => reason !== 'rateLimited')
          .map(([reason, count]) => `${reason} ${count}`)
          .join(', ');
        const why =
          reasons === ''
            ? ''
            : ` (refusals of the last ${longest}: ${reasons})`;
        return `${team} ${group} ${kind}, ${window}: burn ${formatRate(rate)}, ${meaning}${why}`;
      }),
  );
}

/** Formats a fraction as a percentage. */
export function formatPercent(share: number | null): string {
  return share === null ? NO_VALUE : `${(share * 100).toFixed(3)}%`;
}

/** Formats a burn rate with two decimals. */
export function formatRate(rate: number | null): string {
  return rate === null ? NO_VALUE : rate.toFixed(2);
}

function formatMs(ms: number | null): string {
  return ms === null ? NO_VALUE : ms.toFixed(1);
}

function formatErrorAllowance(availabilityPercent: number): string {
  return String(Number((100 - availabilityPercent).toFixed(6)));
}

function textColumn(
  heading: string,
  meaning: string,
  format: (row: BurnRow) => string,
): BurnColumn {
  return {heading, meaning, format, isNumber: false};
}

function numberColumn(
  heading: string,
  meaning: string,
  format: (row: BurnRow) => string,
): BurnColumn {
  return {heading, meaning, format, isNumber: true};
}
