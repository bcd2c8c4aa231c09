/** The faults that a test can switch on, and the count of calls. */

/** A kind of call, as `GET /standin/calls` names it. */
export type CallKind =
  | 'range'
  | 'put'
  | 'txn'
  | 'compaction'
  | 'leaseGrant'
  | 'leaseKeepAlive'
  | 'leaseRevoke'
  | 'watch';

/** Faults in force. */
export class Faults {
  /** While true, every call's connection is reset. */
  reset = false;
  /** How long each answer is held back. */
  slowMs = 0;
  #lostAnswers = 0;

  /** Lets the next `count` writes take effect without an answer. */
  loseAnswers(count: number): void {
    this.#lostAnswers = count;
  }

  /** Whether this write's answer is lost; counts it. */
  consumeLostAnswer(): boolean {
    if (this.#lostAnswers === 0) return false;
    this.#lostAnswers -= 1;
    return true;
  }
}

/** Counts calls by kind; a waiting watch is one. */
export class CallCounts {
  readonly #counts = new Map<CallKind, number>();

  add(kind: CallKind): void {
    this.#counts.set(kind, (this.#counts.get(kind) ?? 0) + 1);
  }

  /** The counts so far, with their sum. */
  snapshot(): Readonly<Record<string, number>> {
    const counts = [...this.#counts.values()];
    const total = counts.reduce((sum, count) => sum + count, 0);
    return {...Object.fromEntries(this.#counts), total};
  }
}
