/** Store adapter for the etcd v3 JSON gateway, using Node's `fetch`. */
import type * as z from 'zod';
import {StoreRefusalError, toStoreError} from './etcd-errors.js';
import {
  encodeBase64,
  encodePrefixRangeEnd,
  keepAliveResponseSchema,
  leaseGrantResponseSchema,
  rangeResponseSchema,
  swapResponseSchema,
  toStoredValue,
} from './etcd-messages.js';
import {
  DEFAULT_WATCH_TIMEOUT_MS,
  WatchdogTimer,
  readWatch,
} from './etcd-watch.js';
import {
  StoreError,
  type Store,
  type StoreFailureKind,
  type StoredValue,
  type SwapResult,
  type WatchItem,
} from './store.js';

/** Default time limit of one call. */
export const DEFAULT_CALL_TIMEOUT_MS = 2_000;

const READ_ATTEMPTS = 2;
const HTTP_NOT_FOUND = 404;

/** Options of an {@link EtcdStore}. */
export interface EtcdStoreOptions {
  /** Base URL, such as `http://127.0.0.1:2379`. */
  readonly url: string;
  readonly timeoutMs?: number;
  /** Time without data after which a watch fails. */
  readonly watchTimeoutMs?: number;
}

/**
 * A store in etcd. Reads are attempted twice; writes once, because if their
 * answer is lost, they may have taken effect.
 *
 * @example
 * const store = new EtcdStore({url: 'http://127.0.0.1:2379'});
 * const config = await store.get('zinnia/config');
 */
export class EtcdStore implements Store {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #watchTimeoutMs: number;

  constructor(options: EtcdStoreOptions) {
    this.#url = options.url.replace(/\/$/, '');
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    this.#watchTimeoutMs = options.watchTimeoutMs ?? DEFAULT_WATCH_TIMEOUT_MS;
  }

  async get(key: string): Promise<StoredValue | undefined> {
    const [value] = await this.#range({key: encodeBase64(key)});
    return value;
  }

  async list(prefix: string): Promise<readonly StoredValue[]> {
    return this.#range({
      key: encodeBase64(prefix),
      range_end: encodePrefixRangeEnd(prefix),
    });
  }

  async compareAndSwap(
    key: string,
    expected: number,
    value: string,
  ): Promise<SwapResult> {
    const encodedKey = encodeBase64(key);
    const request = {
      compare: [
        {target: 'MOD', key: encodedKey, mod_revision: String(expected)},
      ],
      success: [{request_put: {key: encodedKey, value: encodeBase64(value)}}],
      failure: [{request_range: {key: encodedKey}}],
    };
    const answer = await this.#write('/v3/kv/txn', request, swapResponseSchema);
    if (answer.succeeded) {
      return {kind: 'swapped', revision: answer.header.revision};
    }
    const [entry] = answer.responses[0]?.response_range?.kvs ?? [];
    const current = entry === undefined ? undefined : toStoredValue(entry);
    return {kind: 'conflict', current};
  }

  async *watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchItem> {
    const watchdog = new WatchdogTimer(this.#watchTimeoutMs);
    const request = {
      create_request: {
        key: encodeBase64(prefix),
        range_end: encodePrefixRangeEnd(prefix),
        start_revision: String(fromRevision),
        progress_notify: true,
      },
    };
    watchdog.restart();
    try {
      const res = await this.#fetch(
        '/v3/watch',
        request,
        AbortSignal.any([signal, watchdog.signal]),
      );
      if (res.body === null) throw new Error('the answer has no body');
      yield* readWatch(res.body, watchdog);
    } catch (err) {
      if (signal.aborted) return;
      const reason: unknown = watchdog.signal.reason ?? err;
      throw toStoreError(reason, 'notSent', 'the watch');
    } finally {
      watchdog.stop();
    }
  }

  async grantLease(ttlMs: number): Promise<string> {
    const request = {TTL: String(Math.ceil(ttlMs / 1000))};
    const answer = await this.#write(
      '/v3/lease/grant',
      request,
      leaseGrantResponseSchema,
    );
    return answer.ID;
  }

  async keepAlive(leaseId: string): Promise<boolean> {
    const answer = await this.#write(
      '/v3/lease/keepalive',
      {ID: leaseId},
      keepAliveResponseSchema,
    );
    return answer.result.TTL > 0;
  }

  async revokeLease(leaseId: string): Promise<void> {
    try {
      await this.#call('/v3/lease/revoke', {ID: leaseId}, 'unknown');
    } catch (err) {
      if (isNotFound(err)) return;
      throw err;
    }
  }

  async #range(request: object): Promise<readonly StoredValue[]> {
    const result = rangeResponseSchema.safeParse(await this.#read(request));
    if (result.success) return result.data.kvs.map(toStoredValue);
    throw new StoreError('notSent', '/v3/kv/range answered in an unknown form');
  }

  async #read(request: object): Promise<unknown> {
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await this.#call('/v3/kv/range', request, 'notSent');
      } catch (err) {
        if (attempt === READ_ATTEMPTS) throw err;
      }
    }
  }

  async #write<Schema extends z.ZodType>(
    path: string,
    request: object,
    schema: Schema,
  ): Promise<z.infer<Schema>> {
    const answer = await this.#call(path, request, 'unknown');
    const result = schema.safeParse(answer);
    if (result.success) return result.data;
    throw new StoreError('unknown', `${path} answered in an unknown form`);
  }

  async #call(
    path: string,
    request: object,
    failureKind: StoreFailureKind,
  ): Promise<unknown> {
    try {
      const timeout = AbortSignal.timeout(this.#timeoutMs);
      const res = await this.#fetch(path, request, timeout, failureKind);
      return await res.json();
    } catch (err) {
      throw toStoreError(err, failureKind, path);
    }
  }

  async #fetch(
    path: string,
    request: object,
    signal: AbortSignal,
    failureKind: StoreFailureKind = 'notSent',
  ): Promise<Response> {
    const res = await fetch(this.#url + path, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(request),
      signal,
    });
    if (res.ok) return res;
    const text = await res.text();
    const message = `${path} was refused with ${res.status}: ${text}`;
    throw new StoreRefusalError(res.status, failureKind, message);
  }
}

function isNotFound(err: unknown): boolean {
  return err instanceof StoreRefusalError && err.status === HTTP_NOT_FOUND;
}
