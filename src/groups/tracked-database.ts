/** The databases of a group as the failover coordinator sees them. */
import type {Clock} from '../infra/clock.js';
import {comparePositions, type Position} from '../session/position.js';
import type {DatabaseState} from '../statements/types.js';
import type {Logger} from '../telemetry/log.js';
import type {Leadership} from './leadership.js';

/** Time allowed for all candidates to report their state. */
const STATE_QUERY_TIMEOUT_MS = 400;
/** Pause before a database that was too busy or failed is queried again. */
const BUSY_RETRY_PAUSE_MS = 20;

/** A database as the coordinator sees it. */
export interface TrackedDatabase {
  readonly id: string;
  /** Whether it is draining, before it leaves the group. */
  readonly isDraining: boolean;
  /** Whether its data centre is evacuated, so that it may not be promoted. */
  readonly isEvacuated: boolean;
  /** Whether nothing may be sent to it any more. */
  readonly isClosed: boolean;
  /** Whether it is suspected to be down and should be probed. */
  readonly isSuspect: boolean;
  /** The last log position reported in its answers. */
  readonly visiblePosition: Position | undefined;
  /**
   * Queries its state over a new connection; undefined while it is too busy.
   */
  queryState(): Promise<DatabaseState | undefined>;
  /** The same over an open connection, or over a new one if none is open. */
  queryStateOnOpenConnection(): Promise<DatabaseState | undefined>;
  /**
   * Makes a primary of a lower term a replica; returns its state after that,
   * undefined while it is too busy.
   */
  stepDown(term: number): Promise<DatabaseState | undefined>;
}

/** Options of {@link StateQueries}. */
export interface StateQueriesOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly group: string;
  readonly leadership: Leadership;
}

/** Queries the states of databases and records what they say of the leader. */
export class StateQueries {
  readonly #options: StateQueriesOptions;

  constructor(options: StateQueriesOptions) {
    this.#options = options;
  }

  /**
   * Queries a database's state, with retries; undefined if none came in time.
   */
  async #queryStateUntil(
    database: TrackedDatabase,
    until: number,
  ): Promise<DatabaseState | undefined> {
    const {clock, log, group} = this.#options;
    while (clock.now() < until) {
      try {
        const state = await database.queryStateOnOpenConnection();
        if (state !== undefined) return state;
      } catch (err) {
        log.info('stateQueryFailed', {
          group,
          database: database.id,
          message: err instanceof Error ? err.message : String(err),
        });
      }
      await clock.sleep(BUSY_RETRY_PAUSE_MS);
    }
    return undefined;
  }

  /**
   * Queries all databases that are not closed; returns the states of those that
   * answer in time.
   */
  async queryAll(
    databases: readonly TrackedDatabase[],
    timeoutMs = STATE_QUERY_TIMEOUT_MS,
  ): Promise<ReadonlyMap<string, DatabaseState>> {
    const {clock, leadership} = this.#options;
    const states = new Map<string, DatabaseState>();
    const until = clock.now() + timeoutMs;
    const open = databases.filter(({isClosed}) => !isClosed);
    const queries = open.map(async database => {
      const requestedAt = clock.now();
      const state = await this.#queryStateUntil(database, until);
      if (state === undefined) return;
      states.set(database.id, state);
      leadership.recordState(database.id, state, requestedAt);
    });
    const done = new AbortController();
    await Promise.race([
      Promise.all(queries),
      clock.sleep(timeoutMs, done.signal),
    ]);
    done.abort();
    return states;
  }
}

/** A database id and the last known position of its log. */
export type LogEnd = readonly [id: string, position: Position];

/** Returns the database with the most advanced log. */
export function mostAdvanced(logEnds: readonly LogEnd[]): string | undefined {
  const [best] = logEnds.toSorted(([, a], [, b]) => comparePositions(b, a));
  return best?.[0];
}

/** The last reported positions of the databases that are not suspected. */
export function visibleLogEnds(
  databases: readonly TrackedDatabase[],
): readonly LogEnd[] {
  return databases.flatMap(
    ({id, isSuspect, visiblePosition}): readonly LogEnd[] =>
      isSuspect || visiblePosition === undefined ? [] : [[id, visiblePosition]],
  );
}
