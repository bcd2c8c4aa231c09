/** Relays the store's changes from a watcher to the other nodes. */
import * as z from 'zod';
import type {Clock} from '../infra/clock.js';
import type {ChangeSet} from '../infra/leased-store.js';
import {
  compareStorePositions,
  HISTORY_START,
  type StorePosition,
} from '../infra/store-position.js';
import type {FeedChange, StoreFeed} from './store-feed.js';

/** Peer method by which nodes request changes from a watcher. */
export const RELAY_METHOD = 'feed.changes';
/** Removals are kept for longer than a running node goes between two requests. */
const REMOVAL_RETENTION_MS = 60_000;

const requestSchema = z.object({
  after: z.int().optional(),
  /** Era of `after`; a store without eras is in era 0. */
  era: z.int().default(0),
});
const replySchema = z.union([
  z.object({isGone: z.literal(true)}),
  z.object({
    changes: z.array(
      z.tuple([z.string(), z.union([z.string(), z.null()]), z.int()]),
    ),
    asOf: z.int(),
    era: z.int().default(0),
    ageMs: z.number(),
    interruptedMsAgo: z.union([z.number(), z.null()]),
  }),
]);

/** A watcher's reply. */
export type RelayReply = z.infer<typeof replySchema>;

/** The part of the node's own store feed that the relay reads. */
export type RelayedFeed = Pick<
  StoreFeed,
  'ageMs' | 'confirmedPosition' | 'sinceInterruptionMs'
>;

/**
 * Decodes a watcher's reply; undefined if the watcher no longer has the
 * requested history. Throws if the reply is malformed.
 */
export function decodeRelayReply(body: unknown): ChangeSet | undefined {
  const reply = replySchema.parse(body);
  if ('isGone' in reply) return undefined;
  const {changes, asOf: revision, era, ageMs, interruptedMsAgo} = reply;
  const events = changes.map(([key, value, revision]) => ({
    key,
    value: value ?? undefined,
    revision,
  }));
  return {
    events,
    asOf: {era, revision},
    ageMs,
    interruptedMsAgo: interruptedMsAgo ?? undefined,
  };
}

/** Encodes a request for the changes after a position, or for all values. */
export function encodeRelayRequest(after: StorePosition | undefined): unknown {
  return after === undefined ? {} : {after: after.revision, era: after.era};
}

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
  readonly #changes = new Map<string, FeedChange>();
  readonly #removedAt = new Map<string, number>();
  /** Removals up to this position may have been discarded. */
  #compacted = HISTORY_START;

  constructor(clock: Clock, feed: RelayedFeed) {
    this.#clock = clock;
    this.#feed = feed;
  }

  /** Records a change of a key's value. */
  recordChange(change: FeedChange): void {
    this.#changes.set(change.key, change);
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
   * the request names none.
   *
   * @throws Error while this node's copy of the store is incomplete: before its
   *   first read, or after the store discarded the history it needed
   */
  serve(body: unknown): RelayReply {
    const {after: revision, era: requestedEra} = requestSchema.parse(body);
    const asOf = this.#feed.confirmedPosition;
    if (asOf === undefined) throw new Error('this node has no picture yet');
    this.#compactRemovals();
    const after =
      revision === undefined ? undefined : {era: requestedEra, revision};
    if (after !== undefined && !this.#hasChangesAfter(after, asOf)) {
      return {isGone: true};
    }
    const changes = [...this.#changes.values()]
      .filter(({at}) => compareStorePositions(at, after ?? HISTORY_START) > 0)
      .filter(({value}) => after !== undefined || value !== undefined)
      .toSorted((a, b) => compareStorePositions(a.at, b.at))
      .map(({key, value, at}): [string, string | null, number] => [
        key,
        value ?? null,
        at.revision,
      ]);
    const sinceMs = this.#feed.sinceInterruptionMs();
    return {
      changes,
      asOf: asOf.revision,
      era: asOf.era,
      ageMs: this.#feed.ageMs(),
      interruptedMsAgo: Number.isFinite(sinceMs) ? sinceMs : null,
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
