/** What a node knows of the fleet, its databases and the configuration. */
import {isDeepStrictEqual} from 'node:util';
import {
  EMPTY_CATALOG,
  type Catalog,
  type AnnouncedDatabase,
} from '../catalog/types.js';
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

/** A store that failed a poll this recently may have let leases lapse. */
const LAPSE_WINDOW_MS = 10_000;

/** What a decoded change of the store says. */
export type CatalogChange =
  | {readonly kind: 'catalog'; readonly catalog: Catalog}
  | {
      readonly kind: 'database';
      readonly id: string;
      /** Undefined where it is gone or can't be read. */
      readonly entry: AnnouncedDatabase | undefined;
    };

/** What a picture is built from. */
export interface NodePictureOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: string;
  readonly store: Pick<LeasedStore, 'list' | 'changes'>;
  /** Decodes a change of the store; undefined where it concerns others. */
  readonly decode: (change: FeedChange) => CatalogChange | undefined;
  /** Called where a database announced something new, or is gone. */
  readonly onDatabase: (
    id: string,
    entry: AnnouncedDatabase | undefined,
  ) => void;
}

/**
 * @example
 * const picture = new NodePicture(options);
 * void picture.feed.run(signal);
 * const route = picture.catalog.routes.get('claims');
 */
export class NodePicture {
  readonly members: MemberList;
  readonly feed: StoreFeed;
  /** Hands what this node knows on to others. */
  readonly relay: FeedRelay;
  readonly #options: NodePictureOptions;
  readonly #entries = new Map<string, AnnouncedDatabase>();
  /** Processes of other nodes that were listed when this one started. */
  readonly #earlier = new Map<string, string>();
  #catalog: Catalog = EMPTY_CATALOG;
  #leastPriority = 0;

  constructor(options: NodePictureOptions) {
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
      onChange: change => this.#apply(change),
    });
    this.relay = new FeedRelay(clock, this.feed);
  }

  get catalog(): Catalog {
    return this.#catalog;
  }

  /** The databases that are announced. */
  get entries(): Iterable<AnnouncedDatabase> {
    return this.#entries.values();
  }

  /** Whether keys may have lapsed in the store without their owners' fault. */
  get mayHaveLapsed(): boolean {
    return this.feed.sinceInterruptionMs() < LAPSE_WINDOW_MS;
  }

  /** The highest number among the priorities of the routes. */
  get leastPriority(): number {
    return this.#leastPriority;
  }

  /** Whether a process from before this one may still be running. */
  get hasEarlierProcesses(): boolean {
    return this.#earlier.size > 0;
  }

  #apply(change: FeedChange): void {
    if (this.#isNews(change)) this.relay.recordChange(change);
  }

  /** Takes a change; false where it says nothing new. */
  #isNews(change: FeedChange): boolean {
    const {key, value} = change;
    if (key.startsWith(MEMBER_PREFIX)) {
      this.#applyMember(key.slice(MEMBER_PREFIX.length), value);
      return true;
    }
    const decoded = this.#options.decode(change);
    if (decoded?.kind === 'catalog') return this.#applyCatalog(decoded.catalog);
    if (decoded?.kind === 'database') return this.#applyEntry(decoded);
    return false;
  }

  #applyMember(id: string, value: string | undefined): void {
    const member = value === undefined ? undefined : decodeMember(value);
    this.members.apply(id, member);
    this.#noteEarlier(id, member);
    this.#options.log.info('memberChanged', {
      id,
      state:
        member === undefined ? 'gone' : member.isLeaving ? 'leaving' : 'live',
      instance: member?.instance,
    });
  }

  #noteEarlier(id: string, member: FleetMember | undefined): void {
    const isFirstPicture = this.feed.ageMs() === Infinity;
    const isOther = id !== this.#options.self;
    if (isFirstPicture && isOther && member !== undefined) {
      this.#earlier.set(id, member.instance);
    } else if (member?.instance !== this.#earlier.get(id)) {
      this.#earlier.delete(id);
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
    const priorities = [...catalog.routes.values()].map(one => one.priority);
    this.#leastPriority = Math.max(0, ...priorities);
    this.#options.log.info('catalogInForce', {
      version: catalog.version,
      routes: catalog.routes.size,
      teams: catalog.teams.size,
      keys: catalog.keys.size,
    });
    return true;
  }

  #applyEntry({id, entry}: CatalogChange & {kind: 'database'}): boolean {
    // Databases renew their entries each second, mostly without a change.
    if (isDeepStrictEqual(this.#entries.get(id), entry)) return false;
    this.#options.log.info('databaseAnnounced', {
      id,
      group: entry?.group,
      role: entry?.role,
      state:
        entry === undefined ? 'gone' : entry.isDraining ? 'draining' : 'ready',
    });
    if (entry === undefined) this.#entries.delete(id);
    else this.#entries.set(id, entry);
    this.#options.onDatabase(id, entry);
    return true;
  }
}
