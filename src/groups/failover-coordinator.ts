/** Coordinates failovers and planned changes of a group's primary. */
import type {Clock} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import {comparePositions, type Position} from '../session/position.js';
import type {DatabaseState} from '../statements/types.js';
import type {Logger} from '../telemetry/log.js';
import type {
  FailoverLease,
  FailoverOrders,
  OrderOutcome,
} from './failover-lease.js';
import type {Leadership} from './leadership.js';

const CHECK_PERIOD_MS = 100;
/** Check period on nodes that are not responsible for the group. */
const OBSERVER_PERIOD_MS = 1_000;
/** How long a group may have no known primary before one is promoted. */
const LEADERLESS_LIMIT_MS = 700;
/**
 * Failed probes of an unresponsive primary before it is replaced. A probe takes
 * up to the connect timeout.
 */
const PROBE_ATTEMPTS = 1;
/** Pause after a failed probe. */
const PROBE_PAUSE_MS = 100;
/**
 * How long a promoted database may take to lead before another order is sent.
 */
const TAKEOVER_TIMEOUT_MS = 2_500;
const TAKEOVER_POLL_MS = 50;
/** How long a replica may take to catch up in a planned change. */
const CATCH_UP_TIMEOUT_MS = 1_500;
const CATCH_UP_POLL_MS = 20;
/** Time allowed for all candidates to report their state. */
const STATE_QUERY_TIMEOUT_MS = 400;
/** Pause before a database that was too busy or failed is queried again. */
const BUSY_RETRY_PAUSE_MS = 20;

/** A database as the coordinator sees it. */
export interface TrackedDatabase {
  readonly id: string;
  /** Whether it is draining, before it leaves the group. */
  readonly isDraining: boolean;
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
}

/** Which node should replace a group's primary, and what that follows from. */
export interface Responsibility {
  /** Undefined if no member answers. */
  readonly node: string | undefined;
  readonly isSelf: boolean;
  /** The group's first home, which may be silent. */
  readonly firstHome: string | undefined;
  readonly primaryDataCentre: string | undefined;
  /** Number of members that can be the home. */
  readonly members: number;
}

/** How an attempt to replace a primary ended. */
export type FailoverAttemptOutcome =
  OrderOutcome['kind'] | 'leaseNotHeld' | 'noCandidate';

/** Options of {@link FailoverCoordinator}. */
export interface FailoverCoordinatorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly group: string;
  /** Id of this node. */
  readonly self: string;
  readonly leadership: Leadership;
  readonly failoverLease: Pick<
    FailoverLease,
    'acquireToken' | 'isHeld' | 'keep' | 'release'
  >;
  readonly orders: FailoverOrders;
  /** The databases that the platform announces now. */
  readonly databases: () => readonly TrackedDatabase[];
  /** Returns which node should replace the group's primary. */
  readonly responsibility: () => Responsibility;
  /** Whether this node's copy of the store is recent enough to act on. */
  readonly hasFreshCopy: () => boolean;
  /** Holds writes until the returned function is called. */
  readonly holdWrites: () => Promise<() => void>;
  /** Called when the primary has failed its probes. */
  readonly onUnreachable: (id: string) => void;
  /** Called when a promoted database has reported that it leads. */
  readonly onPromoted: (id: string) => void;
  /** Called with the end of each attempt to replace the primary. */
  readonly recordAttempt: (outcome: FailoverAttemptOutcome) => void;
}

/** Why the primary is replaced. */
type ChangeCause = 'noPrimary' | 'unreachable' | 'draining' | 'gone';

/**
 * Monitors one group and promotes a new primary where one is needed: the most
 * advanced replica that answers.
 *
 * If the old primary is draining, the chosen replica first catches up with it
 * while writes are held.
 *
 * @example
 * const coordinator = new FailoverCoordinator(options);
 * void coordinator.run(signal);
 */
export class FailoverCoordinator {
  readonly #options: FailoverCoordinatorOptions;
  #leaderlessSince: number | undefined;
  #isReplacingPrimary = false;
  #checkedAt = -Infinity;
  #responsibleNode: string | undefined;

  constructor(options: FailoverCoordinatorOptions) {
    this.#options = options;
  }

  /** Whether the primary is being replaced. */
  get isReplacingPrimary(): boolean {
    return this.#isReplacingPrimary;
  }

  /** Monitors the group until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, log, group} = this.#options;
    while (!signal.aborted) {
      try {
        await this.#check();
      } catch (err) {
        log.error('primaryCheckFailed', {group, message: String(err)});
      }
      await sleepToTick(clock, CHECK_PERIOD_MS, signal);
    }
  }

  async #check(): Promise<void> {
    const {clock, databases, leadership, failoverLease, group} = this.#options;
    const isResponsible = this.#isResponsible();
    // Not awaited: a slow store must not delay the check of the primary.
    if (isResponsible) void failoverLease.keep(group);
    const isActive = isResponsible || failoverLease.isHeld(group);
    const periodMs = isActive ? 0 : OBSERVER_PERIOD_MS;
    if (clock.now() - this.#checkedAt < periodMs) return;
    this.#checkedAt = clock.now();
    if (databases().length === 0) return;
    if (leadership.isContested) await this.#queryStates(databases());
    const cause = await this.#findCause();
    if (cause === undefined || !this.#mayReplacePrimary(cause)) return;
    this.#isReplacingPrimary = true;
    try {
      await this.#replacePrimary(cause);
    } finally {
      this.#isReplacingPrimary = false;
    }
  }

  /**
   * Whether this node replaces the primary. The responsible node may not be able
   * to at once: the home moves with the primary, and its new node has to wait
   * until the lease of the old one expires. Until then the holder replaces a
   * primary that has failed. A draining one can wait for the responsible node,
   * which holds the group's writes meanwhile.
   *
   * A node that has just regained the store may not know of a promotion yet.
   */
  #mayReplacePrimary(cause: ChangeCause): boolean {
    const {group, failoverLease, hasFreshCopy} = this.#options;
    if (!hasFreshCopy()) return false;
    if (this.#isResponsible()) return true;
    return cause !== 'draining' && failoverLease.isHeld(group);
  }

  /** Whether this node is responsible; logs when another node becomes it. */
  #isResponsible(): boolean {
    const {log, group, responsibility} = this.#options;
    const {node, ...basis} = responsibility();
    if (node !== this.#responsibleNode) {
      log.info('responsibilityChanged', {
        group,
        from: this.#responsibleNode,
        to: node,
        ...basis,
      });
      this.#responsibleNode = node;
    }
    return basis.isSelf;
  }

  async #findCause(): Promise<ChangeCause | undefined> {
    const {clock, databases, leadership} = this.#options;
    const leaderId = leadership.leaderId;
    if (leaderId === undefined) {
      this.#leaderlessSince ??= clock.now();
      if (clock.now() - this.#leaderlessSince < LEADERLESS_LIMIT_MS)
        return undefined;
      await this.#queryStates(databases());
      return leadership.leaderId === undefined ? 'noPrimary' : undefined;
    }
    this.#leaderlessSince = undefined;
    const leader = databases().find(({id}) => id === leaderId);
    if (leader === undefined) return 'gone';
    if (leader.isDraining) return 'draining';
    if (!leader.isSuspect) return undefined;
    return this.#probe(leader);
  }

  /** Probes an unresponsive primary over new connections. */
  async #probe(leader: TrackedDatabase): Promise<ChangeCause | undefined> {
    const {clock, leadership} = this.#options;
    for (let failed = 0; failed < PROBE_ATTEMPTS; failed++) {
      try {
        const requestedAt = clock.now();
        const state = await leader.queryState();
        if (state !== undefined) {
          leadership.recordState(leader.id, state, requestedAt);
        }
        return undefined;
      } catch {
        // Not logged: a failed probe only counts towards PROBE_ATTEMPTS.
        await clock.sleep(PROBE_PAUSE_MS);
      }
    }
    this.#options.onUnreachable(leader.id);
    return 'unreachable';
  }

  async #replacePrimary(cause: ChangeCause): Promise<void> {
    const {log, group, leadership, databases, failoverLease, recordAttempt} =
      this.#options;
    const oldId = leadership.leaderId;
    const candidates = databases().filter(
      ({id, isDraining}) => id !== oldId && !isDraining,
    );
    const others = databases().filter(({id}) => id !== oldId);
    // Two draining databases would replace each other until one is gone.
    const isLastResort = candidates.length === 0 && cause !== 'draining';
    const asked = isLastResort ? others : candidates;
    const states = await this.#queryStates(asked);
    // The queries may have shown that another database leads already.
    if (leadership.leaderId !== oldId) return;
    const received = [...states].map(([id, state]): LogEnd => [
      id,
      state.received,
    ]);
    // If no database reported its state, those that were too busy to but still
    // answer requests are candidates.
    const chosen =
      mostAdvanced(received) ?? mostAdvanced(visibleLogEnds(candidates));
    if (chosen === undefined) {
      log.warn('noDatabaseToPromote', {group, cause, asked: asked.length});
      recordAttempt('noCandidate');
      // Another node may reach a candidate.
      return failoverLease.release(group);
    }
    log.info('primaryChangeNeeded', {
      group,
      cause,
      old: oldId,
      chosen,
      answered: states.size,
    });
    // Acquired before writes are held: a node that may not order must not delay
    // them.
    const token = await failoverLease.acquireToken(group);
    if (token === undefined) return recordAttempt('leaseNotHeld');
    const release =
      cause === 'draining' ? await this.#catchUp(oldId, chosen) : () => {};
    try {
      await this.#promote(chosen, token);
    } finally {
      release();
    }
  }

  /**
   * Holds writes and waits until the chosen replica's log covers the primary's.
   * Returns the function that releases the writes.
   */
  async #catchUp(
    oldId: string | undefined,
    chosenId: string,
  ): Promise<() => void> {
    const {clock, holdWrites, databases, log, group} = this.#options;
    const old = databases().find(({id}) => id === oldId);
    const chosen = databases().find(({id}) => id === chosenId);
    const release = await holdWrites();
    const until = clock.now() + CATCH_UP_TIMEOUT_MS;
    try {
      const wanted = (await old?.queryStateOnOpenConnection())?.received;
      while (wanted !== undefined && clock.now() < until) {
        const chosenPosition = (await chosen?.queryStateOnOpenConnection())
          ?.received;
        if (
          chosenPosition !== undefined &&
          comparePositions(chosenPosition, wanted) >= 0
        )
          break;
        await clock.sleep(CATCH_UP_POLL_MS);
      }
    } catch (err) {
      log.warn('catchUpNotConfirmed', {
        group,
        chosen: chosenId,
        message: String(err),
      });
    }
    return release;
  }

  async #promote(databaseId: string, acquired: number): Promise<void> {
    const {failoverLease, orders, group, self, log, recordAttempt} =
      this.#options;
    // The lease may have expired while writes were held.
    const token = failoverLease.isHeld(group)
      ? acquired
      : await failoverLease.acquireToken(group);
    if (token === undefined) return recordAttempt('leaseNotHeld');
    const outcome = await orders.promote({
      group,
      databaseId,
      holder: self,
      token,
    });
    log.info('promotionOrdered', {
      group,
      database: databaseId,
      token,
      outcome: outcome.kind,
      detail: outcome.kind === 'unknown' ? outcome.message : undefined,
    });
    recordAttempt(outcome.kind);
    if (outcome.kind === 'refused') return;
    await this.#awaitLeader(databaseId);
  }

  /** Waits until the promoted database reports that it leads. */
  async #awaitLeader(databaseId: string): Promise<void> {
    const {clock, databases, leadership, onPromoted, log, group} =
      this.#options;
    const startedAt = clock.now();
    while (clock.now() - startedAt < TAKEOVER_TIMEOUT_MS) {
      await clock.sleep(TAKEOVER_POLL_MS);
      const candidate = databases().find(({id}) => id === databaseId);
      if (candidate === undefined) return;
      const requestedAt = clock.now();
      const state = await candidate
        .queryStateOnOpenConnection()
        .catch(() => undefined);
      if (state !== undefined) {
        leadership.recordState(databaseId, state, requestedAt);
      }
      if (leadership.leaderId !== databaseId || state?.role !== 'primary')
        continue;
      onPromoted(databaseId);
      log.info('promotionSeen', {
        group,
        database: databaseId,
        term: state.term,
        tookMs: Math.round(clock.now() - startedAt),
      });
      return;
    }
    log.warn('promotionNotSeen', {group, database: databaseId});
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

  /** Queries all databases; returns the states of those that answer in time. */
  async #queryStates(
    databases: readonly TrackedDatabase[],
  ): Promise<ReadonlyMap<string, DatabaseState>> {
    const {clock, leadership} = this.#options;
    const states = new Map<string, DatabaseState>();
    const until = clock.now() + STATE_QUERY_TIMEOUT_MS;
    const queries = databases.map(async database => {
      const requestedAt = clock.now();
      const state = await this.#queryStateUntil(database, until);
      if (state === undefined) return;
      states.set(database.id, state);
      leadership.recordState(database.id, state, requestedAt);
    });
    const done = new AbortController();
    await Promise.race([
      Promise.all(queries),
      clock.sleep(STATE_QUERY_TIMEOUT_MS, done.signal),
    ]);
    done.abort();
    return states;
  }
}

/** A database id and the last known position of its log. */
type LogEnd = readonly [id: string, position: Position];

function mostAdvanced(logEnds: readonly LogEnd[]): string | undefined {
  const [best] = logEnds.toSorted(([, a], [, b]) => comparePositions(b, a));
  return best?.[0];
}

/** The last reported positions of the databases that are not suspected. */
function visibleLogEnds(
  databases: readonly TrackedDatabase[],
): readonly LogEnd[] {
  return databases.flatMap(
    ({id, isSuspect, visiblePosition}): readonly LogEnd[] =>
      isSuspect || visiblePosition === undefined ? [] : [[id, visiblePosition]],
  );
}
