/** Decides from what several parties see whether a group needs a failover. */
import {majorityOf, type DatabaseView, type GroupView} from './group-view.js';
import type {DatabaseStatus} from './types.js';

const UNREACHABLE_MS = 600;
const UPSTREAM_SILENT_MS = 700;
/** A status older than this says nothing about the present. */
const FRESH_STATUS_MS = 600;
/** Nodes whose word counts on whether a database can be reached. */
const PROBERS = 3;

/** Asks other nodes what they see. */
export interface EvidencePort {
  /**
   * Asks two other nodes or more whether they reach a database now. Nodes that
   * don't answer within some 100 ms are left out of the result: a failover
   * waits for it.
   */
  canReach(groupName: string, databaseId: string): Promise<readonly boolean[]>;
}

/** Why a failover is needed. */
export type FailoverCause =
  /** Most nodes asked can't reach the primary. */
  | 'primaryUnreachable'
  /** Most replicas hear nothing of the primary, whoever else reaches it. */
  | 'primaryIsolated'
  /** No database leads. */
  | 'noPrimary'
  /** A database is fenced above the primary's term by an order left undone. */
  | 'unfinishedFence';

/** What one node's own view suggests. */
export type Suspicion =
  | {readonly kind: 'healthy'}
  /** The node reaches too few databases to judge or to order anything. */
  | {readonly kind: 'blind'}
  | {readonly kind: 'suspected'; readonly cause: FailoverCause};

/** Whether a failover is needed. */
export type Need =
  | {readonly kind: 'healthy'}
  | {readonly kind: 'blind'}
  /** Only this node fails to reach the primary. */
  | {readonly kind: 'linkFault'; readonly databaseId: string}
  | {
      readonly kind: 'needed';
      readonly cause: FailoverCause;
      /** The primary that lost its place, where there is one. */
      readonly suspectId: string | undefined;
    };

/**
 * What a view of the group suggests, without asking anybody.
 *
 * @example
 * suspect(monitor.current()).kind === 'healthy';
 */
export function suspect(view: GroupView): Suspicion {
  const {databases, primaryId, term} = view;
  const fresh = databases.filter(isFresh);
  if (fresh.length < majorityOf(databases.length)) return {kind: 'blind'};
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
 * Weighs a view together with what other nodes see. A primary that only this
 * node fails to reach stays: otherwise the flapping link of one node would
 * order one failover after another.
 */
export async function assessNeed(
  view: GroupView,
  evidence: EvidencePort,
): Promise<Need> {
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
  const others = await evidence.canReach(view.name, primaryId).catch(() => []);
  const against = 1 + others.filter(reached => !reached).length;
  const probers = Math.max(PROBERS, 1 + others.length);
  if (against >= majorityOf(probers)) {
    return {kind: 'needed', cause, suspectId: primaryId};
  }
  return {kind: 'linkFault', databaseId: primaryId};
}

type FreshView = DatabaseView & {readonly status: DatabaseStatus};

function suspected(cause: FailoverCause): Suspicion {
  return {kind: 'suspected', cause};
}

/** Whether a database gave its status just now. */
function isFresh(database: DatabaseView): database is FreshView {
  const {status, reachable, ageMs} = database;
  return status !== undefined && reachable && ageMs <= FRESH_STATUS_MS;
}

/**
 * Whether no database leads. One that can't be reached may still do, as long
 * as a replica hears from it.
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

function isIsolated({databases, primaryId}: GroupView): boolean {
  const replicas = databases.filter(({spec}) => spec.id !== primaryId);
  const silent = replicas
    .filter(isFresh)
    .filter(({status}) => status.upstreamSilentMs > UPSTREAM_SILENT_MS);
  return replicas.length > 0 && silent.length >= majorityOf(replicas.length);
}
