/**
 * Decides whether a group needs a failover, from this node's view of the
 * databases and from what other nodes can reach.
 */
import {majorityOf, type DatabaseView, type GroupView} from './group-view.js';
import type {DatabaseStatus} from './types.js';

const UNREACHABLE_MS = 600;
const UPSTREAM_SILENT_MS = 700;
/** An older status is ignored. */
const MAX_STATUS_AGE_MS = 600;
/**
 * Minimum number of votes, this node's included, on whether a database can be
 * reached. Missing votes count as "reachable".
 */
const MIN_VOTERS = 3;

/** Port to the other nodes: queries which databases they can reach. */
export interface ReachabilityPort {
  /**
   * Asks at least two other nodes whether they can reach a database now. Nodes
   * that don't answer within about 100 ms are left out of the result, because
   * a failover waits for it.
   */
  canReach(groupName: string, databaseId: string): Promise<readonly boolean[]>;
}

/** Why a failover is needed. */
export type FailoverCause =
  /** A majority of the voting nodes can't reach the primary. */
  | 'primaryUnreachable'
  /**
   * A majority of the replicas receive nothing from the primary, even if nodes
   * reach it.
   */
  | 'primaryIsolated'
  /** No database is primary. */
  | 'noPrimary'
  /** An unfinished failover left a database fenced above the primary's term. */
  | 'unfinishedFence';

/** The assessment of a group from one node's view alone. */
export type Suspicion =
  | {readonly kind: 'healthy'}
  /**
   * The node reaches no majority, so it can neither judge nor order a failover.
   */
  | {readonly kind: 'noMajority'}
  | {readonly kind: 'suspected'; readonly cause: FailoverCause};

/**
 * The assessment of a group from this node's view and the other nodes' votes.
 */
export type FailoverNeed =
  | {readonly kind: 'healthy'}
  | {readonly kind: 'noMajority'}
  /** Other nodes reach the primary; only this node's link to it is faulty. */
  | {readonly kind: 'linkFault'; readonly databaseId: string}
  | {
      readonly kind: 'needed';
      readonly cause: FailoverCause;
      /** The primary to replace; undefined if there is none or it may stay. */
      readonly suspectId: string | undefined;
    };

/**
 * Assesses a group from this node's view, without querying other nodes.
 *
 * @example
 * suspect(monitor.current()).kind === 'healthy';
 */
export function suspect(view: GroupView): Suspicion {
  const {databases, primaryId, term} = view;
  const fresh = databases.filter(isFresh);
  if (fresh.length < majorityOf(databases.length)) return {kind: 'noMajority'};
  const primary = databases.find(({spec}) => spec.id === primaryId);
  if (primary === undefined) {
    return isLeaderless(view) ? suspected('noPrimary') : {kind: 'healthy'};
  }
  if (isIsolated(view)) return suspected('primaryIsolated');
  if (primary.unreachableMs >= UNREACHABLE_MS) {
    return suspected('primaryUnreachable');
  }
  if (fresh.some(({status}) => status.fencedTerm > term)) {
    return suspected('unfinishedFence');
  }
  return {kind: 'healthy'};
}

/**
 * Assesses a group from this node's view and, where the primary is unreachable,
 * the other nodes' votes. A primary that only this node fails to reach stays:
 * otherwise one node's flapping link would cause one failover after another.
 */
export async function assessFailoverNeed(
  view: GroupView,
  reachability: ReachabilityPort,
): Promise<FailoverNeed> {
  const suspicion = suspect(view);
  if (suspicion.kind !== 'suspected') return suspicion;
  const {cause} = suspicion;
  const {primaryId} = view;
  if (primaryId === undefined || cause === 'unfinishedFence') {
    return {kind: 'needed', cause, suspectId: undefined};
  }
  if (cause === 'primaryIsolated') {
    return {kind: 'needed', cause, suspectId: primaryId};
  }
  const peerVotes = await reachability
    .canReach(view.name, primaryId)
    .catch(() => []);
  const unreachableVotes = 1 + peerVotes.filter(reached => !reached).length;
  const voters = Math.max(MIN_VOTERS, 1 + peerVotes.length);
  if (unreachableVotes >= majorityOf(voters)) {
    return {kind: 'needed', cause, suspectId: primaryId};
  }
  return {kind: 'linkFault', databaseId: primaryId};
}

type FreshDatabaseView = DatabaseView & {readonly status: DatabaseStatus};

function suspected(cause: FailoverCause): Suspicion {
  return {kind: 'suspected', cause};
}

/** Whether a database is reachable and its last status is recent. */
function isFresh(database: DatabaseView): database is FreshDatabaseView {
  const {status, reachable, ageMs} = database;
  return status !== undefined && reachable && ageMs <= MAX_STATUS_AGE_MS;
}

/**
 * Whether no database can be primary. A database that can't be reached may
 * still be, as long as a replica receives from it.
 */
function isLeaderless({databases, term}: GroupView): boolean {
  const fresh = databases.filter(isFresh);
  if (fresh.length === databases.length) return true;
  const fenced = databases.filter(
    ({status}) => status !== undefined && status.fencedTerm > term,
  );
  if (fenced.length >= majorityOf(databases.length)) return true;
  return !fresh.some(
    ({status}) => status.upstreamSilentMs <= UPSTREAM_SILENT_MS,
  );
}

/** Whether a majority of the replicas receive nothing from the primary. */
function isIsolated({databases, primaryId}: GroupView): boolean {
  const replicas = databases.filter(({spec}) => spec.id !== primaryId);
  const silent = replicas
    .filter(isFresh)
    .filter(({status}) => status.upstreamSilentMs > UPSTREAM_SILENT_MS);
  return replicas.length > 0 && silent.length >= majorityOf(replicas.length);
}
