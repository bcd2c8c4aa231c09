/** Client-side record of the statements of a load and their outcomes. */

/** Outcome of a request from the client's view; `unknown` if it may have run. */
export type ClientOutcome = 'acknowledged' | 'notRun' | 'unknown' | 'error';

/** A refused or failed request. `at` is on the `performance.now()` scale. */
export interface Failure {
  readonly at: number;
  readonly team: string;
  readonly outcome: ClientOutcome;
  readonly sqlstate: string;
  readonly message: string;
}

/** An acknowledged statement. `at` is on the `performance.now()` scale. */
export interface Completion {
  readonly at: number;
  readonly team: string;
  readonly group: string;
  readonly kind: 'read' | 'write';
  readonly elapsedMs: number;
}

/**
 * Increments of a counter row, one per write. The stored value must lie between
 * `acknowledged` and `acknowledged + unknown`.
 */
export interface CounterRecord {
  readonly group: string;
  readonly id: string;
  acknowledged: number;
  unknown: number;
}

/** Collects the results of all sessions of a load. */
export class LoadRecord {
  readonly completions: Completion[] = [];
  readonly failures: Failure[] = [];
  readonly counters: CounterRecord[] = [];
  /** Ids of rows whose insert was committed, by group. */
  readonly inserted = new Map<string, string[]>();
  /** Reads that missed an earlier write of their own session. */
  readonly staleReads: string[] = [];
  /** Reads that returned a row of another session. */
  readonly foreignRows: string[] = [];
  /** Requests whose connection closed before the response. */
  interruptedRequests = 0;

  recordInsert(group: string, id: string): void {
    const ids = this.inserted.get(group) ?? [];
    ids.push(id);
    this.inserted.set(group, ids);
  }

  createCounter(group: string, id: string): CounterRecord {
    const counter = {group, id, acknowledged: 0, unknown: 0};
    this.counters.push(counter);
    return counter;
  }
}

/** Classifies an SQLSTATE by whether the request ran. */
export function classifySqlstate(sqlstate: string): ClientOutcome {
  if (sqlstate === '08007') return 'unknown';
  if (/^(53|57P)/.test(sqlstate)) return 'notRun';
  return 'error';
}
