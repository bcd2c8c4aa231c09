/**
 * Places a read on the replicas and the primary of a group.
 *
 * Load pattern: there are far more reads than one database can serve, while
 * writes and reads of the latest state can only go to the primary. Reads that
 * replicas may serve go to the replica with the shortest expected wait, and to
 * the primary only if the replicas' queues are clearly longer.
 *
 * Connections belong to teams, and there are fewer than all teams use at once.
 * Opening one occupies a slot for about as long as a statement, so that time is
 * added to the expected wait if the team has no idle connection.
 *
 * Where the senders of a group share their load, reads go to the database with
 * the shortest expected completion time instead, which counts the work of all.
 */
import {
  expectedCompletionMs,
  orderByCompletion,
} from '../load/completion-time.js';
import {covers, type Position} from '../session/position.js';

/**
 * Statements added to the primary's queue as a penalty, because its other work
 * can't run elsewhere.
 */
const PRIMARY_PENALTY_STATEMENTS = 1;
/** How long a replica that lacked a position gets no read that needs it. */
const SHORTFALL_TTL_MS = 150;

/** The state of one database when a read arrives. */
export interface PlacementCandidate {
  readonly id: string;
  readonly isPrimary: boolean;
  /** Whether new work may be sent to it. */
  readonly isReachable: boolean;
  /** Statements running on it or queued for it. */
  readonly outstanding: number;
  /** Statements that it executes concurrently. */
  readonly slots: number;
  /** Average execution time of a statement, in milliseconds. */
  readonly costMs: number;
  /** Time to open a connection, in ms; 0 if the team has an idle one. */
  readonly connectMs: number;
  /** Network round-trip time, in milliseconds. */
  readonly roundTripMs: number;
  /** The last log position known to be visible to its reads. */
  readonly visiblePosition: Position | undefined;
  /** When it last refused a read because its log lacked `position`. */
  readonly lastShortfall:
    {readonly at: number; readonly position: Position} | undefined;
  /** Set if the senders of the group share their load. */
  readonly shared?:
    | {
        /** Statements that this node may run there concurrently. */
        readonly concurrency: number;
        /** Expected execution time of the other nodes' statements there. */
        readonly workElsewhereMs: number;
      }
    | undefined;
}

/** Input of {@link placeRead}. */
export interface PlacementInput {
  readonly candidates: readonly PlacementCandidate[];
  /**
   * Position that a replica must hold; undefined if only the primary may serve.
   */
  readonly needed: Position | undefined;
  readonly now: number;
  /** Ids of databases that have failed this read. */
  readonly avoid: ReadonlySet<string>;
}

/**
 * Returns the ids of the databases that may serve the read, the shortest
 * expected wait first.
 *
 * @example
 * const [best] = placeRead({candidates, needed, now, avoid: new Set()});
 */
export function placeRead(input: PlacementInput): readonly string[] {
  const {candidates, needed, now, avoid} = input;
  const usable = candidates
    .filter(candidate => candidate.isReachable && !avoid.has(candidate.id))
    .filter(
      candidate =>
        candidate.isPrimary ||
        (needed !== undefined && mayInclude(candidate, needed, now)),
    );
  if (usable.some(({shared}) => shared !== undefined))
    return orderByCompletion(usable.map(rankSharedCandidate)).map(({id}) => id);
  return usable
    .map(candidate => ({
      id: candidate.id,
      waitMs: expectedWaitMs(candidate),
    }))
    .toSorted((a, b) => a.waitMs - b.waitMs)
    .map(({id}) => id);
}

/** Whether a replica's data may include the needed position. */
function mayInclude(
  {visiblePosition, lastShortfall}: PlacementCandidate,
  needed: Position,
  now: number,
): boolean {
  if (visiblePosition !== undefined && covers(visiblePosition, needed))
    return true;
  if (lastShortfall === undefined || now - lastShortfall.at > SHORTFALL_TTL_MS)
    return true;
  return !covers(needed, lastShortfall.position);
}

function expectedWaitMs(candidate: PlacementCandidate): number {
  const queuedMs =
    (candidate.outstanding / Math.max(1, candidate.slots)) * candidate.costMs;
  const penaltyMs = primaryPenaltyMs(candidate);
  return queuedMs + penaltyMs + candidate.connectMs + candidate.roundTripMs;
}

function primaryPenaltyMs({isPrimary, costMs}: PlacementCandidate): number {
  return isPrimary ? PRIMARY_PENALTY_STATEMENTS * costMs : 0;
}

function rankSharedCandidate(candidate: PlacementCandidate) {
  const {id, slots, connectMs, shared} = candidate;
  const {concurrency = slots, workElsewhereMs = 0} = shared ?? {};
  const completionMs =
    expectedCompletionMs({...candidate, concurrency, workElsewhereMs}) +
    primaryPenaltyMs(candidate);
  return {id, completionMs, connectMs};
}
