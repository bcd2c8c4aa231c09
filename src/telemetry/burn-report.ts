/** The burn report: service levels per team and route, of all VMs together. */
import {SLICE_MS, type SeriesKey} from './metrics.js';
import {
  decodeSlice,
  SeriesTotals,
  type DecodedSlice,
  type LatencyLevel,
  type ReportedSlice,
} from './series-totals.js';
import {
  availabilityOf,
  burnRateOf,
  describeBurn,
  type ServiceObjective,
  type StatementCounts,
} from './service-level.js';

const MAX_PLOT_POINTS = 60;

/** A span of time up to now. */
export interface BurnWindow {
  /** As the operator wrote it, such as `5m`. */
  readonly label: string;
  readonly ms: number;
}

/** What one VM reported; `slices` is undefined if it gave no answer. */
export interface VmStatements {
  readonly vm: string;
  readonly slices: readonly ReportedSlice[] | undefined;
}

/** What a report is computed from. */
export interface BurnReportInput {
  readonly vms: readonly VmStatements[];
  /** Milliseconds since the Unix epoch. */
  readonly now: number;
  readonly windows: readonly BurnWindow[];
  readonly objective: ServiceObjective;
}

/** How fast one window's errors spend the budget. */
export interface WindowBurn {
  readonly window: string;
  readonly rate: number | null;
  readonly meaning: string;
}

/** The service level of one team on one route, over the longest window. */
export interface BurnRow extends SeriesKey, StatementCounts, LatencyLevel {
  /** Every statement, the ones over the rate too. */
  readonly statements: number;
  readonly atReplicas: number;
  readonly refused: Readonly<Record<string, number>>;
  readonly availability: number | null;
  readonly withinLatency: number | null;
  readonly burn: readonly WindowBurn[];
}

/** A team's service level in one step of time; null where nothing ran. */
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

/** The whole report, as plain data. */
export interface BurnReport {
  readonly collectedAt: number;
  readonly objective: ServiceObjective;
  readonly windows: readonly BurnWindow[];
  readonly answered: readonly string[];
  /** VMs without an answer; their statements are missing in every figure. */
  readonly unanswered: readonly string[];
  readonly rows: readonly BurnRow[];
  readonly plots: readonly TeamPlot[];
}

/**
 * Merges what the VMs reported and computes the service levels.
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
    slices: slices && tryDecode(slices),
  }));
  const startedAt = windowStart(now, windows.at(-1)?.ms ?? 0);
  const slices = answers
    .flatMap(answer => answer.slices ?? [])
    .filter(slice => slice.startedAt >= startedAt);
  return {
    collectedAt: now,
    objective,
    windows,
    answered: idsOf(answers.filter(answer => answer.slices !== undefined)),
    unanswered: idsOf(answers.filter(answer => answer.slices === undefined)),
    rows: groupBy(slices, seriesName).map(([, series]) =>
      createRow(series, {now, objective, windows}),
    ),
    plots: groupBy(slices, ({team}) => team).map(([team, own]) => ({
      team,
      points: createPoints(own, {startedAt, now, objective}),
    })),
  };
}

/** Where a window begins: it takes in the whole slice that it begins in. */
export function windowStart(now: number, windowMs: number): number {
  return Math.floor((now - windowMs) / SLICE_MS) * SLICE_MS;
}

/** The highest burn rate of any row and window; null if there is none. */
export function highestBurn({rows}: BurnReport): number | null {
  const rates = rows
    .flatMap(({burn}) => burn.map(({rate}) => rate))
    .filter(rate => rate !== null);
  return rates.length === 0 ? null : Math.max(...rates);
}

/** A VM whose histograms can't be read counts as one without an answer. */
function tryDecode(
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
  const totals = sum(slices);
  const {counts, atReplicas, refused} = totals;
  const burn = windows.map(({label, ms}) => {
    const since = windowStart(now, ms);
    const recent = slices.filter(slice => slice.startedAt >= since);
    const rate = burnRateOf(sum(recent).counts, objective);
    return {window: label, rate, meaning: describeBurn(rate)};
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
    withinLatency: totals.shareWithin(objective.latencyMs),
    burn,
  };
}

function createPoints(
  slices: readonly DecodedSlice[],
  span: {
    readonly startedAt: number;
    readonly now: number;
    readonly objective: ServiceObjective;
  },
): readonly PlotPoint[] {
  const {startedAt, now, objective} = span;
  const wantedMs = (now - startedAt) / MAX_PLOT_POINTS;
  const stepMs = Math.max(1, Math.ceil(wantedMs / SLICE_MS)) * SLICE_MS;
  const points: PlotPoint[] = [];
  for (let from = startedAt; from < now; from += stepMs) {
    const totals = sum(
      slices.filter(s => s.startedAt >= from && s.startedAt < from + stepMs),
    );
    const {p50Ms, p99Ms} = totals.latency();
    const burn = burnRateOf(totals.counts, objective);
    points.push({startedAt: from, burn, p50Ms, p99Ms});
  }
  return points;
}

function sum(slices: readonly DecodedSlice[]): SeriesTotals {
  const totals = new SeriesTotals();
  for (const slice of slices) totals.add(slice);
  return totals;
}

function seriesName({team, group, kind}: SeriesKey): string {
  return `${team}\n${group}\n${kind}`;
}

/** Groups slices by a name, in the order of the names. */
function groupBy(
  slices: readonly DecodedSlice[],
  nameOf: (slice: DecodedSlice) => string,
): readonly (readonly [string, readonly DecodedSlice[]])[] {
  const groups = new Map<string, DecodedSlice[]>();
  for (const slice of slices) {
    const name = nameOf(slice);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [slice]);
    else group.push(slice);
  }
  return [...groups].toSorted(([a], [b]) => (a < b ? -1 : 1));
}

function idsOf(vms: readonly {readonly vm: string}[]): readonly string[] {
  return vms.map(({vm}) => vm).toSorted();
}
