/** Relays the store's changes from a watcher to the other nodes. */
import * as z from 'zod';
import type {Clock} from '../infra/clock.js';
import type {ChangeSet} from '../infra/leased-store.js';
import type {FeedChange, StoreFeed} from './store-feed.js';

/** Peer method by which nodes request changes from a watcher. */
export const RELAY_METHOD = 'feed.changes';
/** Removals are kept for longer than a running node goes between two requests. */
const REMOVAL_RETENTION_MS = 60_000;

const requestSchema = z.object({after: z.int().optional()});
const replySchema = z.union([
  z.object({isGone: z.literal(true)}),
  z.object({
    changes: z.array(
      z.tuple([z.string(), z.union([z.string(), z.null()]), z.int()]),
    ),
    asOf: z.int(),
    ageMs: z.number(),
    interruptedMsAgo: z.union([z.number(), z.null()]),
  }),
]);

/** A watcher's reply. */
export type RelayReply = z.infer<typeof replySchema>;

/** The part of the node's own store feed that the relay reads. */
export type RelayedFeed = Pick<
  StoreFeed,
  'ageMs' | 'confirmedRevision' | 'sinceInterruptionMs'
>;

/**
 * Decodes a watcher's reply; undefined if the watcher no longer has the
 * requested history. Throws if the reply is malformed.
 */
export function decodeRelayReply(body: unknown): ChangeSet | undefined {
  const reply = replySchema.parse(body);
  if ('isGone' in reply) return undefined;
  const {changes, asOf, ageMs, interruptedMsAgo} = reply;
  const events = changes.map(([key, value, revision]) => ({
    key,
    value: value ?? undefined,
    revision,
  }));
  return {
    events,
    asOf,
    ageMs,
    interruptedMsAgo: interruptedMsAgo ?? undefined,
  };
}

/**
 * Keeps the latest change of each key and serves it to the other nodes. The
 * caller leaves out renewals that change no value: they are most of the
 * changes that the store sends.
 *
 * @example
 * relay.recordChange(change);
 * const reply = relay.serve({after: 1207});
 */
export class FeedRelay {
  readonly #clock: Clock;
  readonly #feed: RelayedFeed;
  readonly #changes = new Map<string, FeedChange>();
  readonly #removedAt = new Map<string, number>();
  /** Removals up to this revision may have been discarded. */
  #compactedRevision = 0;

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
   * Returns the changes after the requested revision, or all current values if
   * the request names none.
   *
   * @throws Error while this node's copy of the store is incomplete: before its
   *   first read, or after the store discarded the history it needed
   */
  serve(body: unknown): RelayReply {
    const {after} = requestSchema.parse(body);
    const asOf = this.#feed.confirmedRevision;
    if (asOf === undefined) throw new Error('this node has no picture yet');
    this.#compactRemovals();
    if (after !== undefined && after < this.#compactedRevision) {
      return {isGone: true};
    }
    const changes = [...this.#changes.values()]
      .filter(({revision}) => revision > (after ?? 0))
      .filter(({value}) => after !== undefined || value !== undefined)
      .toSorted((a, b) => a.revision - b.revision)
      .map(({key, value, revision}): [string, string | null, number] => [
        key,
        value ?? null,
        revision,
      ]);
    const sinceMs = this.#feed.sinceInterruptionMs();
    return {
      changes,
      asOf,
      ageMs: this.#feed.ageMs(),
      interruptedMsAgo: Number.isFinite(sinceMs) ? sinceMs : null,
    };
  }

  #compactRemovals(): void {
    const oldest = this.#clock.now() - REMOVAL_RETENTION_MS;
    for (const [key, at] of this.#removedAt) {
      if (at >= oldest) continue;
      const revision = this.#changes.get(key)?.revision ?? 0;
      this.#compactedRevision = Math.max(this.#compactedRevision, revision);
      this.#changes.delete(key);
      this.#removedAt.delete(key);
    }
  }
}
