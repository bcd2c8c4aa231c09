/** Watches the documents in the store, on the few nodes chosen for it. */

import {elapsedSince, takeInstant} from '../membership/elapsed.js';
import {rankByRendezvous} from '../membership/rendezvous.js';
import type {StoreContact} from '../membership/store-contact.js';
import type {Clock, Random} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import {StoreError, type Store, type WatchItem} from '../infra/store.js';
import {DOCUMENT_NAMES, type Documents} from './documents.js';

/** How often a node that isn't a watcher checks whether it has become one. */
const ROLE_CHECK_MS = 500;

/** How often a watcher checks its watches. */
const SUPERVISE_INTERVAL_MS = 100;

/** A check that is late by more than this means that the process was paused. */
const MIN_PAUSE_MS = 1_000;

/** The watches are reopened if none delivers anything for this long. */
const WATCH_SILENCE_TIMEOUT_MS = 3_000;

/** Timeout of one read. */
const READ_TIMEOUT_MS = 2_000;

const BACKOFF_BASE_MS = 200;
const BACKOFF_MAX_MS = 2_000;

/** The properties of a VM that the choice of watchers depends on. */
export interface WatcherCandidate {
  readonly id: string;
  readonly dataCentre: string;
}

/**
 * Whether a node is a watcher. Watchers are the `perDataCentre` highest ranked
 * VMs of each data centre, and more in rank order until there are `atLeast`.
 *
 * @example
 * isWatcher('vm-1', members.live());
 */
export function isWatcher(
  self: string,
  members: readonly WatcherCandidate[],
  perDataCentre = 1,
  atLeast = 3,
): boolean {
  if (!members.some(vm => vm.id === self)) return members.length === 0;
  const chosen = new Set<string>();
  const counts = new Map<string, number>();
  const ranked = rankByRendezvous('store-watcher', members);
  for (const {id, dataCentre} of ranked) {
    const count = counts.get(dataCentre) ?? 0;
    if (count >= perDataCentre) continue;
    counts.set(dataCentre, count + 1);
    chosen.add(id);
  }
  for (const {id} of ranked) {
    if (chosen.size >= atLeast) break;
    chosen.add(id);
  }
  return chosen.has(self);
}

/** Dependencies and settings of {@link StoreWatcher}. */
export interface StoreWatcherOptions {
  readonly store: Store;
  readonly documents: Documents;
  readonly contact: StoreContact;
  readonly clock: Clock;
  readonly random: Random;
  /** Whether this node is a watcher now. */
  readonly shouldWatch: () => boolean;
  /** Keys to watch; by default all documents. */
  readonly names?: readonly string[];
  /** Called with each failure, before the next attempt. */
  readonly onFailure?: (err: unknown) => void;
}

/** Keeps the documents up to date with the store while this node is a watcher. */
export class StoreWatcher {
  readonly #options: StoreWatcherOptions;
  readonly #names: readonly string[];
  /** When this process was last known to run without a pause. */
  #lastRunAt;
  #lastItemAt;

  constructor(options: StoreWatcherOptions) {
    this.#options = options;
    this.#names = options.names ?? DOCUMENT_NAMES;
    this.#lastRunAt = takeInstant(options.clock);
    this.#lastItemAt = this.#lastRunAt;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, shouldWatch, onFailure} = this.#options;
    let failures = 0;
    while (!signal.aborted) {
      if (!shouldWatch()) {
        await sleepToTick(clock, ROLE_CHECK_MS, signal);
        continue;
      }
      try {
        await this.#follow(signal, () => (failures = 0));
      } catch (err) {
        onFailure?.(err);
        await clock.sleep(this.#backoffMs(failures++), signal);
      }
    }
  }

  /** Reads every document, then watches all of them until one watch ends. */
  async #follow(signal: AbortSignal, onRead: () => void): Promise<void> {
    const ended = new AbortController();
    const end = () => ended.abort();
    signal.addEventListener('abort', end, {once: true});
    try {
      this.#lastRunAt = takeInstant(this.#options.clock);
      await Promise.all(this.#names.map(name => this.#read(name)));
      onRead();
      this.#lastItemAt = takeInstant(this.#options.clock);
      await Promise.race([
        this.#supervise(ended.signal),
        ...this.#names.map(name => this.#watch(name, ended.signal)),
      ]);
    } finally {
      signal.removeEventListener('abort', end);
      end();
    }
  }

  async #read(name: string): Promise<void> {
    const {clock, contact, documents, store} = this.#options;
    const start = takeInstant(clock);
    const value = await this.#withinTimeout(store.get(name));
    contact.recordContact(elapsedSince(clock, start));
    if (value === undefined) return;
    documents.offer(name, value.revision, value.value);
  }

  async #watch(name: string, signal: AbortSignal): Promise<void> {
    const {documents, store} = this.#options;
    const fromRevision = documents.revision(name) + 1;
    for await (const item of store.watch(name, fromRevision, signal)) {
      if (signal.aborted) return;
      this.#accept(name, item);
    }
    if (!signal.aborted)
      throw new StoreError('unknown', 'the store ended the watch');
  }

  /**
   * Ends the watches when this node is no longer a watcher, when no item arrives
   * in time, or after a pause: items received during it may be outdated.
   */
  async #supervise(signal: AbortSignal): Promise<void> {
    const {clock, shouldWatch} = this.#options;
    while (!signal.aborted && shouldWatch()) {
      await sleepToTick(clock, SUPERVISE_INTERVAL_MS, signal);
      if (
        elapsedSince(clock, this.#lastRunAt) >
        SUPERVISE_INTERVAL_MS + MIN_PAUSE_MS
      )
        return;
      this.#lastRunAt = takeInstant(clock);
      if (elapsedSince(clock, this.#lastItemAt) > WATCH_SILENCE_TIMEOUT_MS) {
        throw new StoreError(
          'unknown',
          'the watches delivered nothing in time',
        );
      }
    }
  }

  #accept(name: string, item: WatchItem): void {
    const {clock, contact, documents} = this.#options;
    // The item may have been waiting since this process was last known to run.
    contact.recordContact(elapsedSince(clock, this.#lastRunAt));
    this.#lastItemAt = takeInstant(clock);
    if (item.kind !== 'events') return;
    for (const {key, revision, value} of item.events) {
      if (key === name) documents.offer(name, revision, value ?? null);
    }
  }

  async #withinTimeout<T>(answer: Promise<T>): Promise<T> {
    const done = new AbortController();
    const limit = this.#options.clock
      .sleep(READ_TIMEOUT_MS, done.signal)
      .then(() => {
        throw new StoreError(
          'unknown',
          'the store did not answer the read in time',
        );
      });
    limit.catch(() => {});
    try {
      return await Promise.race([answer, limit]);
    } finally {
      done.abort();
    }
  }

  #backoffMs(failures: number): number {
    const {random} = this.#options;
    const limitMs = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** failures);
    return limitMs * (0.5 + random.next() / 2);
  }
}
