/** Burn report: service levels and error-budget burn per team, group and kind. */
import {SLICE_MS, type SeriesKey} from './statement-metrics.js';
import {
  decodeSlice,
  SeriesTotals,
  type DecodedSlice,
  type LatencySummary,
  type ReportedSlice,
} from './series-totals.js';
import {
  availabilityOf,
  burnRateOf,
  describeBurnRate,
  type ServiceObjective,
  type StatementCounts,
} from './service-level.js';

const MAX_PLOT_POINTS = 60;

/** A time window that ends now. */
export interface BurnWindow {
  /** As the operator wrote it, such as `5m`. */
  readonly label: string;
  readonly ms: number;
}

/** Statement counts of one VM; `slices` is undefined if it did not answer. */
export interface VmStatements {
  readonly vm: string;
  readonly slices: readonly ReportedSlice[] | undefined;
}

/** Input of {@link collectBurnReport}. */
export interface BurnReportInput {
  readonly vms: readonly VmStatements[];
  /** Milliseconds since the Unix epoch. */
  readonly now: number;
  readonly windows: readonly BurnWindow[];
  readonly objective: ServiceObjective;
}

/** Rate at which errors consume the error budget in one window. */
export interface WindowBurn {
  readonly window: string;
  readonly rate: number | null;
  readonly meaning: string;
}

/**
 * Service level of one team's statements of one kind in one group, over the
 * longest window.
 */
export interface BurnRow extends SeriesKey, StatementCounts, LatencySummary {
  /** All statements, including those refused by the team's rate limit. */
  readonly statements: number;
  readonly atReplicas: number;
  readonly refused: Readonly<Record<string, number>>;
  readonly availability: number | null;
  readonly withinLatency: number | null;
  readonly burn: readonly WindowBurn[];
}

/** A team's service level in one time step; null without statements. */
export interface PlotPoint {
  readonly startedAt: number;
  readonly burn: number | null;
  readonly p50Ms: number | null;
  readonly p99Ms: number | null;
}

/** A team's service level over time. */
export interface TeamPlot {
  readonly team: string;
  readonly points: readonly PlotPoint[];
}

/** The report as plain data; also its JSON output. */
export interface BurnReport {
  readonly collectedAt: number;
  readonly objective: ServiceObjective;
  readonly windows: readonly BurnWindow[];
  readonly answered: readonly string[];
  /** VMs that did not answer; no figure includes their statements. */
  readonly unanswered: readonly string[];
  readonly rows: readonly BurnRow[];
  readonly plots: readonly TeamPlot[];
}

/**
 * Merges the statement counts of all VMs and computes the service levels.
 *
 * @example
 * const report = collectBurnReport({
 *   vms: [{vm: 'vm1', slices}, {vm: 'vm2', slices: undefined}],
 *   now: Date.now(),
 *   windows: [{label: '5m', ms: 300_000}],
 *   objective: {availabilityPercent: 99.9, latencyMs: 250},
 * });
 */
export function collectBurnReport(input: BurnReportInput): BurnReport {
  const {now, objective} = input;
  const windows = input.windows.toSorted((a, b) => a.ms - b.ms);
  const answers = input.vms.map(({vm, slices}) => ({
    vm,
    slices: slices && tryDecodeSlices(slices),
  }));
  const startedAt = alignedWindowStart(now, windows.at(-1)?.ms ?? 0);
  const slices = answers
    .flatMap(answer => answer.slices ?? [])
    .filter(slice => slice.startedAt >= startedAt);
  return {
    collectedAt: now,
    objective,
    windows,
    answered: sortedVmIds(
      answers.filter(answer => answer.slices !== undefined),
    ),
    unanswered: sortedVmIds(
      answers.filter(answer => answer.slices === undefined),
    ),
    rows: groupBy(slices, formatSeriesKey).map(([, series]) =>
      createRow(series, {now, objective, windows}),
    ),
    plots: groupBy(slices, ({team}) => team).map(([team, teamSlices]) => ({
      team,
      points: createPlotPoints(teamSlices, {startedAt, now, objective}),
    })),
  };
}

/** Start of a window, rounded down to the start of its first slice. */
export function alignedWindowStart(now: number, windowMs: number): number {
  return Math.floor((now - windowMs) / SLICE_MS) * SLICE_MS;
}

/** Highest burn rate over all rows and windows; null if there is none. */
export function highestBurnRate({rows}: BurnReport): number | null {
  const rates = rows
    .flatMap(({burn}) => burn.map(({rate}) => rate))
    .filter(rate => rate !== null);
  return rates.length === 0 ? null : Math.max(...rates);
}

/** Returns undefined for a damaged histogram: the VM counts as unanswered. */
function tryDecodeSlices(
  slices: readonly ReportedSlice[],
): readonly DecodedSlice[] | undefined {
  try {
    return slices.map(decodeSlice);
  } catch {
    return undefined;
  }
}

function createRow(
  slices: readonly DecodedSlice[],
  input: Pick<BurnReportInput, 'now' | 'objective' | 'windows'>,
): BurnRow {
  const {now, objective, windows} = input;
  const [{team, group, kind}] = slices as [DecodedSlice];
  const totals = sumSlices(slices);
  const {counts, atReplicas, refused} = totals;
  const burn = windows.map(({label, ms}) => {
    const since = alignedWindowStart(now, ms);
    const recent = slices.filter(slice => slice.startedAt >= since);
    const rate = burnRateOf(sumSlices(recent).counts, objective);
    return {window: label, rate, meaning: describeBurnRate(rate)};
  });
  return {
    team,
    group,
    kind,
    statements: Object.values(counts).reduce((a, b) => a + b, 0),
    ...counts,
    atReplicas,
    refused,
    availability: availabilityOf(counts),
    ...totals.latency(),
    withinLatency: totals.fractionWithin(objective.latencyMs),
    burn,
  };
}

function createPlotPoints(
  slices: readonly DecodedSlice[],
  span: {
    readonly startedAt: number;
    readonly now: number;
    readonly objective: ServiceObjective;
  },
): readonly PlotPoint[] {
  const {startedAt, now, objective} = span;
  const minStepMs = (now - startedAt) / MAX_PLOT_POINTS;
  const stepMs = Math.max(1, Math.ceil(minStepMs / SLICE_MS)) * SLICE_MS;
  const points: PlotPoint[] = [];
  for (let from = startedAt; from < now; from += stepMs) {
    const totals = sumSlices(
      slices.filter(s => s.startedAt >= from && s.startedAt < from + stepMs),
    );
    const {p50Ms, p99Ms} = totals.latency();
    const burn = burnRateOf(totals.counts, objective);
    points.push({startedAt: from, burn, p50Ms, p99Ms});
  }
  return points;
}

function sumSlices(slices: readonly DecodedSlice[]): SeriesTotals {
  const totals = new SeriesTotals();
  for (const slice of slices) totals.add(slice);
  return totals;
}

function formatSeriesKey({team, group, kind}: SeriesKey): string {
  return `${team}\n${group}\n${kind}`;
}

/** Groups slices by key, sorted by key. */
function groupBy(
  slices: readonly DecodedSlice[],
  keyOf: (slice: DecodedSlice) => string,
): readonly (readonly [string, readonly DecodedSlice[]])[] {
  const groups = new Map<string, DecodedSlice[]>();
  for (const slice of slices) {
    const name = keyOf(slice);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [slice]);
    else group.push(slice);
  }
  return [...groups].toSorted(([a], [b]) => (a < b ? -1 : 1));
}

function sortedVmIds(vms: readonly {readonly vm: string}[]): readonly string[] {
  return vms.map(({vm}) => vm).toSorted();
}
