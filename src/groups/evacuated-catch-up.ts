/**
 * Waits until the successor of an evacuated primary holds its commits.
 *
 * A draining primary is about to end, so that its successor can't wait for it
 * for long. An evacuated one keeps its log, but may not be asked for the end of
 * it any more.
 */
import type {Clock} from '../infra/clock.js';
import {comparePositions, type Position} from '../session/position.js';
import type {TrackedDatabase} from './tracked-database.js';

/**
 * Replicas fall behind by up to 2.4 s: 120 times the usual delay of 20 ms.
 */
const TIMEOUT_MS = 3_000;
const POLL_MS = 20;
/**
 * A replica whose log stands still for this long has caught up, unless it lags
 * unusually far: the usual delay is 20 to 30 ms. It counts where the primary
 * doesn't tell the end of its log.
 */
const STILL_MS = 200;

/** The two databases of a planned change. */
export interface CatchUpInput {
  readonly clock: Clock;
  /** The primary, to which nothing is written any more. */
  readonly old: TrackedDatabase;
  readonly chosen: TrackedDatabase;
}

/**
 * Resolves to true once the chosen replica has caught up, and to false if it
 * has not within `TIMEOUT_MS`.
 *
 * @example
 * if (!(await awaitEvacuatedCatchUp({clock, old, chosen}))) log.warn(...);
 */
export async function awaitEvacuatedCatchUp({
  clock,
  old,
  chosen,
}: CatchUpInput): Promise<boolean> {
  const until = clock.now() + TIMEOUT_MS;
  let logEnd: Position | undefined;
  let reached: Position | undefined;
  let stillSince = clock.now();
  while (clock.now() < until) {
    if (!old.isClosed) logEnd ??= await queryLogEnd(old);
    const position = await queryLogEnd(chosen);
    const isStill =
      position !== undefined &&
      reached !== undefined &&
      comparePositions(position, reached) === 0;
    if (!isStill) stillSince = clock.now();
    reached = position;
    const wanted = logEnd ?? old.visiblePosition;
    const holdsWanted =
      position !== undefined &&
      (wanted === undefined || comparePositions(position, wanted) >= 0);
    const isProven =
      logEnd !== undefined || clock.now() - stillSince >= STILL_MS;
    if (holdsWanted && isProven) return true;
    await clock.sleep(POLL_MS);
  }
  return false;
}

/** Undefined if the database is too busy or gives no answer. */
async function queryLogEnd(
  database: TrackedDatabase,
): Promise<Position | undefined> {
  const state = await database
    .queryStateOnOpenConnection()
    .catch(() => undefined);
  return state?.received;
}
