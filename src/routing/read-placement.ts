/**
 * Places a read on the replicas and the primary of a group.
 *
 * Load pattern: reads far outnumber what one database serves, while writes and
 * reads of the newest state can only go to the primary. Reads that replicas
 * may serve stay off the primary until the replicas' queues are clearly the
 * longer ones, and go to the shortest expected wait among the replicas.
 *
 * Connections belong to teams, and there are fewer than all teams use at once.
 * Opening one takes a slot for as long as a statement, so a database counts as
 * busier by that much where the team's connections are all in use.
 */
import {covers, type Position} from '../session/position.js';

/** Waits that the primary's queue is counted for: its other work can't move. */
const PRIMARY_PENALTY_STATEMENTS = 1;
/** A replica that fell short is not asked for as much again for this long. */
const SHORTFALL_TTL_MS = 150;

/** What is known of one database when a read arrives. */
export interface PlacementCandidate {
  readonly id: string;
  readonly isPrimary: boolean;
  /** Whether it answered lately. */
  readonly isReachable: boolean;
  /** Statements that it runs or that wait for it. */
  readonly outstanding: number;
  readonly slots: number;
  /** Average time of a statement, in milliseconds. */
  readonly costMs: number;
  /** Time to open a connection first; 0 where the team has one idle. */
  readonly openingMs: number;
  /** Time on the way there and back, in milliseconds. */
  readonly distanceMs: number;
  /** The last position that it is known to show. */
  readonly shown: Position | undefined;
  /** When it last refused a position, and which. */
  readonly fellShort: {readonly at: number; readonly of: Position} | undefined;
}

/** What a placement depends on. */
export interface PlacementInput {
  readonly candidates: readonly PlacementCandidate[];
  /** What a replica's log must hold; undefined: only the primary may serve. */
  readonly needed: Position | undefined;
  readonly now: number;
  /** Databases that failed this read before. */
  readonly avoid: ReadonlySet<string>;
}

/**
 * Ids of the databases that may serve the read, the best one first.
 *
 * @example
 * const [best] = placeRead({candidates, needed, now, avoid: new Set()});
 */
export function placeRead(input: PlacementInput): readonly string[] {
  const {candidates, needed, now, avoid} = input;
  return candidates
    .filter(one => one.isReachable && !avoid.has(one.id))
    .filter(
      one =>
        one.isPrimary || (needed !== undefined && mayInclude(one, needed, now)),
    )
    .map(one => ({id: one.id, waitMs: expectedWaitMs(one)}))
    .toSorted((a, b) => a.waitMs - b.waitMs)
    .map(({id}) => id);
}

function mayInclude(
  {shown, fellShort}: PlacementCandidate,
  needed: Position,
  now: number,
): boolean {
  if (shown !== undefined && covers(shown, needed)) return true;
  if (fellShort === undefined || now - fellShort.at > SHORTFALL_TTL_MS)
    return true;
  return !covers(needed, fellShort.of);
}

function expectedWaitMs(candidate: PlacementCandidate): number {
  const queuedMs = (candidate.outstanding / Math.max(1, candidate.slots)) * candidate.costMs;
  const primaryPenaltyMs = candidate.isPrimary ? PRIMARY_PENALTY_STATEMENTS * candidate.costMs : 0;
  return queuedMs + primaryPenaltyMs + candidate.openingMs + candidate.distanceMs;
}
