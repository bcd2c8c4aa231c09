/**
 * Follows every key of the store and proves how fresh its picture is.
 *
 * A watch that stays silent proves nothing: the store may have muted it, or
 * have dropped its history. The picture is therefore renewed by short polls,
 * each of which says up to which revision it reaches, and counts as fresh from
 * the moment at which the last answered poll was sent.
 */
import {
  earlierBy,
  elapsedSince,
  takeInstant,
  type Instant,
} from '../membership/elapsed.js';
import type {Clock} from '../infra/clock.js';
import {
  HistoryGoneError,
  type HandedOn,
  type LeasedStore,
} from '../infra/leased-store.js';
import type {StoredValue} from '../infra/store.js';
import type {Logger} from '../telemetry/log.js';

/**
 * Longest wait of one poll. A poll proves the moment at which it was sent, so
 * the picture of a watcher is at most two waits old, and those of the nodes
 * that ask it three.
 */
const POLL_WAIT_MS = 500;
/**
 * Shortest time between two polls. Databases renew their entries each second,
 * so that every poll would be answered at once; a sixth of the usual bound for
 * a change is left to the wait.
 */
const POLL_SPACING_MS = 500;
/** The same at first, while nodes that started together find one another. */
const FIRST_SPACING_MS = 100;
const FIRST_MS = 5_000;
/** A failed poll is repeated after this long, doubled up to the limit. */
const RETRY_MS = 100;
const MAX_RETRY_MS = 500;
/**
 * Polls ask again for what was covered this long ago, so that changes which
 * muted polls passed over are delivered, or their loss is noticed. It leaves
 * half of the usual bound on a withdrawn key.
 */
const REPEATED_MS = 2_000;

/** One change of the picture. */
export interface FeedChange {
  readonly key: string;
  /** Undefined where the key was removed. */
  readonly value: string | undefined;
  readonly revision: number;
}

/** What a feed is built from. */
export interface StoreFeedOptions {
  readonly store: Pick<LeasedStore, 'list' | 'changes'>;
  readonly clock: Clock;
  readonly log: Logger;
  /** The keys to follow. */
  readonly prefix: string;
  /** Called with each change, oldest first. Must not throw. */
  readonly onChange: (change: FeedChange) => void;
}

/**
 * @example
 * const feed = new StoreFeed({store, clock, log, prefix: '', onChange});
 * void feed.run(signal);
 * if (feed.ageMs() > limitMs) refuse();
 */
export class StoreFeed {
  readonly #options: StoreFeedOptions;
  readonly #revisions = new Map<string, number>();
  /** Revisions that answers reached, the oldest first. */
  readonly #covered: {readonly asOf: number; readonly at: number}[] = [];
  #provenAt: Instant | undefined;
  #interruptedAt: Instant | undefined;
  #isFailing = false;
  #firstAt = 0;

  constructor(options: StoreFeedOptions) {
    this.#options = options;
  }

  /** Age of the youngest proof that the picture was complete. */
  ageMs(): number {
    if (this.#provenAt === undefined) return Infinity;
    return Math.max(0, elapsedSince(this.#options.clock, this.#provenAt));
  }

  /** The revision up to which nothing was passed over; undefined at first. */
  get confirmedRevision(): number | undefined {
    return this.#covered[0]?.asOf;
  }

  /** Milliseconds since a poll last failed; infinite if none did. */
  sinceInterruptionMs(): number {
    if (this.#interruptedAt === undefined) return Infinity;
    return elapsedSince(this.#options.clock, this.#interruptedAt);
  }

  /** Follows the store until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.#options;
    this.#firstAt = clock.now();
    let failures = 0;
    while (!signal.aborted) {
      try {
        const startedAt = clock.now();
        if (this.#covered.length === 0) await this.#readAll();
        else await this.#poll();
        failures = 0;
        this.#noteContact();
        await this.#pace(startedAt, signal);
      } catch (err) {
        if (err instanceof HistoryGoneError) {
          this.#covered.length = 0;
          this.#options.log.info('storeHistoryGone', {
            prefix: this.#options.prefix,
          });
          continue;
        }
        this.#noteFailure(err);
        const retryMs = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** failures++);
        await clock.sleep(retryMs, signal);
      }
    }
  }

  /** Changes that come one by one are fetched together. */
  async #pace(startedAt: number, signal: AbortSignal): Promise<void> {
    if (this.#isUrgent) return;
    const {clock} = this.#options;
    const isNew = startedAt - this.#firstAt < FIRST_MS;
    const spacingMs = isNew ? FIRST_SPACING_MS : POLL_SPACING_MS;
    const restMs = startedAt + spacingMs - clock.now();
    if (restMs > 0) await clock.sleep(restMs, signal);
  }

  /** After a failure the age of the picture is what matters. */
  get #isUrgent(): boolean {
    return this.#isFailing || this.#covered.length < 2;
  }

  async #readAll(): Promise<void> {
    const {store, clock, prefix} = this.#options;
    const sentAt = takeInstant(clock);
    const {values, asOf, ...handedOn} = await store.list(prefix);
    this.#replaceAll(values, asOf);
    this.#covered.length = 0;
    this.#noteCovered(asOf);
    this.#noteProof(sentAt, handedOn);
  }

  async #poll(): Promise<void> {
    const {store, clock, prefix} = this.#options;
    const sentAt = takeInstant(clock);
    const after = this.confirmedRevision ?? 0;
    const waitMs = this.#isUrgent ? 0 : POLL_WAIT_MS;
    const {events, asOf, ...handedOn} = await store.changes(
      prefix,
      after,
      waitMs,
    );
    for (const event of events) this.#apply(event);
    this.#noteCovered(asOf);
    this.#noteProof(sentAt, handedOn);
  }

  #noteCovered(asOf: number): void {
    const at = this.#options.clock.now();
    this.#covered.push({asOf, at});
    while ((this.#covered[1]?.at ?? at) <= at - REPEATED_MS) {
      this.#covered.shift();
    }
  }

  /** An answer that was handed on proves as much as its giver knew. */
  #noteProof(sentAt: Instant, {ageMs = 0, interruptedMsAgo}: HandedOn): void {
    const provenAt = earlierBy(sentAt, ageMs);
    const known = this.#provenAt;
    if (known === undefined || provenAt.monotonicMs > known.monotonicMs) {
      this.#provenAt = provenAt;
    }
    if (interruptedMsAgo === undefined) return;
    if (interruptedMsAgo > this.sinceInterruptionMs()) return;
    this.#interruptedAt = earlierBy(sentAt, interruptedMsAgo);
  }

  #replaceAll(values: readonly StoredValue[], asOf: number): void {
    const listed = new Set(values.map(({key}) => key));
    for (const key of [...this.#revisions.keys()]) {
      if (listed.has(key)) continue;
      this.#apply({key, value: undefined, revision: asOf});
    }
    for (const value of values) this.#apply(value);
  }

  #apply(change: FeedChange): void {
    const {key, value, revision} = change;
    if (revision <= (this.#revisions.get(key) ?? 0)) return;
    this.#revisions.set(key, revision);
    this.#options.onChange({key, value, revision});
  }

  #noteContact(): void {
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#options.log.info('storeRegained', {ageMs: Math.round(this.ageMs())});
  }

  #noteFailure(err: unknown): void {
    this.#interruptedAt = takeInstant(this.#options.clock);
    if (this.#isFailing) return;
    this.#isFailing = true;
    this.#options.log.warn('storeLost', {
      message: err instanceof Error ? err.message : String(err),
      provenMsAgo: Math.round(this.ageMs()),
    });
  }
}
