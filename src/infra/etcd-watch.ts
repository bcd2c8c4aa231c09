/** Reads a watch stream and detects when the store stops sending. */
import {readLines} from './etcd-lines.js';
import {WatchCompactedError} from './etcd-errors.js';
import {
  toWatchEvents,
  watchResponseSchema,
  type WatchResponse,
} from './etcd-messages.js';
import {StoreError, type WatchItem} from './store.js';

/** Default time without data after which a watch fails. */
export const DEFAULT_WATCH_TIMEOUT_MS = 3_000;

/**
 * Aborts its signal unless it is restarted in time; stopped while the consumer
 * of the watch processes an item.
 */
export class WatchdogTimer {
  readonly #timeoutMs: number;
  readonly #controller = new AbortController();
  #timer: NodeJS.Timeout | undefined;

  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Starts or restarts the timeout. */
  restart(): void {
    this.stop();
    const message = `the store was silent for ${this.#timeoutMs} ms`;
    this.#timer = setTimeout(
      () => this.#controller.abort(new StoreError('notSent', message)),
      this.#timeoutMs,
    );
  }

  stop(): void {
    clearTimeout(this.#timer);
  }
}

/** Yields the items of a watch stream; ends only by throwing. */
export async function* readWatch(
  body: AsyncIterable<Uint8Array>,
  watchdog: WatchdogTimer,
): AsyncIterable<WatchItem> {
  for await (const text of readLines(body)) {
    watchdog.stop();
    const response = watchResponseSchema.parse(JSON.parse(text)).result;
    throwIfCanceled(response);
    // The first line has the store's current revision, but past events are not
    // replayed yet, so it must not be reported as progress.
    if (!response.created) yield toWatchItem(response);
    watchdog.restart();
  }
  throw new StoreError('notSent', 'the store ended the watch');
}

function toWatchItem(response: WatchResponse): WatchItem {
  const events = toWatchEvents(response);
  if (events.length > 0) return {kind: 'events', events};
  return {kind: 'progress', revision: response.header.revision};
}

function throwIfCanceled(response: WatchResponse): void {
  if (response.compact_revision > 0) {
    throw new WatchCompactedError(response.compact_revision);
  }
  if (!response.canceled) return;
  const reason = response.cancel_reason ?? 'no reason given';
  throw new StoreError('notSent', `the store cancelled the watch: ${reason}`);
}
