/** Concurrent tries of one read, of which one answers. */
import type {PartSink} from './types.js';

/** One of the concurrent tries. */
export interface HedgedTry {
  /** Aborts once another try answers. */
  readonly signal: AbortSignal;
  /** Forwards the parts of the answer, unless another try answers. */
  readonly sink: PartSink;
}

/** The first try that receives a part of the answer wins; the others abort. */
export class HedgedRead {
  readonly #sink: PartSink;
  readonly #tries = new Map<HedgedTry, AbortController>();
  #winner: HedgedTry | undefined;

  constructor(sink: PartSink) {
    this.#sink = sink;
  }

  /** True if more than one try is running. */
  get hasSeveralTries(): boolean {
    return this.#tries.size > 1;
  }

  /** The try that answers. */
  get winner(): HedgedTry | undefined {
    return this.#winner;
  }

  /** Adds a try. */
  start(): HedgedTry {
    const lost = new AbortController();
    const started: HedgedTry = {
      signal: lost.signal,
      sink: async frames => {
        if (this.#claimAnswer(started)) await this.#sink(frames);
      },
    };
    this.#tries.set(started, lost);
    return started;
  }

  /** Removes a try that has ended. */
  finish(ended: HedgedTry): void {
    this.#tries.delete(ended);
  }

  #claimAnswer(claimant: HedgedTry): boolean {
    if (this.#winner !== undefined) return this.#winner === claimant;
    this.#winner = claimant;
    for (const [other, lost] of this.#tries) {
      if (other !== claimant) lost.abort();
    }
    return true;
  }
}
