/** What a load's sessions did and saw: the client's own record. */

/** How a client learned of the end of a request. */
export type ClientOutcome = 'acknowledged' | 'notRun' | 'unknown' | 'error';

/** One refusal or failure as the client saw it. */
export interface Failure {
  readonly at: number;
  readonly team: string;
  readonly outcome: ClientOutcome;
  readonly sqlstate: string;
  readonly message: string;
}

/** One acknowledged statement. */
export interface Completion {
  readonly at: number;
  readonly team: string;
  readonly group: string;
  readonly kind: 'read' | 'write';
  readonly elapsedMs: number;
}

/** Increments of one counter row: exactly one per acknowledged write. */
export interface CounterRecord {
  readonly group: string;
  readonly id: string;
  acknowledged: number;
  unknown: number;
}

/** Collects what every session of a load saw. */
export class LoadRecord {
  readonly completions: Completion[] = [];
  readonly failures: Failure[] = [];
  readonly counters: CounterRecord[] = [];
  /** Ids of rows whose insert was acknowledged, by group. */
  readonly inserted = new Map<string, string[]>();
  /** Reads that did not show what the session had written before. */
  readonly staleReads: string[] = [];
  /** Rows that belong to another session than the one that asked. */
  readonly foreignRows: string[] = [];
  /** Connections that ended while a request ran. */
  cutRequests = 0;

  noteInsert(group: string, id: string): void {
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

/** Sorts a database error by what it says of the request's fate. */
export function outcomeOf(sqlstate: string): ClientOutcome {
  if (sqlstate === '08007') return 'unknown';
  if (/^(53|57P)/.test(sqlstate)) return 'notRun';
  return 'error';
}
