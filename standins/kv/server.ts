/** Stand-in for a metadata store with revisions, leases and long polling. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** A stored item in its JSON form; the value is base64 text. */
interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created_at: number;
  readonly lease: number;
}

/** A change in the store's history. */
type Change =
  | Item
  | {readonly key: string; readonly revision: number; readonly removed: true};

interface Lease {
  readonly ttlMs: number;
  timer: NodeJS.Timeout;
}

/** The response to a call. */
interface Answer {
  readonly status: number;
  readonly body?: unknown;
}

/** A copy from which a store can be restored. */
export interface KvCopy {
  readonly items: ReadonlyMap<string, Item>;
  /** Times to live of the leases, by id. */
  readonly leases: ReadonlyMap<number, number>;
  readonly revision: number;
}

/** Faults that tests inject. */
export interface KvFaults {
  /** Calls get no response. */
  silent: boolean;
  /** Calls get this HTTP status. */
  failWithStatus: number | undefined;
  /** Polls report no changes, so they skip those made meanwhile. */
  muted: boolean;
  /** POST calls take effect but get no response. */
  loseWriteResponses: boolean;
}

/**
 * A running metadata store.
 *
 * @example
 * const store = await KvServer.start();
 * store.put('op/config', JSON.stringify(config));
 */
export class KvServer {
  readonly faults: KvFaults = {
    silent: false,
    failWithStatus: undefined,
    muted: false,
    loseWriteResponses: false,
  };
  /** Sent in place of the era, if set. */
  eraHeader: string | undefined;
  /** Number of calls so far by method and path. */
  readonly calls = new Map<string, number>();
  readonly #server: Server;
  readonly #items = new Map<string, Item>();
  readonly #leases = new Map<number, Lease>();
  readonly #waiting = new Set<() => void>();
  #history: Change[] = [];
  #compactedRevision = 0;
  #revision = 1;
  #nextLease = 100;
  #era = 0;

  private constructor() {
    this.#server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
  }

  static async start(): Promise<KvServer> {
    const store = new KvServer();
    await new Promise<void>(resolve =>
      store.#server.listen(0, '127.0.0.1', resolve),
    );
    return store;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Writes a key directly, regardless of injected faults. */
  put(key: string, value: string): number {
    return this.#put(key, Buffer.from(value).toString('base64'), 0);
  }

  remove(key: string): void {
    this.#remove(key);
  }

  get(key: string): string | undefined {
    const item = this.#items.get(key);
    return item && Buffer.from(item.value, 'base64').toString();
  }

  /** Returns the keys that start with `prefix`. */
  keys(prefix: string): readonly string[] {
    return [...this.#items.keys()].filter(key => key.startsWith(prefix));
  }

  /** Takes a copy from which the store can be restored. */
  takeCopy(): KvCopy {
    const leases = [...this.#leases].map(([id, {ttlMs}]): [number, number] => [
      id,
      ttlMs,
    ]);
    return {
      items: new Map(this.#items),
      leases: new Map(leases),
      revision: this.#revision,
    };
  }

  /**
   * Restores the store from a copy, which raises the era: later changes and
   * leases are lost, and their revisions are given out again.
   */
  restore({items, leases, revision}: KvCopy): void {
    for (const {timer} of this.#leases.values()) clearTimeout(timer);
    this.#leases.clear();
    this.#items.clear();
    for (const [key, item] of items) this.#items.set(key, item);
    for (const [id, ttlMs] of leases) this.#addLease(id, ttlMs);
    this.#revision = revision;
    this.#era += 1;
    this.compact();
  }

  /** Discards the history and wakes waiting polls, which get status 410. */
  compact(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
    this.#notifyWaiters();
  }

  async stop(): Promise<void> {
    for (const {timer} of this.#leases.values()) clearTimeout(timer);
    this.#server.closeAllConnections();
    await new Promise(resolve => this.#server.close(resolve));
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '', 'http://store');
    const name = `${req.method} ${url.pathname.split('/').slice(0, 2).join('/')}`;
    this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    if (this.faults.silent) return;
    if (this.faults.failWithStatus !== undefined) {
      res.statusCode = this.faults.failWithStatus;
      res.end();
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const body =
      text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
    const answer = await this.#answer(name, url, body);
    if (this.faults.loseWriteResponses && req.method === 'POST') return;
    res.statusCode = answer.status;
    res.setHeader('content-type', 'application/json');
    res.setHeader('store-era', this.eraHeader ?? String(this.#era));
    res.end(JSON.stringify(answer.body ?? {}));
  }

  async #answer(
    name: string,
    url: URL,
    body: Record<string, unknown>,
  ): Promise<Answer> {
    const id = Number(url.pathname.split('/')[2]);
    switch (name) {
      case 'GET /kv-range':
        return this.#range(url.searchParams);
      case 'GET /kv-watch':
        return this.#watch(url.searchParams);
      case 'POST /kv-txn':
        return this.#transact(body);
      case 'POST /kv-lease':
        return this.#grant(Number(body['ttl_ms']));
      case 'POST /kv-keep':
        return this.#keepAlive(id);
      case 'DELETE /kv-lease-end':
        this.#endLease(id);
        return {status: 200};
      default:
        return {status: 404};
    }
  }

  #range(query: URLSearchParams): Answer {
    const prefix = query.get('path_prefix') ?? '';
    const items = [...this.#items.values()].filter(({key}) =>
      key.startsWith(prefix),
    );
    const body = {items, has_more: false, as_of: this.#revision};
    return {status: 200, body};
  }

  async #watch(query: URLSearchParams): Promise<Answer> {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after'));
    const deadline = Date.now() + Number(query.get('wait_ms'));
    for (;;) {
      const isKnown =
        after >= this.#compactedRevision && after <= this.#revision;
      if (!isKnown) return {status: 410};
      const events = this.faults.muted
        ? []
        : this.#history.filter(
            change => change.revision > after && change.key.startsWith(prefix),
          );
      const remainingMs = deadline - Date.now();
      if (events.length > 0 || remainingMs <= 0) {
        return {status: 200, body: {events, as_of: this.#revision}};
      }
      await this.#waitForChange(remainingMs);
    }
  }

  #transact(body: Record<string, unknown>): Answer {
    const conditions = body['if_revision'] as {key: string; revision: number}[];
    const puts = body['puts'] as {key: string; value: string; lease: number}[];
    const removed = body['remove'] as string[];
    const areConditionsMet = conditions.every(
      ({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!areConditionsMet) {
      const items = conditions.map(
        ({key}) => this.#items.get(key) ?? {key, revision: 0},
      );
      return {status: 412, body: {items}};
    }
    const areLeasesValid = puts.every(
      ({lease}) => lease === 0 || this.#leases.has(lease),
    );
    if (!areLeasesValid) return {status: 404};
    for (const {key, value, lease} of puts) this.#put(key, value, lease);
    for (const key of removed) this.#remove(key);
    return {status: 200, body: {revision: this.#revision}};
  }

  #grant(ttlMs: number): Answer {
    const lease = this.#nextLease++;
    this.#addLease(lease, ttlMs);
    return {status: 200, body: {lease, ttl_ms: ttlMs}};
  }

  #addLease(lease: number, ttlMs: number): void {
    const timer = setTimeout(() => this.#endLease(lease), ttlMs);
    this.#leases.set(lease, {ttlMs, timer});
  }

  #keepAlive(id: number): Answer {
    const lease = this.#leases.get(id);
    if (lease === undefined) return {status: 404};
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#endLease(id), lease.ttlMs);
    return {status: 200, body: {ttl_ms: lease.ttlMs}};
  }

  #endLease(id: number): void {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    for (const {key, lease} of [...this.#items.values()]) {
      if (lease === id) this.#remove(key);
    }
  }

  #put(key: string, value: string, lease: number): number {
    const revision = ++this.#revision;
    const created = this.#items.get(key)?.created_at ?? revision;
    const item = {key, value, revision, created_at: created, lease};
    this.#items.set(key, item);
    this.#history.push(item);
    this.#notifyWaiters();
    return revision;
  }

  #remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#history.push({key, revision: ++this.#revision, removed: true});
    this.#notifyWaiters();
  }

  #notifyWaiters(): void {
    for (const wake of [...this.#waiting]) wake();
  }

  #waitForChange(ms: number): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer);
        this.#waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      this.#waiting.add(done);
    });
  }
}
