/** Reads the store's changes through a watcher, with the store as fallback. */
import type {EraCheckedStore} from '../infra/era-checked-store.js';
import {
  HistoryGoneError,
  type ChangeSet,
  type LeasedStore,
  type Snapshot,
} from '../infra/leased-store.js';
import type {PeerAddress, PeerCaller} from '../peers/types.js';
import type {Logger} from '../telemetry/log.js';
import type {StorePosition} from '../infra/store-position.js';
import {
  decodeRelayReply,
  encodeRelayRequest,
  RELAY_METHOD,
} from './feed-relay.js';

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
export class RelayedStore implements Pick<LeasedStore, 'list' | 'changes'> {
  readonly #options: RelayedStoreOptions;
  #source = 'store';

  constructor(options: RelayedStoreOptions) {
    this.#options = options;
  }

  async list(prefix: string): Promise<Snapshot> {
    const changes = await this.#requestFromSources(undefined);
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
  ): Promise<ChangeSet> {
    const changes = await this.#requestFromSources(after);
    return changes ?? this.#options.store.changes(prefix, after, waitMs);
  }

  /** The first fresh answer of a source; undefined if there is none. */
  async #requestFromSources(
    after: StorePosition | undefined,
  ): Promise<ChangeSet | undefined> {
    const sources = this.#options.sources();
    for (const source of sources) {
      const changes = await this.#requestFrom(source, after);
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
    after: StorePosition | undefined,
  ): Promise<ChangeSet | undefined> {
    const {peers, log, store} = this.#options;
    const options = {timeoutMs: RELAY_TIMEOUT_MS};
    let changes: ChangeSet | undefined;
    try {
      const body = encodeRelayRequest(after);
      changes = decodeRelayReply(
        await peers.call(source, RELAY_METHOD, body, options),
      );
      // Throws if the source has not noticed a restore that this node has.
      if (changes !== undefined) store.observe(changes.asOf.era, 'notSent');
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
