/** Links of a fake network, with fault injection. */

/** Faults of a link, in both directions. */
export interface FakeLink {
  cut: boolean;
  /** One-way delay. */
  delayMs: number;
  /** Number of next requests that take effect but whose answers are lost. */
  answersToLose: number;
  /** Delay after which orders are sent a second time; 0 to send them once. */
  duplicateAfterMs: number;
}

/** The links of a fake network, by the ids of their ends. */
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
    this.#forEachLink(ends, others, link => (link.cut = true));
  }

  /** Restores the links that {@link cut} has cut. */
  heal(ends: readonly string[], others: readonly string[]): void {
    this.#forEachLink(ends, others, link => (link.cut = false));
  }

  /** Removes all faults. */
  reset(): void {
    this.#links.clear();
  }

  #forEachLink(
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
