/** What may go wrong between two ends of a fake network. */

/** One link; the same both ways. */
export interface FakeLink {
  cut: boolean;
  /** Each way. */
  delayMs: number;
  /** Requests whose effect happens but whose answer is lost. */
  answersToLose: number;
  /** Orders that arrive a second time, this much later; 0 for none. */
  duplicateAfterMs: number;
}

/** The links of a fake network, by the names of their ends. */
export class FakeLinks {
  readonly #links = new Map<string, FakeLink>();

  between(a: string, b: string): FakeLink {
    const key = a < b ? `${a} ${b}` : `${b} ${a}`;
    let link = this.#links.get(key);
    if (link === undefined) {
      link = {cut: false, delayMs: 0, answersToLose: 0, duplicateAfterMs: 0};
      this.#links.set(key, link);
    }
    return link;
  }

  /** Cuts the links between each of `ends` and each of `others`. */
  cut(ends: readonly string[], others: readonly string[]): void {
    this.#each(ends, others, link => (link.cut = true));
  }

  /** Undoes {@link cut}. */
  mend(ends: readonly string[], others: readonly string[]): void {
    this.#each(ends, others, link => (link.cut = false));
  }

  /** Takes all faults away. */
  reset(): void {
    this.#links.clear();
  }

  #each(
    ends: readonly string[],
    others: readonly string[],
    change: (link: FakeLink) => void,
  ): void {
    for (const end of ends) {
      for (const other of others) {
        if (end !== other) change(this.between(end, other));
      }
    }
  }
}
