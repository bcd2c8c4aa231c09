/** The burn report as one self-contained HTML page. */
import {
  createBurnColumns,
  describeOverBudgetRows,
  describeVmCoverage,
} from './burn-format.js';
import type {BurnReport, TeamPlot} from './burn-report.js';
import {escapeHtml} from './escape-html.js';
import {drawLinePlot} from './line-plot.js';

const STYLE = `
body { font: 14px/1.45 system-ui, sans-serif; margin: 2rem; color: #1d2530; }
table { border-collapse: collapse; }
th, td { padding: 0.25rem 0.6rem; border-bottom: 1px solid #d5dae1; text-align: left; white-space: nowrap; }
.number { text-align: right; font-variant-numeric: tabular-nums; }
.scroll { overflow-x: auto; }
.plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(22rem, 1fr)); gap: 1rem; }
.warning { color: #8a2c0d; }
figure { margin: 0; }
svg { width: 100%; height: auto; }
svg text { font-size: 11px; fill: #566070; }
svg path { fill: none; stroke-width: 2; stroke-linecap: round; }
.axis { stroke: #9aa3b0; stroke-width: 1; }
.limit { stroke: #8a2c0d; stroke-width: 1; stroke-dasharray: 4 3; }
.first { stroke: #1f5fa8; }
.second { stroke: #c0781a; }
dt { font-weight: 600; }
dd { margin: 0 0 0.4rem; }
`;

/**
 * Formats the report as a page without scripts or external resources.
 *
 * @example
 * await writeFile('burn.html', formatBurnHtml(report));
 */
export function formatBurnHtml(report: BurnReport): string {
  const {objective, collectedAt, unanswered} = report;
  const at = new Date(collectedAt).toISOString();
  const coverageClass = unanswered.length > 0 ? ' class="warning"' : '';
  return [
    '<!doctype html>',
    '<html lang="en">',
    '<head>',
    '<meta charset="utf-8">',
    '<meta name="viewport" content="width=device-width, initial-scale=1">',
    `<title>Service-level burn at ${escapeHtml(at)}</title>`,
    `<style>${STYLE}</style>`,
    '</head>',
    '<body>',
    '<h1>Service-level burn</h1>',
    `<p>At ${escapeHtml(at)}. Objective: ${objective.availabilityPercent}% available, ${objective.latencyMs} ms.</p>`,
    `<p${coverageClass}>${escapeHtml(describeVmCoverage(report))}</p>`,
    ...formatOverBudget(report),
    ...formatTable(report),
    ...report.plots.flatMap(plot => formatPlots(report, plot)),
    ...formatColumnMeanings(report),
    '</body>',
    '</html>',
    '',
  ].join('\n');
}

function formatOverBudget(report: BurnReport): readonly string[] {
  const overBudget = describeOverBudgetRows(report);
  if (overBudget.length === 0) return ['<p>No row is over budget.</p>'];
  const items = overBudget.map(line => `<li>${escapeHtml(line)}</li>`);
  return ['<h2>Over budget</h2>', '<ul class="warning">', ...items, '</ul>'];
}

function formatTable(report: BurnReport): readonly string[] {
  if (report.rows.length === 0) return ['<p>No statements.</p>'];
  const columns = createBurnColumns(report);
  const renderCell = (tag: string, isNumber: boolean, text: string) =>
    `<${tag}${isNumber ? ' class="number"' : ''}>${escapeHtml(text)}</${tag}>`;
  const headings = columns.map(c => renderCell('th', c.isNumber, c.heading));
  const rows = report.rows.map(row => {
    const cells = columns.map(c => renderCell('td', c.isNumber, c.format(row)));
    return `<tr>${cells.join('')}</tr>`;
  });
  return [
    '<h2>Teams and routes</h2>',
    '<div class="scroll">',
    '<table>',
    `<thead><tr>${headings.join('')}</tr></thead>`,
    '<tbody>',
    ...rows,
    '</tbody>',
    '</table>',
    '</div>',
  ];
}

function formatPlots(
  {objective, collectedAt}: BurnReport,
  {team, points}: TeamPlot,
): readonly string[] {
  const from = formatTimeOfDay(points[0]?.startedAt ?? collectedAt);
  const to = `${formatTimeOfDay(collectedAt)} UTC`;
  const burn = drawLinePlot({
    title: `burn rate of ${team}`,
    lines: [
      {label: 'burn rate', style: 'first', values: points.map(p => p.burn)},
    ],
    limit: 1,
    limitLabel: 'allowed',
    from,
    to,
  });
  const latency = drawLinePlot({
    title: `latency of ${team}`,
    lines: [
      {label: 'p50', style: 'first', values: points.map(p => p.p50Ms)},
      {label: 'p99', style: 'second', values: points.map(p => p.p99Ms)},
    ],
    limit: objective.latencyMs,
    limitLabel: 'objective',
    from,
    to,
  });
  return [
    `<h2>${escapeHtml(team)}</h2>`,
    '<div class="plots">',
    `<figure><figcaption>Burn rate</figcaption>${burn}</figure>`,
    `<figure><figcaption>Latency in ms: p50 blue, p99 orange</figcaption>${latency}</figure>`,
    '</div>',
  ];
}

function formatColumnMeanings(report: BurnReport): readonly string[] {
  const items = createBurnColumns(report).map(
    ({heading, meaning}) =>
      `<dt>${escapeHtml(heading)}</dt><dd>${escapeHtml(meaning)}</dd>`,
  );
  return ['<h2>What the figures mean</h2>', '<dl>', ...items, '</dl>'];
}

function formatTimeOfDay(at: number): string {
  return new Date(at).toISOString().slice(11, 16);
}
