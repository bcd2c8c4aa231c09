/** What one node knows of a database group at a moment. */
import type {DatabaseSpec, DatabaseStatus} from './types.js';

/** What is known of one database. */
export interface DatabaseView {
  readonly spec: DatabaseSpec;
  /** The last status that it gave; undefined if it never gave one. */
  readonly status: DatabaseStatus | undefined;
  /** The age of that status, counted from when it was asked for. */
  readonly ageMs: number;
  /** Whether the last question was answered in time. */
  readonly reachable: boolean;
  /** For how long it has answered nothing; 0 while reachable. */
  readonly unreachableMs: number;
}

/** What is known of a group. */
export interface GroupView {
  readonly name: string;
  /** The highest term that a database follows or leads. */
  readonly term: number;
  /** The primary of that term, unless it is known to be fenced. */
  readonly primaryId: string | undefined;
  readonly databases: readonly DatabaseView[];
}

/**
 * Collects what is known of the databases into a view of the group.
 *
 * A primary leads no longer once a majority is fenced above its term, since
 * none of its writes can be acknowledged from then on.
 */
export function groupViewOf(
  name: string,
  databases: readonly DatabaseView[],
): GroupView {
  const term = Math.max(0, ...databases.map(({status}) => status?.term ?? 0));
  const fenced = databases.filter(
    ({status}) => status !== undefined && status.fencedTerm > term,
  );
  const over = fenced.length >= majorityOf(databases.length);
  const primary = databases.find(
    ({status}) => status !== undefined && leads(status, term),
  );
  const primaryId = over ? undefined : primary?.spec.id;
  return {name, term, primaryId, databases};
}

/** The smallest number of databases that two fences can't both have. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** The highest term that a database of the view follows or was fenced at. */
export function highestTerm(view: GroupView): number {
  const terms = view.databases.flatMap(({status}) =>
    status === undefined ? [] : [status.term, status.fencedTerm],
  );
  return Math.max(0, ...terms);
}

function leads(status: DatabaseStatus, term: number): boolean {
  if (status.role !== 'primary') return false;
  return status.term === term && status.fencedTerm <= term;
}
