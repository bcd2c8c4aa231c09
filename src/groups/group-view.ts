/** One node's view of a database group at one point in time. */
import type {DatabaseSpec, DatabaseStatus} from './types.js';

/** One node's view of a database. */
export interface DatabaseView {
  readonly spec: DatabaseSpec;
  /** The last status received; undefined if there was none. */
  readonly status: DatabaseStatus | undefined;
  /** Age of that status, measured from when it was requested. */
  readonly ageMs: number;
  /** Whether the last status request was answered in time. */
  readonly reachable: boolean;
  /** Time since the first of the unanswered requests; 0 while reachable. */
  readonly unreachableMs: number;
}

/** One node's view of a group. */
export interface GroupView {
  readonly name: string;
  /** The highest term that any database follows or leads. */
  readonly term: number;
  /**
   * The primary of that term; undefined if it or a majority is fenced above it.
   */
  readonly primaryId: string | undefined;
  readonly databases: readonly DatabaseView[];
}

/**
 * Builds the view of a group from the views of its databases.
 *
 * A primary no longer counts once a majority is fenced above its term, since
 * none of its writes can be acknowledged after that.
 */
export function groupViewOf(
  name: string,
  databases: readonly DatabaseView[],
): GroupView {
  const term = Math.max(0, ...databases.map(({status}) => status?.term ?? 0));
  const fenced = databases.filter(
    ({status}) => status !== undefined && status.fencedTerm > term,
  );
  const isSuperseded = fenced.length >= majorityOf(databases.length);
  const primary = databases.find(
    ({status}) => status !== undefined && leads(status, term),
  );
  const primaryId = isSuperseded ? undefined : primary?.spec.id;
  return {name, term, primaryId, databases};
}

/** The size of a majority quorum; any two majorities overlap. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** The highest term that any database of the view follows or is fenced at. */
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
