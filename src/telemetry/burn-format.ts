/** How the figures of the burn report are written. */
import type {BurnReport, BurnRow} from './burn-report.js';

const NO_FIGURE = '-';

/** One figure of the report: its heading, its value, and what it means. */
export interface BurnColumn {
  readonly heading: string;
  readonly meaning: string;
  readonly isNumber: boolean;
  format(row: BurnRow): string;
}

/**
 * The columns of a report, in order.
 *
 * @example
 * createBurnColumns(report).map(({heading}) => heading);
 */
export function createBurnColumns(report: BurnReport): readonly BurnColumn[] {
  const {objective, windows} = report;
  const longest = windows.at(-1)?.label ?? '';
  const {availabilityPercent, latencyMs} = objective;
  return [
    text('team', 'whose key came with the statements', row => row.team),
    text('group', 'the database group that they went to', row => row.group),
    text(
      'kind',
      'read, write, or transaction: from BEGIN to its end',
      row => row.kind,
    ),
    figure('statements', `all statements of the last ${longest}`, row =>
      String(row.statements),
    ),
    figure(
      'available',
      'done / (done + may have run + wrongful refusals)',
      row => formatPercent(row.availability),
    ),
    figure(
      'may have run',
      'statements whose outcome the caller was not told',
      row => String(row.mayHaveRun),
    ),
    figure('wrongful', "refusals for any reason but the team's rate", row =>
      String(row.wrongful),
    ),
    figure(
      'over rate',
      'refusals because the team was over its rate; they do not count as unavailable',
      row => String(row.overRate),
    ),
    figure(
      'p50 ms',
      'half of the statements that reached a target took no longer',
      row => formatMs(row.p50Ms),
    ),
    figure('p99 ms', '99 of 100 of them took no longer', row =>
      formatMs(row.p99Ms),
    ),
    figure('max ms', 'the slowest of them; latencies are exact to 1%', row =>
      formatMs(row.maxMs),
    ),
    figure(`<=${latencyMs} ms`, 'share within the latency objective', row =>
      formatPercent(row.withinLatency),
    ),
    ...windows.map(({label}, i) =>
      figure(
        `burn ${label}`,
        `error share of the last ${label} / ${formatAllowed(availabilityPercent)}% allowed; above 1 the budget runs out early`,
        row => formatRate(row.burn[i]?.rate ?? null),
      ),
    ),
  ];
}

/** Says which VMs the figures come from. */
export function describeVms({answered, unanswered}: BurnReport): string {
  const total = answered.length + unanswered.length;
  if (total === 0) return 'the platform lists no VM';
  const base = `from ${answered.length} of ${total} VMs`;
  if (unanswered.length === 0) return base;
  return `${base}; no answer, so missing here: ${unanswered.join(', ')}`;
}

/** Says for each row that is over budget what its worst rate means. */
export function describeOverBudget({
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

/** Writes a share as percent. */
export function formatPercent(share: number | null): string {
  return share === null ? NO_FIGURE : `${(share * 100).toFixed(3)}%`;
}

/** Writes a burn rate. */
export function formatRate(rate: number | null): string {
  return rate === null ? NO_FIGURE : rate.toFixed(2);
}

function formatMs(ms: number | null): string {
  return ms === null ? NO_FIGURE : ms.toFixed(1);
}

function formatAllowed(availabilityPercent: number): string {
  return String(Number((100 - availabilityPercent).toFixed(6)));
}

function text(
  heading: string,
  meaning: string,
  format: (row: BurnRow) => string,
): BurnColumn {
  return {heading, meaning, format, isNumber: false};
}

function figure(
  heading: string,
  meaning: string,
  format: (row: BurnRow) => string,
): BurnColumn {
  return {heading, meaning, format, isNumber: true};
}
