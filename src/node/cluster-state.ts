/** Local replica of the store: members, announced databases, configuration. */
import {isDeepStrictEqual} from 'node:util';
import {
  EMPTY_CATALOG,
  type Catalog,
  type AnnouncedDatabase,
} from '../catalog/types.js';
import type {DrainNotice} from '../groups/drain-notice.js';
import {FeedRelay} from '../fleet/feed-relay.js';
import {MemberList} from '../fleet/member-list.js';
import {
  decodeMember,
  MEMBER_PREFIX,
  type FleetMember,
} from '../fleet/member-record.js';
import {StoreFeed, type FeedChange} from '../fleet/store-feed.js';
import type {Clock} from '../infra/clock.js';
import type {LeasedStore} from '../infra/leased-store.js';
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
    };

/** Dependencies of {@link ClusterState}. */
export interface ClusterStateOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: string;
  readonly store: Pick<LeasedStore, 'list' | 'changes'>;
  /** Decodes a change of the store; undefined if the key is not relevant. */
  readonly decode: (change: FeedChange) => ClusterStateChange | undefined;
  /** Called when a database's announcement changes or disappears. */
  readonly onDatabase: (
    id: string,
    entry: AnnouncedDatabase | undefined,
  ) => void;
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
  readonly #options: ClusterStateOptions;
  readonly #databases = new Map<string, AnnouncedDatabase>();
  readonly #drainNotices = new Map<string, DrainNotice>();
  /** Instances of other nodes that were listed when this one started, by node. */
  readonly #earlierProcesses = new Map<string, string>();
  #catalog: Catalog = EMPTY_CATALOG;
  #leastUrgentPriority = 0;

  constructor(options: ClusterStateOptions) {
    const {clock, log, store} = options;
    this.#options = options;
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
  }

  get catalog(): Catalog {
    return this.#catalog;
  }

  /** The databases that are currently announced. */
  get entries(): Iterable<AnnouncedDatabase> {
    return this.#databases.values();
  }

  /** Returns when this node learnt that a database drains, if it does. */
  drainNoticeOf(id: string): DrainNotice | undefined {
    return this.#drainNotices.get(id);
  }

  /** True if leases may have lapsed because of the store, not their owners. */
  get mayHaveLapsed(): boolean {
    return this.feed.sinceInterruptionMs() < LAPSE_WINDOW_MS;
  }

  /** Highest priority number of all routes; 0 is the most urgent. */
  get leastUrgentPriority(): number {
    return this.#leastUrgentPriority;
  }

  /** True if a process that started before this one may still be running. */
  get hasEarlierProcesses(): boolean {
    return this.#earlierProcesses.size > 0;
  }

  #applyAndRelay(change: FeedChange): void {
    if (this.#applyChange(change)) this.relay.recordChange(change);
  }

  /** Applies a change; returns false if there is nothing new to relay. */
  #applyChange(change: FeedChange): boolean {
    const {key, value} = change;
    if (key.startsWith(MEMBER_PREFIX)) {
      this.#applyMember(key.slice(MEMBER_PREFIX.length), value);
      return true;
    }
    const decoded = this.#options.decode(change);
    if (decoded?.kind === 'catalog') return this.#applyCatalog(decoded.catalog);
    if (decoded?.kind === 'database') return this.#applyDatabase(decoded);
    return false;
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

  #applyCatalog(catalog: Catalog): boolean {
    if (catalog.version < this.#catalog.version) {
      this.#options.log.error('catalogVersionFell', {
        inForce: this.#catalog.version,
        offered: catalog.version,
      });
      return false;
    }
    this.#catalog = catalog;
    const priorities = [...catalog.routes.values()].map(
      route => route.priority,
    );
    this.#leastUrgentPriority = Math.max(0, ...priorities);
    this.#options.log.info('catalogInForce', {
      version: catalog.version,
      routes: catalog.routes.size,
      teams: catalog.teams.size,
      keys: catalog.keys.size,
    });
    return true;
  }

  #applyDatabase({
    id,
    entry,
  }: ClusterStateChange & {kind: 'database'}): boolean {
    // Databases renew their announcements every second, mostly unchanged.
    if (isDeepStrictEqual(this.#databases.get(id), entry)) return false;
    this.#options.log.info('databaseAnnounced', {
      id,
      group: entry?.group,
      role: entry?.role,
      state:
        entry === undefined ? 'gone' : entry.isDraining ? 'draining' : 'ready',
      copyAgeMs: Math.round(this.feed.ageMs()),
    });
    if (entry === undefined) this.#databases.delete(id);
    else this.#databases.set(id, entry);
    this.#recordDrain(id, entry);
    this.#options.onDatabase(id, entry);
    return true;
  }

  #recordDrain(id: string, entry: AnnouncedDatabase | undefined): void {
    if (!entry?.isDraining) this.#drainNotices.delete(id);
    else if (!this.#drainNotices.has(id)) {
      const learntAt = this.#options.clock.now();
      this.#drainNotices.set(id, {learntAt, copyAgeMs: this.feed.ageMs()});
    }
  }
}
