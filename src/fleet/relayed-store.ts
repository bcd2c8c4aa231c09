/** Reads the store's changes from a watcher, or from the store itself. */
import {
  HistoryGoneError,
  type ChangeSet,
  type LeasedStore,
  type Snapshot,
} from '../infra/leased-store.js';
import type {PeerAddress, PeerCaller} from '../peers/types.js';
import type {Logger} from '../telemetry/log.js';
import {decodeRelayReply, RELAY_METHOD} from './feed-relay.js';

/** A watcher answers from memory; a longer wait costs freshness. */
const RELAY_TIMEOUT_MS = 300;
/**
 * Older answers are not taken. Watchers ask the store twice a second, and what
 * they and this node add must stay below the age at which a node is not ready.
 */
const MAX_RELAYED_AGE_MS = 1_200;
/** Watchers asked before the store itself. */
const MAX_WATCHERS_ASKED = 2;

/** What reading over watchers is built from. */
export interface RelayedStoreOptions {
  readonly store: Pick<LeasedStore, 'list' | 'changes'>;
  readonly peers: PeerCaller;
  readonly log: Logger;
  /**
   * The watchers that answer, in the order in which this node asks them; none
   * where it is one itself.
   */
  readonly watchers: () => readonly PeerAddress[];
}

/**
 * The reading half of a store for all nodes but the watchers.
 *
 * A watcher's answer counts from the moment of its own last proof, so what a
 * node takes for fresh does not depend on whether it read the store itself.
 */
export class RelayedStore implements Pick<LeasedStore, 'list' | 'changes'> {
  readonly #options: RelayedStoreOptions;
  #source = 'store';

  constructor(options: RelayedStoreOptions) {
    this.#options = options;
  }

  async list(prefix: string): Promise<Snapshot> {
    const changes = await this.#ask(undefined);
    if (changes === undefined) return this.#options.store.list(prefix);
    const {events, ...rest} = changes;
    const values = events.flatMap(({key, value, revision}) =>
      value === undefined ? [] : [{key, value, revision}],
    );
    return {values, ...rest};
  }

  async changes(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<ChangeSet> {
    const changes = await this.#ask(after);
    return changes ?? this.#options.store.changes(prefix, after, waitMs);
  }

  /** The first fresh answer of a watcher; undefined if there is none. */
  async #ask(after: number | undefined): Promise<ChangeSet | undefined> {
    const watchers = this.#options.watchers().slice(0, MAX_WATCHERS_ASKED);
    for (const watcher of watchers) {
      const changes = await this.#askOne(watcher, after);
      if (changes === undefined) continue;
      const ageMs = Math.round(changes.ageMs ?? 0);
      this.#noteSource(watcher.id, `its answer is ${ageMs} ms old`);
      return changes;
    }
    this.#noteSource('store', `${watchers.length} watchers gave no answer`);
    return undefined;
  }

  /** @throws HistoryGoneError where the watcher has forgotten that much */
  async #askOne(
    watcher: PeerAddress,
    after: number | undefined,
  ): Promise<ChangeSet | undefined> {
    const {peers, log} = this.#options;
    const options = {timeoutMs: RELAY_TIMEOUT_MS};
    let changes: ChangeSet | undefined;
    try {
      const body = after === undefined ? {} : {after};
      changes = decodeRelayReply(
        await peers.call(watcher, RELAY_METHOD, body, options),
      );
    } catch (err) {
      log.info('watcherFailed', {
        watcher: watcher.id,
        message: err instanceof Error ? err.message : String(err),
      });
      return undefined;
    }
    if (changes === undefined) throw new HistoryGoneError();
    const {ageMs = 0} = changes;
    if (ageMs <= MAX_RELAYED_AGE_MS) return changes;
    log.info('watcherStale', {watcher: watcher.id, ageMs: Math.round(ageMs)});
    return undefined;
  }

  #noteSource(source: string, why: string): void {
    if (source === this.#source) return;
    this.#options.log.info('feedSourceChanged', {
      from: this.#source,
      to: source,
      why,
    });
    this.#source = source;
  }
}
