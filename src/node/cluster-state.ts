/** Local replica of the store: members, announced databases, configuration. */
import {isDeepStrictEqual} from 'node:util';
import {LRUCache} from 'lru-cache';
import {
  findStaleReason,
  type LastAnnouncement,
  type StaleReason,
} from '../catalog/announcement-order.js';
import {Evacuations} from '../catalog/evacuations.js';
import {
  EMPTY_CATALOG,
  type Catalog,
  type AnnouncedDatabase,
  type Route,
} from '../catalog/types.js';
import {rankPriorities} from '../catalog/priority-ranks.js';
import type {DrainNotice} from '../groups/drain-notice.js';
import {
  decodeOrder,
  ORDER_PREFIX,
  type PrimaryOrder,
} from '../groups/primary-order.js';
import {FeedRelay} from '../fleet/feed-relay.js';
import {MemberList} from '../fleet/member-list.js';
import {
  decodeMember,
  MEMBER_PREFIX,
  type FleetMember,
} from '../fleet/member-record.js';
import {
  StoreFeed,
  type FeedChange,
  type FeedSource,
} from '../fleet/store-feed.js';
import type {Clock} from '../infra/clock.js';
import type {ChangeSet} from '../infra/leased-store.js';
import type {StorePosition} from '../infra/store-position.js';
import {ColdTimes} from '../pace/cold-times.js';
import type {Logger} from '../telemetry/log.js';

/** Leases may have lapsed if a poll of the store failed within this interval. */
const LAPSE_WINDOW_MS = 10_000;

/** A decoded change of the store. */
export type ClusterStateChange =
  | {readonly kind: 'catalog'; readonly catalog: Catalog}
  | {
      readonly kind: 'database';
      readonly id: string;
      /** Undefined if the database is gone or its record is malformed. */
      readonly entry: AnnouncedDatabase | undefined;
    }
  | {
      readonly kind: 'evacuation';
      readonly dataCentre: string;
      /** False if the operators have withdrawn the request. */
      readonly isActive: boolean;
    };

/** Number of databases whose last announcement is remembered. */
const MAX_REMEMBERED_DATABASES = 10_000;

/** What a change of the store did to the replica. */
type ChangeEffect =
  | 'new'
  /** It repeats what is known. */
  | 'unchanged'
  /** It is older than what is known. */
  | 'rejected'
  /** It is not relevant. */
  | 'ignored';

/** Counts values of the store that were older than what was known. */
export interface RejectionMetrics {
  recordRejectedValue(reason: StaleReason | 'catalogVersion'): void;
}

/** Dependencies of {@link ClusterState}. */
export interface ClusterStateOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: string;
  readonly store: FeedSource;
  readonly metrics: RejectionMetrics;
  /** Time from a request to evacuate a data centre until it must be unused. */
  readonly evacuateMs: number;
  /** Decodes a change of the store; undefined if the key is not relevant. */
  readonly decode: (change: FeedChange) => ClusterStateChange | undefined;
  /** Called when a database's announcement changes or disappears. */
  readonly onDatabase: (
    id: string,
    entry: AnnouncedDatabase | undefined,
  ) => void;
  /**
   * Called with each promotion order; returns false if a later one is known.
   */
  readonly onOrder: (group: string, order: PrimaryOrder) => boolean;
}

/**
 * Keeps the state of the cluster current from the store's change feed, and
 * relays changes to other nodes.
 *
 * @example
 * const state = new ClusterState(options);
 * void state.feed.run(signal);
 * const route = state.catalog.routes.get('claims');
 */
export class ClusterState {
  readonly members: MemberList;
  readonly feed: StoreFeed;
  /** Serves the changes that this node has received to other nodes. */
  readonly relay: FeedRelay;
  /** The data centres that the operators have evacuated. */
  readonly evacuations: Evacuations;
  readonly #options: ClusterStateOptions;
  readonly #databases = new Map<string, AnnouncedDatabase>();
  readonly #coldTimes: ColdTimes;
  /** The last announcement of each database, also of those that are gone. */
  readonly #lastAnnouncements = new LRUCache<string, LastAnnouncement>({
    max: MAX_REMEMBERED_DATABASES,
  });
  readonly #drainNotices = new LRUCache<string, DrainNotice>({
    max: MAX_REMEMBERED_DATABASES,
  });
  /** Instances of other nodes that were listed when this one started, by node. */
  readonly #earlierProcesses = new Map<string, string>();
  #catalog: Catalog = EMPTY_CATALOG;
  #priorityRanks: ReadonlyMap<number, number> = new Map();

  constructor(options: ClusterStateOptions) {
    const {clock, log, store} = options;
    this.#options = options;
    this.#coldTimes = new ColdTimes(clock);
    this.members = new MemberList({
      clock,
      mayHaveLapsed: () => this.mayHaveLapsed,
    });
    this.feed = new StoreFeed({
      store,
      clock,
      log,
      prefix: '',
      onChange: change => this.#applyAndRelay(change),
    });
    this.relay = new FeedRelay(clock, this.feed);
    this.evacuations = new Evacuations({
      clock,
      log,
      boundMs: options.evacuateMs,
      copyAgeMs: () => this.feed.ageMs(),
    });
  }

  get catalog(): Catalog {
    return this.#catalog;
  }

  /** The databases that are currently announced. */
  get entries(): Iterable<AnnouncedDatabase> {
    return this.#databases.values();
  }

  /** Returns a database's announcement, if it is announced. */
  readonly findDatabase = (id: string): AnnouncedDatabase | undefined =>
    this.#databases.get(id);

  /** Milliseconds for which a database remains cold; 0 if it is not. */
  coldRemainingMs(id: string): number {
    return this.#coldTimes.remainingMs(id);
  }

  /** Returns when this node learnt that a database drains, if it does. */
  drainNoticeOf(id: string): DrainNotice | undefined {
    return this.#drainNotices.get(id);
  }

  /** True if leases may have lapsed because of the store, not their owners. */
  get mayHaveLapsed(): boolean {
    return this.feed.sinceInterruptionMs() < LAPSE_WINDOW_MS;
  }

  /** Returns the rank of a route's priority; 0 is the most urgent. */
  priorityRankOf({priority}: Pick<Route, 'priority'>): number {
    return this.#priorityRanks.get(priority) ?? 0;
  }

  /** Number of different priorities that routes have. */
  get priorityCount(): number {
    return this.#priorityRanks.size;
  }

  /** True if a process that started before this one may still be running. */
  get hasEarlierProcesses(): boolean {
    return this.#earlierProcesses.size > 0;
  }

  /**
   * Learns what another node knows that is newer than a copy from which the
   * store was restored. Ignores databases that the store does not list.
   */
  learn({events, asOf: {era}}: ChangeSet): void {
    for (const {key, value, revision} of events) {
      const change = {key, value, at: {era, revision}};
      if (key.startsWith(ORDER_PREFIX)) this.#applyAndRelay(change);
      const decoded = this.#options.decode(change);
      const isKnown =
        decoded?.kind === 'catalog' ||
        (decoded?.kind === 'database' && this.#databases.has(decoded.id));
      if (isKnown) this.#applyAndRelay(change);
    }
  }

  #applyAndRelay(change: FeedChange): void {
    const {key, at} = change;
    const effect = this.#applyChange(change);
    if (effect === 'new') return this.relay.recordChange(change);
    // After a restore, other nodes list everything in the new era again.
    const isRelayed = (this.relay.eraOf(key) ?? at.era) >= at.era;
    if (effect === 'ignored' || isRelayed) return;
    if (effect === 'unchanged') this.relay.recordChange(change);
    else this.relay.keepValue(key, at);
  }

  #applyChange(change: FeedChange): ChangeEffect {
    const {key, value} = change;
    if (key.startsWith(MEMBER_PREFIX)) {
      this.#applyMember(key.slice(MEMBER_PREFIX.length), value);
      return 'new';
    }
    if (key.startsWith(ORDER_PREFIX)) {
      return this.#applyOrder(key.slice(ORDER_PREFIX.length), value);
    }
    const decoded = this.#options.decode(change);
    if (decoded?.kind === 'catalog') return this.#applyCatalog(decoded.catalog);
    if (decoded?.kind === 'database')
      return this.#applyDatabase(decoded, change.at);
    if (decoded?.kind === 'evacuation') {
      const {dataCentre, isActive} = decoded;
      this.evacuations.apply(dataCentre, isActive, change.at.era);
      return 'new';
    }
    return 'ignored';
  }

  #applyOrder(group: string, value: string | undefined): ChangeEffect {
    const order = decodeOrder(value);
    if (order === undefined) return 'ignored';
    return this.#options.onOrder(group, order) ? 'new' : 'rejected';
  }

  #applyMember(id: string, value: string | undefined): void {
    const member = value === undefined ? undefined : decodeMember(value);
    this.members.apply(id, member);
    this.#recordEarlierProcess(id, member);
    this.#options.log.info('memberChanged', {
      id,
      state:
        member === undefined ? 'gone' : member.isLeaving ? 'leaving' : 'live',
      instance: member?.instance,
      isSlow: member?.isSlow,
    });
  }

  #recordEarlierProcess(id: string, member: FleetMember | undefined): void {
    const isInitialSync = this.feed.ageMs() === Infinity;
    const isOtherNode = id !== this.#options.self;
    if (isInitialSync && isOtherNode && member !== undefined) {
      this.#earlierProcesses.set(id, member.instance);
    } else if (member?.instance !== this.#earlierProcesses.get(id)) {
      this.#earlierProcesses.delete(id);
    }
  }

  #applyCatalog(catalog: Catalog): ChangeEffect {
    if (catalog.version < this.#catalog.version) {
      this.#options.metrics.recordRejectedValue('catalogVersion');
      this.#options.log.error('catalogVersionFell', {
        inForce: this.#catalog.version,
        offered: catalog.version,
      });
      return 'rejected';
    }
    if (catalog.version === this.#catalog.version) return 'unchanged';
    this.#catalog = catalog;
    this.#priorityRanks = rankPriorities(catalog.routes.values());
    this.#options.log.info('catalogInForce', {
      version: catalog.version,
      routes: catalog.routes.size,
      teams: catalog.teams.size,
      keys: catalog.keys.size,
    });
    return 'new';
  }

  #applyDatabase(
    {id, entry}: ClusterStateChange & {kind: 'database'},
    at: StorePosition,
  ): ChangeEffect {
    if (!this.#recordAnnouncement(id, entry, at)) return 'rejected';
    const known = this.#databases.get(id);
    if (entry === undefined && known === undefined) return 'unchanged';
    // Databases renew their announcements every second, mostly unchanged.
    const isColdNews = this.#coldTimes.apply(id, entry);
    const isRepeated =
      entry !== undefined && known !== undefined && isSame(known, entry);
    if (isRepeated && !isColdNews) return 'unchanged';
    this.#options.log.info('databaseAnnounced', {
      id,
      group: entry?.group,
      role: entry?.role,
      state:
        entry === undefined ? 'gone' : entry.isDraining ? 'draining' : 'ready',
      coldRemainingMs: entry?.coldRemainingMs,
      copyAgeMs: Math.round(this.feed.ageMs()),
    });
    if (entry === undefined) this.#databases.delete(id);
    else this.#databases.set(id, entry);
    this.#recordDrain(id, entry);
    this.#options.onDatabase(id, entry);
    return 'new';
  }

  /** Remembers an announcement; returns false if a later one is known. */
  #recordAnnouncement(
    id: string,
    entry: AnnouncedDatabase | undefined,
    at: StorePosition,
  ): boolean {
    const last = this.#lastAnnouncements.get(id);
    if (entry === undefined) {
      if (last !== undefined)
        this.#lastAnnouncements.set(id, {...last, at, isGone: true});
      return true;
    }
    const reason = last && findStaleReason(last, {entry, at});
    if (last !== undefined && reason !== undefined) {
      this.#logRejected(id, entry, reason);
      this.#lastAnnouncements.set(id, {...last, refused: entry});
      return false;
    }
    if (last?.entry.startedAt !== entry.startedAt)
      this.#drainNotices.delete(id);
    this.#lastAnnouncements.set(id, {entry, at, isGone: false});
    return true;
  }

  #logRejected(
    id: string,
    offered: AnnouncedDatabase,
    reason: StaleReason,
  ): void {
    const {log, metrics} = this.#options;
    metrics.recordRejectedValue(reason);
    log.warn('announcementRejected', {
      id,
      reason,
      offered: offered.isDraining ? 'draining' : 'ready',
      offeredSequence: offered.sequence,
      keptSequence: this.#lastAnnouncements.get(id)?.entry.sequence,
      isKnown: this.#databases.has(id),
    });
  }

  #recordDrain(id: string, entry: AnnouncedDatabase | undefined): void {
    // A notice outlives the entry, which may be missing for a while.
    if (entry === undefined) return;
    if (!entry.isDraining) this.#drainNotices.delete(id);
    else if (!this.#drainNotices.has(id)) {
      const learntAt = this.#options.clock.now();
      this.#drainNotices.set(id, {learntAt, copyAgeMs: this.feed.ageMs()});
    }
  }
}

/**
 * Whether two announcements differ in nothing but their sequence and the time
 * for which the database remains cold.
 */
function isSame(a: AnnouncedDatabase, b: AnnouncedDatabase): boolean {
  const ignored = {sequence: 0, coldRemainingMs: 0};
  return isDeepStrictEqual({...a, ...ignored}, {...b, ...ignored});
}
