/**
 * Replicates the store's keys by polling and reports how fresh the copy is.
 *
 * An idle watch doesn't prove that nothing has changed: the store may have
 * stopped delivering to it or dropped its history. The feed therefore uses
 * short polls. Each answer states the revision up to which it is complete, and
 * the copy is as fresh as the time at which the last answered poll was sent.
 */
import {
  instantBefore,
  elapsedSince,
  takeInstant,
  type Instant,
} from '../membership/elapsed.js';
import type {Clock} from '../infra/clock.js';
import {
  HistoryGoneError,
  type ChangeSet,
  type LeasedStore,
  type RelayFreshness,
} from '../infra/leased-store.js';
import type {StoredValue} from '../infra/store.js';
import {
  compareStorePositions,
  HISTORY_START,
  type StorePosition,
} from '../infra/store-position.js';
import type {Logger} from '../telemetry/log.js';

/**
 * How long the store may hold one poll open. A poll confirms the state at the
 * time it was sent, so the copy of a watcher is at most two such waits old, and
 * the copies of the nodes that read from it at most three.
 */
const POLL_WAIT_MS = 500;
/**
 * Minimum interval between polls. Databases renew their entries each second, so
 * every poll would otherwise be answered at once. This adds up to a sixth of
 * the usual bound on the delay of a change.
 */
const POLL_SPACING_MS = 500;
/** Minimum interval at startup, while nodes that started together register. */
const STARTUP_SPACING_MS = 100;
const STARTUP_MS = 5_000;
/** Delay before a failed poll is retried, doubled up to the maximum. */
const RETRY_MS = 100;
const MAX_RETRY_MS = 500;
/**
 * Each poll requests the changes of this period again, so that changes missing
 * from earlier answers are delivered late or their loss is noticed. This takes
 * half of the usual time limit for a withdrawn key to take effect.
 */
const POLL_OVERLAP_MS = 2_000;

/** A change of one key. */
export interface FeedChange {
  readonly key: string;
  /** Undefined if the key was removed. */
  readonly value: string | undefined;
  readonly at: StorePosition;
}

/** What a feed has received; a source needn't send it again. */
export interface ReceivedChanges {
  /** Changes up to this position were included in earlier answers. */
  readonly known: StorePosition;
  /** Whether the feed has received this change of a key, or a later one. */
  has(key: string, at: StorePosition): boolean;
}

/** Source of a feed: the store, or another node that relays its changes. */
export interface FeedSource extends Pick<LeasedStore, 'list'> {
  /** As `LeasedStore.changes`; may leave out changes that were received. */
  changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
    received: ReceivedChanges,
  ): Promise<ChangeSet>;
}

/** Dependencies and settings of {@link StoreFeed}. */
export interface StoreFeedOptions {
  readonly store: FeedSource;
  readonly clock: Clock;
  readonly log: Logger;
  /** Prefix of the keys to replicate. */
  readonly prefix: string;
  /** Called with each change, oldest first. Must not throw. */
  readonly onChange: (change: FeedChange) => void;
  /** Returns a number from 0 to 1; `Math.random` by default. */
  readonly random?: () => number;
}

/**
 * Keeps track of the store's keys and reports each change.
 *
 * @example
 * const feed = new StoreFeed({store, clock, log, prefix: '', onChange});
 * void feed.run(signal);
 * if (feed.ageMs() > limitMs) refuse();
 */
export class StoreFeed {
  readonly #options: StoreFeedOptions;
  readonly #positions = new Map<string, StorePosition>();
  /** Positions covered by the answers of the overlap period, oldest first. */
  readonly #covered: {readonly asOf: StorePosition; readonly at: number}[] = [];
  #confirmedAt: Instant | undefined;
  #interruptedAt: Instant | undefined;
  #isFailing = false;
  /** Position of the last answer. */
  #lastAsOf: StorePosition | undefined;
  /** Latest position up to which answers of this era included changes. */
  #latest: StorePosition | undefined;
  #startedAtMs = 0;
  /** Ends the interval between two polls. */
  #endInterval: () => void = () => {};

  constructor(options: StoreFeedOptions) {
    this.#options = options;
  }

  /** Time since the copy was last known to be complete; infinite at first. */
  ageMs(): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return Math.max(0, elapsedSince(this.#options.clock, this.#confirmedAt));
  }

  /**
   * The position up to which the copy is known to be complete, after which
   * polls request changes; undefined until the store has been read.
   */
  get confirmedPosition(): StorePosition | undefined {
    return this.#covered[0]?.asOf;
  }

  /** The latest position that the copy's changes may have. */
  get latestPosition(): StorePosition | undefined {
    return this.#latest;
  }

  /**
   * Milliseconds since a poll last failed, by this node or by the watcher that
   * it reads from; infinite if none did.
   */
  sinceInterruptionMs(): number {
    if (this.#interruptedAt === undefined) return Infinity;
    return elapsedSince(this.#options.clock, this.#interruptedAt);
  }

  /**
   * Polls without waiting for the end of the interval, to learn of a change that
   * this node has made.
   */
  pollSoon(): void {
    this.#endInterval();
  }

  /** Polls the store until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.#options;
    this.#startedAtMs = clock.now();
    let failures = 0;
    while (!signal.aborted) {
      try {
        const startedAt = clock.now();
        if (this.#covered.length === 0) await this.#readAll();
        else await this.#poll();
        failures = 0;
        this.#recordSuccess();
        await this.#waitForNextPoll(startedAt, signal);
      } catch (err) {
        if (err instanceof HistoryGoneError) {
          this.#covered.length = 0;
          this.#options.log.info('storeHistoryGone', {
            prefix: this.#options.prefix,
          });
          continue;
        }
        this.#recordFailure(err);
        const retryMs = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** failures++);
        await clock.sleep(retryMs * this.#spread(), signal);
      }
    }
  }

  /**
   * Spreads the repeated listings of nodes that started together over twice the
   * usual delay, 200 ms at first. Polls are repeated after that delay.
   */
  #spread(): number {
    const {random = Math.random} = this.#options;
    return this.#covered.length === 0 ? 2 * random() : 1;
  }

  /** Spaces polls, so that changes in quick succession are fetched together. */
  async #waitForNextPoll(
    startedAt: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (this.#needsImmediatePoll) return;
    const {clock} = this.#options;
    const isStartup = startedAt - this.#startedAtMs < STARTUP_MS;
    const spacingMs = isStartup ? STARTUP_SPACING_MS : POLL_SPACING_MS;
    const remainingMs = startedAt + spacingMs - clock.now();
    if (remainingMs <= 0) return;
    const interval = new AbortController();
    const end = () => interval.abort();
    this.#endInterval = end;
    signal.addEventListener('abort', end, {once: true});
    await clock.sleep(remainingMs, interval.signal);
    signal.removeEventListener('abort', end);
  }

  /** Whether to poll without delay, to update the copy after a failure or at startup. */
  get #needsImmediatePoll(): boolean {
    return this.#isFailing || this.#covered.length < 2;
  }

  async #readAll(): Promise<void> {
    const {store, clock, prefix} = this.#options;
    const sentAt = takeInstant(clock);
    const {values, asOf, ...relayInfo} = await store.list(prefix);
    this.#noticeRestore(asOf);
    this.#replaceAll(values, asOf);
    this.#covered.length = 0;
    this.#latest = undefined;
    this.#recordCovered(asOf, relayInfo);
    this.#recordConfirmation(sentAt, relayInfo);
  }

  async #poll(): Promise<void> {
    const {store, clock, prefix} = this.#options;
    const sentAt = takeInstant(clock);
    const after = this.confirmedPosition ?? HISTORY_START;
    const waitMs = this.#needsImmediatePoll ? 0 : POLL_WAIT_MS;
    const {events, asOf, ...relayInfo} = await store.changes(
      prefix,
      after,
      waitMs,
      {known: this.#latest ?? after, has: (key, at) => this.#has(key, at)},
    );
    // Revisions of another era don't continue from `after`.
    if (asOf.era !== after.era) throw new HistoryGoneError();
    for (const {key, value, revision} of events) {
      this.#apply({key, value, at: {era: asOf.era, revision}});
    }
    this.#recordCovered(asOf, relayInfo);
    this.#recordConfirmation(sentAt, relayInfo);
  }

  #recordCovered(asOf: StorePosition, {upTo = asOf}: RelayFreshness): void {
    const latest = this.#latest ?? upTo;
    this.#latest = compareStorePositions(upTo, latest) > 0 ? upTo : latest;
    const at = this.#options.clock.now();
    this.#covered.push({asOf, at});
    this.#lastAsOf = asOf;
    while ((this.#covered[1]?.at ?? at) <= at - POLL_OVERLAP_MS) {
      this.#covered.shift();
    }
  }

  /** A relayed answer is only as fresh as the copy of the watcher that sent it. */
  #recordConfirmation(
    sentAt: Instant,
    {ageMs = 0, interruptedMsAgo}: RelayFreshness,
  ): void {
    const confirmedAt = instantBefore(sentAt, ageMs);
    const known = this.#confirmedAt;
    if (known === undefined || confirmedAt.monotonicMs > known.monotonicMs) {
      this.#confirmedAt = confirmedAt;
    }
    if (interruptedMsAgo === undefined) return;
    if (interruptedMsAgo > this.sinceInterruptionMs()) return;
    this.#interruptedAt = instantBefore(sentAt, interruptedMsAgo);
  }

  /**
   * A restore counts as an interruption: what the copy lacks may be written
   * again soon.
   */
  #noticeRestore(asOf: StorePosition): void {
    const before = this.#lastAsOf;
    if (before === undefined || before.era === asOf.era) return;
    this.#interruptedAt = takeInstant(this.#options.clock);
    this.#options.log.warn('copyReadAfterRestore', {
      fromEra: before.era,
      toEra: asOf.era,
      revisionBefore: before.revision,
      revision: asOf.revision,
      keys: this.#positions.size,
      provenMsAgo: Math.round(this.ageMs()),
    });
  }

  #replaceAll(values: readonly StoredValue[], asOf: StorePosition): void {
    const listed = new Set(values.map(({key}) => key));
    for (const key of [...this.#positions.keys()]) {
      if (listed.has(key)) continue;
      this.#apply({key, value: undefined, at: asOf});
    }
    for (const {key, value, revision} of values) {
      this.#apply({key, value, at: {era: asOf.era, revision}});
    }
  }

  #apply(change: FeedChange): void {
    const {key, at} = change;
    if (this.#has(key, at)) return;
    this.#positions.set(key, at);
    this.#options.onChange(change);
  }

  #has(key: string, at: StorePosition): boolean {
    const known = this.#positions.get(key) ?? HISTORY_START;
    return compareStorePositions(at, known) <= 0;
  }

  #recordSuccess(): void {
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#options.log.info('storeRegained', {ageMs: Math.round(this.ageMs())});
  }

  #recordFailure(err: unknown): void {
    this.#interruptedAt = takeInstant(this.#options.clock);
    if (this.#isFailing) return;
    this.#isFailing = true;
    this.#options.log.warn('storeLost', {
      message: err instanceof Error ? err.message : String(err),
      provenMsAgo: Math.round(this.ageMs()),
    });
  }
}
