/** Statement counts and latency histograms of a node, in 10 s time slices. */
import {
  build,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';
import type {Clock} from '../infra/clock.js';
import type {RefusalReason, Verdict} from '../verdict/verdict.js';

/** Length of one time slice. */
export const SLICE_MS = 10_000;
/** One hour of slices, the longest window of the burn report. */
const MAX_SLICES = 360;
/** Time span that a node's slices cover. */
export const RETENTION_MS = SLICE_MS * MAX_SLICES;
/** Latencies in microseconds, up to one minute, with two significant digits. */
const HISTOGRAM_OPTIONS = {
  bitBucketSize: 32 as const,
  autoResize: true,
  lowestDiscernibleValue: 1,
  highestTrackableValue: 60_000_000,
  numberOfSignificantValueDigits: 2 as const,
};

/** `transaction` covers every statement of a transaction opened by its caller. */
export const STATEMENT_KINDS = ['read', 'write', 'transaction'] as const;

/** One of {@link STATEMENT_KINDS}. */
export type StatementKind = (typeof STATEMENT_KINDS)[number];

/** Identifies a series of statement counts. */
export interface SeriesKey {
  readonly team: string;
  readonly group: string;
  readonly kind: StatementKind;
}

/** Outcome of one or more statements that a caller sent as one batch. */
export interface StatementSample extends SeriesKey {
  /** Number of statements in the batch; at least 1. */
  readonly statements: number;
  readonly verdict: Verdict;
  /** Time from arrival to the last response frame; counts for each statement. */
  readonly elapsedMs: number;
  readonly servedBy: 'primary' | 'replica' | undefined;
}

/** Counts and latencies of one series in one time slice, as plain data. */
export interface SliceCounts {
  readonly done: number;
  readonly mayHaveRun: number;
  readonly refused: Readonly<Partial<Record<RefusalReason, number>>>;
  readonly atReplicas: number;
  /** HDR histogram of latencies in microseconds, compressed and in base64. */
  readonly latency: string;
}

/** One time slice of one series. */
export interface SeriesSlice extends SeriesKey, SliceCounts {
  /** Milliseconds since the Unix epoch, a multiple of {@link SLICE_MS}. */
  readonly startedAt: number;
}

interface Counters {
  done: number;
  mayHaveRun: number;
  readonly refused: Partial<Record<RefusalReason, number>>;
  atReplicas: number;
  readonly latency: Histogram;
}

interface Slice {
  readonly startedAt: number;
  readonly series: Map<string, {key: SeriesKey; counters: Counters}>;
}

/** Collects the statement counts and latencies of one node. */
export class StatementMetrics {
  readonly #clock: Clock;
  readonly #slices: Slice[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records finished statements, except those that their caller cancelled. */
  observe(sample: StatementSample): void {
    const {verdict, statements} = sample;
    if (verdict.kind === 'notRun' && verdict.reason === 'cancelled') return;
    const counters = this.#counters(sample);
    if (verdict.kind === 'notRun') {
      const before = counters.refused[verdict.reason] ?? 0;
      counters.refused[verdict.reason] = before + statements;
      return;
    }
    if (verdict.kind === 'mayHaveRun') counters.mayHaveRun += statements;
    else counters.done += statements;
    if (sample.servedBy === 'replica') counters.atReplicas += statements;
    const micros = Math.max(1, Math.round(sample.elapsedMs * 1_000));
    counters.latency.recordValueWithCount(micros, statements);
  }

  /** Returns the slices that start at `since` or later. */
  slices(since: number): readonly SeriesSlice[] {
    return this.#slices
      .filter(({startedAt}) => startedAt >= since)
      .flatMap(({startedAt, series}) =>
        [...series.values()].map(({key, counters}) => ({
          ...key,
          startedAt,
          done: counters.done,
          mayHaveRun: counters.mayHaveRun,
          refused: {...counters.refused},
          atReplicas: counters.atReplicas,
          latency: encodeIntoCompressedBase64(counters.latency),
        })),
      );
  }

  #counters({team, group, kind}: SeriesKey): Counters {
    const {series} = this.#currentSlice();
    const name = `${team}\n${group}\n${kind}`;
    const known = series.get(name);
    if (known !== undefined) return known.counters;
    const counters: Counters = {
      done: 0,
      mayHaveRun: 0,
      refused: {},
      atReplicas: 0,
      latency: build(HISTOGRAM_OPTIONS),
    };
    series.set(name, {key: {team, group, kind}, counters});
    return counters;
  }

  #currentSlice(): Slice {
    const startedAt = Math.floor(this.#clock.wallNow() / SLICE_MS) * SLICE_MS;
    const last = this.#slices.at(-1);
    if (last !== undefined && last.startedAt >= startedAt) return last;
    const slice: Slice = {startedAt, series: new Map()};
    this.#slices.push(slice);
    if (this.#slices.length > MAX_SLICES) this.#slices.shift();
    return slice;
  }
}
