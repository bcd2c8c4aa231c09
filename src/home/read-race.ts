/** Lets two tries of one read run side by side, of which one answers. */
import type {PartSink} from './types.js';

/** One try's part in a race. */
export interface ReadEntrant {
  /** Aborts once another entrant answers. */
  readonly signal: AbortSignal;
  /** Passes the parts of the answer on, unless another entrant answers. */
  readonly sink: PartSink;
}

/** The first entrant with a part of the answer is the one that answers. */
export class ReadRace {
  readonly #sink: PartSink;
  readonly #entrants = new Map<ReadEntrant, AbortController>();
  #winner: ReadEntrant | undefined;

  constructor(sink: PartSink) {
    this.#sink = sink;
  }

  /** Whether more than one entrant still tries. */
  get isContested(): boolean {
    return this.#entrants.size > 1;
  }

  /** The entrant that answers. */
  get winner(): ReadEntrant | undefined {
    return this.#winner;
  }

  /** Adds an entrant. */
  enter(): ReadEntrant {
    const lost = new AbortController();
    const entrant: ReadEntrant = {
      signal: lost.signal,
      sink: async frames => {
        if (this.#claim(entrant)) await this.#sink(frames);
      },
    };
    this.#entrants.set(entrant, lost);
    return entrant;
  }

  /** Takes an entrant out that has ended. */
  leave(entrant: ReadEntrant): void {
    this.#entrants.delete(entrant);
  }

  #claim(entrant: ReadEntrant): boolean {
    if (this.#winner !== undefined) return this.#winner === entrant;
    this.#winner = entrant;
    for (const [other, lost] of this.#entrants) {
      if (other !== entrant) lost.abort();
    }
    return true;
  }
}
