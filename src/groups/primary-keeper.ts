/** Sees to it that a group has a primary. */
import type {Clock} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import {comparePositions, type Position} from '../session/position.js';
import type {DatabaseState} from '../statements/types.js';
import type {Logger} from '../telemetry/log.js';
import type {FailoverDuty, FailoverOrders} from './failover-duty.js';
import type {Leadership} from './leadership.js';

const CHECK_PERIOD_MS = 100;
/** The same on nodes that leave the change to another. */
const OBSERVER_PERIOD_MS = 1_000;
/** How long a group may lack a known primary before one is named. */
const NO_PRIMARY_MS = 700;
/**
 * Failed probes of a primary, after a silence of its work, before another one
 * is named. Each probe takes as long as a connection may take to open.
 */
const PROBES = 1;
/** Pause between two probes. */
const PROBE_PAUSE_MS = 100;
/** How long a named database may take to lead before the next order. */
const TAKE_OVER_MS = 2_500;
const TAKE_OVER_POLL_MS = 50;
/** How long a replica may take to catch up before a planned change. */
const CATCH_UP_MS = 1_500;
const CATCH_UP_POLL_MS = 20;
/** Time allowed for all candidates to say their state. */
const SURVEY_MS = 400;
/** Pause before a database that was too busy to say its state is asked again. */
const BUSY_PAUSE_MS = 20;

/** A database as the keeper sees it. */
export interface KeptDatabase {
  readonly id: string;
  /** Whether it is about to leave. */
  readonly isDraining: boolean;
  /** Whether its work shows no sign of life. */
  readonly isSuspect: boolean;
  /** The last position that its answers showed. */
  readonly shown: Position | undefined;
  /** Its state over a new connection; undefined while it is too busy. */
  askState(): Promise<DatabaseState | undefined>;
  /** The same over any connection that is open. */
  askStateSoon(): Promise<DatabaseState | undefined>;
}

/** What a keeper is built from. */
export interface PrimaryKeeperOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly group: string;
  readonly self: string;
  readonly leadership: Leadership;
  readonly duty: Pick<FailoverDuty, 'takeToken' | 'release'>;
  readonly orders: FailoverOrders;
  /** The databases that are announced now. */
  readonly databases: () => readonly KeptDatabase[];
  /** Whether this node is the one to act for the group. */
  readonly isResponsible: () => boolean;
  /** Keeps writes back until the returned function is called. */
  readonly holdWrites: () => Promise<() => void>;
  /** Called once a primary has been found to be out of reach. */
  readonly onUnreachable: (id: string) => void;
  /** Called once a database has been seen to lead. */
  readonly onPromoted: (id: string) => void;
}

/** Why a primary is replaced. */
type Cause = 'noPrimary' | 'unreachable' | 'draining' | 'gone';

/**
 * Watches one group and names a new primary where that is needed.
 *
 * A planned change first lets the chosen replica catch up while writes are
 * held; after a failure the most advanced replica that answers is chosen.
 *
 * @example
 * const keeper = new PrimaryKeeper(options);
 * void keeper.run(signal);
 */
export class PrimaryKeeper {
  readonly #options: PrimaryKeeperOptions;
  #leaderlessSince: number | undefined;
  #isChanging = false;
  #checkedAt = -Infinity;

  constructor(options: PrimaryKeeperOptions) {
    this.#options = options;
  }

  /** Whether a new primary is being named. */
  get isChanging(): boolean {
    return this.#isChanging;
  }

  /** Watches until `signal` aborts. */
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
    const {clock, isResponsible, databases, leadership} = this.#options;
    const periodMs = isResponsible() ? 0 : OBSERVER_PERIOD_MS;
    if (clock.now() - this.#checkedAt < periodMs) return;
    this.#checkedAt = clock.now();
    if (databases().length === 0) return;
    if (leadership.isContested) await this.#survey(databases());
    const cause = await this.#findCause();
    if (cause === undefined || !isResponsible()) return;
    this.#isChanging = true;
    try {
      await this.#change(cause);
    } finally {
      this.#isChanging = false;
    }
  }

  async #findCause(): Promise<Cause | undefined> {
    const {clock, databases, leadership} = this.#options;
    const leaderId = leadership.leaderId;
    if (leaderId === undefined) {
      this.#leaderlessSince ??= clock.now();
      if (clock.now() - this.#leaderlessSince < NO_PRIMARY_MS) return undefined;
      await this.#survey(databases());
      return leadership.leaderId === undefined ? 'noPrimary' : undefined;
    }
    this.#leaderlessSince = undefined;
    const leader = databases().find(({id}) => id === leaderId);
    if (leader === undefined) return 'gone';
    if (leader.isDraining) return 'draining';
    if (!leader.isSuspect) return undefined;
    return this.#probe(leader);
  }

  /** Asks a silent primary itself, over new connections. */
  async #probe(leader: KeptDatabase): Promise<Cause | undefined> {
    const {clock, leadership} = this.#options;
    for (let failed = 0; failed < PROBES; failed++) {
      try {
        const askedAt = clock.now();
        const state = await leader.askState();
        if (state !== undefined) {
          leadership.noteState(leader.id, state, askedAt);
        }
        return undefined;
      } catch {
        // Not a fault of its own: the count of failed probes decides.
        await clock.sleep(PROBE_PAUSE_MS);
      }
    }
    this.#options.onUnreachable(leader.id);
    return 'unreachable';
  }

  async #change(cause: Cause): Promise<void> {
    const {log, group, leadership, databases} = this.#options;
    const oldId = leadership.leaderId;
    const candidates = databases().filter(
      ({id, isDraining}) => id !== oldId && !isDraining,
    );
    const others = databases().filter(({id}) => id !== oldId);
    const states = await this.#survey(
      candidates.length > 0 ? candidates : others,
    );
    // The survey may have found that another database leads already.
    if (leadership.leaderId !== oldId) return;
    const received = [...states].map(([id, state]): Standing => [
      id,
      state.received,
    ]);
    // A database that answers work and was too busy to say its state can lead.
    const chosen = mostAdvanced(received) ?? mostAdvanced(shownBy(candidates));
    if (chosen === undefined) {
      log.warn('noDatabaseToPromote', {group, cause, asked: others.length});
      return;
    }
    log.info('primaryChangeNeeded', {
      group,
      cause,
      old: oldId,
      chosen,
      answered: states.size,
    });
    const release =
      cause === 'draining' ? await this.#catchUp(oldId, chosen) : () => {};
    try {
      await this.#promote(chosen);
    } finally {
      release();
    }
  }

  /** Holds writes until the chosen replica has what the primary has. */
  async #catchUp(
    oldId: string | undefined,
    chosenId: string,
  ): Promise<() => void> {
    const {clock, holdWrites, databases, log, group} = this.#options;
    const old = databases().find(({id}) => id === oldId);
    const chosen = databases().find(({id}) => id === chosenId);
    const release = await holdWrites();
    const until = clock.now() + CATCH_UP_MS;
    try {
      const wanted = (await old?.askStateSoon())?.received;
      while (wanted !== undefined && clock.now() < until) {
        const has = (await chosen?.askStateSoon())?.received;
        if (has !== undefined && comparePositions(has, wanted) >= 0) break;
        await clock.sleep(CATCH_UP_POLL_MS);
      }
    } catch (err) {
      log.warn('catchUpNotProved', {
        group,
        chosen: chosenId,
        message: String(err),
      });
    }
    return release;
  }

  async #promote(databaseId: string): Promise<void> {
    const {duty, orders, group, self, log} = this.#options;
    const token = await duty.takeToken(group);
    if (token === undefined) return;
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
    if (outcome.kind === 'refused') return;
    await this.#awaitLeader(databaseId);
  }

  async #awaitLeader(databaseId: string): Promise<void> {
    const {clock, databases, leadership, onPromoted, log, group} =
      this.#options;
    const startedAt = clock.now();
    while (clock.now() - startedAt < TAKE_OVER_MS) {
      await clock.sleep(TAKE_OVER_POLL_MS);
      const named = databases().find(({id}) => id === databaseId);
      if (named === undefined) return;
      const askedAt = clock.now();
      const state = await named.askStateSoon().catch(() => undefined);
      if (state !== undefined) {
        leadership.noteState(databaseId, state, askedAt);
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

  /** Asks again while the database is too busy; undefined once it can't say. */
  async #askUntil(
    database: KeptDatabase,
    until: number,
  ): Promise<DatabaseState | undefined> {
    const {clock, log, group} = this.#options;
    while (clock.now() < until) {
      try {
        const state = await database.askStateSoon();
        if (state !== undefined) return state;
      } catch (err) {
        log.info('stateNotSaid', {
          group,
          database: database.id,
          message: err instanceof Error ? err.message : String(err),
        });
      }
      await clock.sleep(BUSY_PAUSE_MS);
    }
    return undefined;
  }

  /** The states of the databases that answer in time. */
  async #survey(
    databases: readonly KeptDatabase[],
  ): Promise<ReadonlyMap<string, DatabaseState>> {
    const {clock, leadership} = this.#options;
    const states = new Map<string, DatabaseState>();
    const until = clock.now() + SURVEY_MS;
    const asked = databases.map(async database => {
      const askedAt = clock.now();
      const state = await this.#askUntil(database, until);
      if (state === undefined) return;
      states.set(database.id, state);
      leadership.noteState(database.id, state, askedAt);
    });
    const done = new AbortController();
    await Promise.race([
      Promise.all(asked),
      clock.sleep(SURVEY_MS, done.signal),
    ]);
    done.abort();
    return states;
  }
}

/** A database and how far its log is known to reach. */
type Standing = readonly [id: string, position: Position];

function mostAdvanced(standings: readonly Standing[]): string | undefined {
  const [best] = standings.toSorted(([, a], [, b]) => comparePositions(b, a));
  return best?.[0];
}

/** What the databases showed that answer their work. */
function shownBy(databases: readonly KeptDatabase[]): readonly Standing[] {
  return databases.flatMap(({id, isSuspect, shown}): readonly Standing[] =>
    isSuspect || shown === undefined ? [] : [[id, shown]],
  );
}
