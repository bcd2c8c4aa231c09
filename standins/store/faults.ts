/** Faults that a test can inject, and counts of calls. */

/** Kind of a call; a key of the response to `GET /standin/calls`. */
export type CallKind =
  | 'range'
  | 'put'
  | 'txn'
  | 'compaction'
  | 'leaseGrant'
  | 'leaseKeepAlive'
  | 'leaseRevoke'
  | 'watch';

/** The faults that are injected now. */
export class Faults {
  /** While true, the connection of every call is reset. */
  reset = false;
  /** Delay of each response. */
  slowMs = 0;
  #lostAnswers = 0;

  /**
   * Drops the responses of the next `count` writes, which still take effect.
   */
  loseAnswers(count: number): void {
    this.#lostAnswers = count;
  }

  /** Returns true if the response to this write is to be dropped. */
  consumeLostAnswer(): boolean {
    if (this.#lostAnswers === 0) return false;
    this.#lostAnswers -= 1;
    return true;
  }
}

/** Counts calls by kind; a watch is counted when it starts. */
export class CallCounts {
  readonly #counts = new Map<CallKind, number>();

  add(kind: CallKind): void {
    this.#counts.set(kind, (this.#counts.get(kind) ?? 0) + 1);
  }

  /** Returns the counts so far and their sum as `total`. */
  snapshot(): Readonly<Record<string, number>> {
    const counts = [...this.#counts.values()];
    const total = counts.reduce((sum, count) => sum + count, 0);
    return {...Object.fromEntries(this.#counts), total};
  }
}
