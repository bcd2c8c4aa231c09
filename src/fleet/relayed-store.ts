/** Reads the store's changes through a watcher, with the store as fallback. */
import type {EraCheckedStore} from '../infra/era-checked-store.js';
import {
  HistoryGoneError,
  type ChangeSet,
  type Snapshot,
} from '../infra/leased-store.js';
import type {PeerAddress, PeerCaller} from '../peers/types.js';
import type {Logger} from '../telemetry/log.js';
import {HISTORY_START, type StorePosition} from '../infra/store-position.js';
import {
  decodeRelayReply,
  encodeKeysRequest,
  encodeRelayRequest,
  RELAY_METHOD,
  type RelayedChanges,
} from './relay-messages.js';
import type {FeedSource, ReceivedChanges} from './store-feed.js';

/** Timeout of a request to a watcher, which answers from memory. */
const RELAY_TIMEOUT_MS = 300;
/**
 * Maximum age of a watcher's answer. Watchers poll the store twice a second;
 * their delay and this node's together must stay below the age at which a node
 * is no longer ready.
 */
const MAX_RELAYED_AGE_MS = 1_200;

/** Dependencies of {@link RelayedStore}. */
export interface RelayedStoreOptions {
  readonly store: Pick<EraCheckedStore, 'list' | 'changes' | 'observe'>;
  readonly peers: PeerCaller;
  readonly log: Logger;
  /**
   * The responsive nodes to ask in the order in which this node tries them;
   * empty if this node is a watcher that reaches the store itself.
   */
  readonly sources: () => readonly PeerAddress[];
}

/**
 * The read operations of the store for all nodes except the watchers.
 *
 * A watcher's answer is as old as the watcher's own last confirmation from the
 * store, so freshness means the same for relayed and for direct reads.
 */
export class RelayedStore implements FeedSource {
  readonly #options: RelayedStoreOptions;
  #source = 'store';

  constructor(options: RelayedStoreOptions) {
    this.#options = options;
  }

  async list(prefix: string): Promise<Snapshot> {
    const changes = await this.#requestFromSources();
    if (changes === undefined) return this.#options.store.list(prefix);
    const {events, ...rest} = changes;
    const values = events.flatMap(({key, value, revision}) =>
      value === undefined ? [] : [{key, value, revision}],
    );
    return {values, ...rest};
  }

  async changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
    received?: ReceivedChanges,
  ): Promise<ChangeSet> {
    const changes = await this.#requestFromSources(after, received);
    return changes ?? this.#options.store.changes(prefix, after, waitMs);
  }

  /** The first fresh answer of a source; undefined if there is none. */
  async #requestFromSources(
    after?: StorePosition,
    received?: ReceivedChanges,
  ): Promise<ChangeSet | undefined> {
    const sources = this.#options.sources();
    for (const source of sources) {
      const changes = await this.#requestFrom(source, after, received);
      if (changes === undefined) continue;
      const ageMs = Math.round(changes.ageMs ?? 0);
      this.#setSource(source.id, `its answer is ${ageMs} ms old`);
      return changes;
    }
    this.#setSource('store', `${sources.length} watchers gave no answer`);
    return undefined;
  }

  /** @throws HistoryGoneError if the source no longer has the changes after `after` */
  async #requestFrom(
    source: PeerAddress,
    after?: StorePosition,
    received?: ReceivedChanges,
  ): Promise<ChangeSet | undefined> {
    const {log} = this.#options;
    let changes: ChangeSet | undefined;
    try {
      const body = encodeRelayRequest(after, received?.known);
      const reply = await this.#call(source, body);
      changes = reply && (await this.#complete(source, reply, after, received));
    } catch (err) {
      log.info('watcherFailed', {
        watcher: source.id,
        message: err instanceof Error ? err.message : String(err),
      });
      return undefined;
    }
    if (changes === undefined) throw new HistoryGoneError();
    const {ageMs = 0} = changes;
    if (ageMs <= MAX_RELAYED_AGE_MS) return changes;
    log.info('watcherStale', {watcher: source.id, ageMs: Math.round(ageMs)});
    return undefined;
  }

  async #call(
    source: PeerAddress,
    body: unknown,
  ): Promise<RelayedChanges | undefined> {
    const {peers, store} = this.#options;
    const options = {timeoutMs: RELAY_TIMEOUT_MS};
    const answer = await peers.call(source, RELAY_METHOD, body, options);
    const reply = decodeRelayReply(answer);
    // Throws if the source has not noticed a restore that this node has.
    if (reply !== undefined) store.observe(reply.asOf.era, 'notSent');
    return reply;
  }

  /**
   * Requests in full the changes that a reply names only and that were not
   * received: an earlier answer may have lacked them.
   *
   * @throws Error if the source does not send them
   */
  async #complete(
    source: PeerAddress,
    {held, ...changes}: RelayedChanges,
    after: StorePosition | undefined,
    received: ReceivedChanges | undefined,
  ): Promise<ChangeSet> {
    const lacking = held.filter(({key, at}) => !received?.has(key, at));
    if (lacking.length === 0) return changes;
    const keys = lacking.map(({key}) => key);
    this.#options.log.info('relayedChangesLacking', {
      watcher: source.id,
      keys: keys.length,
      firstKey: keys[0],
    });
    const body = encodeKeysRequest(after ?? HISTORY_START, keys);
    const reply = await this.#call(source, body);
    const sent = new Map(reply?.events.map(event => [event.key, event]));
    for (const {key, at} of lacking) {
      const isSent =
        reply?.asOf.era === at.era &&
        (sent.get(key)?.revision ?? 0) >= at.revision;
      if (!isSent) throw new Error(`${key} was announced but not sent`);
    }
    const events = [...changes.events, ...sent.values()].toSorted(
      (a, b) => a.revision - b.revision,
    );
    return {...changes, events};
  }

  #setSource(source: string, why: string): void {
    if (source === this.#source) return;
    this.#options.log.info('feedSourceChanged', {
      from: this.#source,
      to: source,
      why,
    });
    this.#source = source;
  }
}
