/** Totals over time slices: summed counts and a merged latency histogram. */
import {
  build,
  decodeFromCompressedBase64,
  type Histogram,
  type JsHistogram,
} from 'hdr-histogram-js';
import type {SeriesKey} from './statement-metrics.js';
import type {StatementCounts} from './service-level.js';

const MICROS_PER_MS = 1_000;
const RATE_LIMITED_REASON = 'rateLimited';

/**
 * A time slice of one series as a node reports it. A node of another version may
 * report refusal reasons that are unknown here.
 */
export interface ReportedSlice extends SeriesKey {
  readonly startedAt: number;
  readonly done: number;
  readonly mayHaveRun: number;
  readonly refused: Readonly<Record<string, number | undefined>>;
  readonly atReplicas: number;
  /** HDR histogram of latencies in microseconds, compressed and in base64. */
  readonly latency: string;
}

/** A slice with its decoded histogram. */
export interface DecodedSlice extends ReportedSlice {
  readonly histogram: Histogram;
}

/** Latencies of statements that reached a target; null if none did. */
export interface LatencySummary {
  readonly p50Ms: number | null;
  readonly p99Ms: number | null;
  readonly maxMs: number | null;
}

/** Decodes a slice's histogram; throws if it is damaged. */
export function decodeSlice(slice: ReportedSlice): DecodedSlice {
  const histogram = decodeFromCompressedBase64(slice.latency, 32, false);
  return {...slice, histogram};
}

/**
 * Accumulates slices into totals.
 *
 * @example
 * const totals = new SeriesTotals();
 * for (const slice of slices) totals.add(decodeSlice(slice));
 * totals.latency().p99Ms;
 */
export class SeriesTotals {
  readonly #refused = new Map<string, number>();
  readonly #histogram = build({
    bitBucketSize: 32,
    autoResize: true,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  }) as JsHistogram;
  #done = 0;
  #mayHaveRun = 0;
  #atReplicas = 0;

  add(slice: DecodedSlice): void {
    this.#done += slice.done;
    this.#mayHaveRun += slice.mayHaveRun;
    this.#atReplicas += slice.atReplicas;
    this.#histogram.add(slice.histogram as JsHistogram);
    for (const [reason, count = 0] of Object.entries(slice.refused)) {
      this.#refused.set(reason, (this.#refused.get(reason) ?? 0) + count);
    }
  }

  get counts(): StatementCounts {
    const overRate = this.#refused.get(RATE_LIMITED_REASON) ?? 0;
    const refused = [...this.#refused.values()].reduce((a, b) => a + b, 0);
    return {
      done: this.#done,
      mayHaveRun: this.#mayHaveRun,
      overRate,
      wrongful: refused - overRate,
    };
  }

  /** Number of statements that replicas served. */
  get atReplicas(): number {
    return this.#atReplicas;
  }

  /** Refusal counts by reason, sorted by reason. */
  get refused(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.#refused].toSorted(([a], [b]) => (a < b ? -1 : 1)),
    );
  }

  latency(): LatencySummary {
    const histogram = this.#histogram;
    if (histogram.totalCount === 0) {
      return {p50Ms: null, p99Ms: null, maxMs: null};
    }
    // Percentiles are upper bounds of buckets, so the maximum must be one too.
    const highestMicros = histogram.highestEquivalentValue(histogram.maxValue);
    return {
      p50Ms: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
      p99Ms: histogram.getValueAtPercentile(99) / MICROS_PER_MS,
      maxMs: highestMicros / MICROS_PER_MS,
    };
  }

  /** Fraction of latencies up to `limitMs`, to the histogram's precision. */
  fractionWithin(limitMs: number): number | null {
    const histogram = this.#histogram;
    if (histogram.totalCount === 0) return null;
    const limitMicros = Math.round(limitMs * MICROS_PER_MS);
    if (limitMicros >= histogram.maxValue) return 1;
    const last = histogram.countsArrayIndex(limitMicros);
    let within = 0;
    for (let i = 0; i <= last; i++) within += histogram.getCountAtIndex(i);
    return within / histogram.totalCount;
  }
}
