/**
 * The expected execution times of statements at one database, by kind of work.
 *
 * Load pattern: routes whose statements differ by a factor of 14 share a
 * database. With one average, a burst of long reads makes the queue of short
 * writes look too long, and they are refused although they would be in time.
 */

/** Weight of the newest sample in an average. */
const SMOOTHING = 0.1;
const INITIAL_MS = 2;
/**
 * A sample counts as at most this multiple of the average: one statement that
 * took 1 s raises an average of 10 ms to 13 ms, and not to 109 ms.
 */
const MAX_SAMPLE_RATIO = 4;
/** Samples of a kind until its average is smoothed and its samples limited. */
const FIRST_SAMPLES = 1 / SMOOTHING;

interface Average {
  readonly ms: number;
  readonly samples: number;
}

/**
 * Keeps an average for each kind of work and one over all of them.
 *
 * @example
 * const times = new ExecutionTimes();
 * times.record('primary write', 4);
 * times.expectedMs('primary write'); // 4
 */
export class ExecutionTimes {
  readonly #byKind = new Map<string, Average>();
  #averageMs = INITIAL_MS;

  /** Average over all kinds, in milliseconds. */
  get averageMs(): number {
    return this.#averageMs;
  }

  /** Whether a kind has been measured. */
  hasMeasured(kind: string): boolean {
    return this.#byKind.has(kind);
  }

  /** Expected time of a kind; the average over all kinds before the first. */
  expectedMs(kind: string | undefined): number {
    if (kind === undefined) return this.#averageMs;
    return this.#byKind.get(kind)?.ms ?? this.#averageMs;
  }

  /** Records the time of a statement, of no particular kind if undefined. */
  record(kind: string | undefined, tookMs: number): void {
    this.#averageMs += SMOOTHING * (tookMs - this.#averageMs);
    if (kind === undefined) return;
    const {ms, samples} = this.#byKind.get(kind) ?? {ms: tookMs, samples: 0};
    const isFirst = samples < FIRST_SAMPLES;
    const sampleMs = isFirst ? tookMs : Math.min(tookMs, ms * MAX_SAMPLE_RATIO);
    const weight = Math.max(SMOOTHING, 1 / (samples + 1));
    const next = ms + weight * (sampleMs - ms);
    this.#byKind.set(kind, {ms: next, samples: samples + 1});
  }
}
