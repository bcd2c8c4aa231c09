/** What a watcher hands on of the store's changes. */
import * as z from 'zod';
import type {Clock} from '../infra/clock.js';
import type {ChangeSet} from '../infra/leased-store.js';
import type {FeedChange, StoreFeed} from './store-feed.js';

/** The peer method by which nodes ask a watcher. */
export const RELAY_METHOD = 'feed.changes';
/** Removals are remembered for longer than any node goes without asking. */
const KEEP_REMOVALS_MS = 60_000;

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

/** A watcher's answer. */
export type RelayReply = z.infer<typeof replySchema>;

/** What a relay must know of its node's own feed. */
export type RelayedFeed = Pick<
  StoreFeed,
  'ageMs' | 'confirmedRevision' | 'sinceInterruptionMs'
>;

/**
 * Reads a watcher's answer; undefined where it has forgotten what was asked
 * for. Throws if it is no answer.
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
 * Keeps the last change of each key that said something new. Renewals of an
 * unchanged entry are left out: they are most of what the store sends.
 *
 * @example
 * relay.note(change);
 * const reply = relay.serve({after: 1207});
 */
export class FeedRelay {
  readonly #clock: Clock;
  readonly #feed: RelayedFeed;
  readonly #changes = new Map<string, FeedChange>();
  readonly #removedAt = new Map<string, number>();
  /** Removals up to this revision have been forgotten. */
  #forgottenUpTo = 0;

  constructor(clock: Clock, feed: RelayedFeed) {
    this.#clock = clock;
    this.#feed = feed;
  }

  /** Takes a change that said something new. */
  note(change: FeedChange): void {
    this.#changes.set(change.key, change);
    if (change.value !== undefined) this.#removedAt.delete(change.key);
    else this.#removedAt.set(change.key, this.#clock.now());
  }

  /**
   * Answers what changed after a revision, or everything without one.
   *
   * @throws Error while the picture here is not complete
   */
  serve(body: unknown): RelayReply {
    const {after} = requestSchema.parse(body);
    const asOf = this.#feed.confirmedRevision;
    if (asOf === undefined) throw new Error('this node has no picture yet');
    this.#forgetRemovals();
    if (after !== undefined && after < this.#forgottenUpTo) {
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

  #forgetRemovals(): void {
    const oldest = this.#clock.now() - KEEP_REMOVALS_MS;
    for (const [key, at] of this.#removedAt) {
      if (at >= oldest) continue;
      const revision = this.#changes.get(key)?.revision ?? 0;
      this.#forgottenUpTo = Math.max(this.#forgottenUpTo, revision);
      this.#changes.delete(key);
      this.#removedAt.delete(key);
    }
  }
}
