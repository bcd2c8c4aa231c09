/** Relays the store's changes from a watcher to the other nodes. */
import type {Clock} from '../infra/clock.js';
import {
  compareStorePositions,
  HISTORY_START,
  type StorePosition,
} from '../infra/store-position.js';
import {
  compressValue,
  type CompressedValue,
  decodeRelayRequest,
  type RelayReply,
  type RelayRequest,
  type SentChanges,
  type SentValue,
} from './relay-messages.js';
import type {FeedChange, StoreFeed} from './store-feed.js';

/** Removals are kept for longer than a running node goes between two requests. */
const REMOVAL_RETENTION_MS = 60_000;

/** A recorded change and its compressed value, if a requester has needed it. */
interface RecordedChange extends FeedChange {
  compressed?: CompressedValue | undefined;
}

/** The part of the node's own store feed that the relay reads. */
export type RelayedFeed = Pick<
  StoreFeed,
  'ageMs' | 'confirmedPosition' | 'latestPosition' | 'sinceInterruptionMs'
>;

/**
 * Keeps the latest change of each key and serves it to the other nodes. The
 * caller leaves out renewals that change no value: they are most of the
 * changes that the store sends.
 *
 * @example
 * relay.recordChange(change);
 * const reply = relay.serve({after: 1207, era: 0});
 */
export class FeedRelay {
  readonly #clock: Clock;
  readonly #feed: RelayedFeed;
  readonly #changes = new Map<string, RecordedChange>();
  readonly #removedAt = new Map<string, number>();
  /** Removals up to this position may have been discarded. */
  #compacted = HISTORY_START;

  constructor(clock: Clock, feed: RelayedFeed) {
    this.#clock = clock;
    this.#feed = feed;
  }

  /** Records a change of a key's value. */
  recordChange(change: FeedChange): void {
    this.#changes.set(change.key, {...change});
    if (change.value !== undefined) this.#removedAt.delete(change.key);
    else this.#removedAt.set(change.key, this.#clock.now());
  }

  /**
   * Relays the value last recorded for a key as if it had been written at this
   * position: the store repeats an older value there, which is not used.
   */
  keepValue(key: string, at: StorePosition): void {
    const kept = this.#changes.get(key);
    if (kept !== undefined) this.recordChange({...kept, at});
  }

  /** The era of a key's recorded change; undefined if there is none. */
  eraOf(key: string): number | undefined {
    return this.#changes.get(key)?.at.era;
  }

  /**
   * Returns the changes after the requested revision, or all current values if
   * the request names none. Of changes that the requester should have been sent
   * before, it names key and revision only, and the requester requests in full
   * what it lacks.
   *
   * @throws Error while this node's copy of the store is incomplete: before its
   *   first read, or after the store discarded the history it needed
   */
  serve(body: unknown): RelayReply {
    const request = decodeRelayRequest(body);
    const {after: revision, era: requestedEra} = request;
    const asOf = this.#feed.confirmedPosition;
    if (asOf === undefined) throw new Error('this node has no picture yet');
    this.#compactRemovals();
    const after =
      revision === undefined ? undefined : {era: requestedEra, revision};
    if (after !== undefined && !this.#hasChangesAfter(after, asOf)) {
      return {isGone: true};
    }
    const sinceMs = this.#feed.sinceInterruptionMs();
    return {
      ...this.#select(request, after),
      asOf: asOf.revision,
      upTo: (this.#feed.latestPosition ?? asOf).revision,
      era: asOf.era,
      ageMs: this.#feed.ageMs(),
      interruptedMsAgo: Number.isFinite(sinceMs) ? sinceMs : null,
    };
  }

  /** The changes to send in full, and those to name by key and revision. */
  #select(
    {keys, known, era, deflate}: RelayRequest,
    after: StorePosition | undefined,
  ): SentChanges {
    const selected = [...this.#changes.values()]
      .filter(({key}) => keys === undefined || keys.includes(key))
      .filter(({at}) => compareStorePositions(at, after ?? HISTORY_START) > 0)
      .filter(({value}) => after !== undefined || value !== undefined)
      .toSorted((a, b) => compareStorePositions(a.at, b.at));
    // A removal is as short as its mention.
    const isHeld = ({at, value}: FeedChange) =>
      value !== undefined &&
      known !== undefined &&
      compareStorePositions(at, {era, revision: known}) <= 0;
    return {
      changes: selected
        .filter(change => !isHeld(change))
        .map(change => [
          change.key,
          valueToSend(change, deflate),
          change.at.revision,
        ]),
      held: selected.filter(isHeld).map(({key, at}) => [key, at.revision]),
    };
  }

  /** False if the requester must list everything. */
  #hasChangesAfter(after: StorePosition, asOf: StorePosition): boolean {
    if (after.era < asOf.era) return false;
    return compareStorePositions(after, this.#compacted) >= 0;
  }

  #compactRemovals(): void {
    const oldest = this.#clock.now() - REMOVAL_RETENTION_MS;
    for (const [key, at] of this.#removedAt) {
      if (at >= oldest) continue;
      const removal = this.#changes.get(key)?.at ?? HISTORY_START;
      if (compareStorePositions(removal, this.#compacted) > 0) {
        this.#compacted = removal;
      }
      this.#changes.delete(key);
      this.#removedAt.delete(key);
    }
  }
}

/** Compresses each value once, however many nodes request it. */
function valueToSend(change: RecordedChange, deflate: boolean): SentValue {
  const {value} = change;
  if (value === undefined) return null;
  if (!deflate) return value;
  change.compressed ??= compressValue(value);
  return change.compressed ?? value;
}
