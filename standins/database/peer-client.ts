/** Requests to the group's other databases. */
import type {PeerAddress} from './options.js';

/** Names the asking database, so that a partition can stop it. */
export const DATABASE_HEADER = 'x-database';

const REQUEST_TIMEOUT_MS = 400;

/** Sends requests to peers, except to those cut off by a partition. */
export class PeerClient {
  readonly #id: string;
  readonly #requests = new Set<AbortController>();
  #blocked: ReadonlySet<string> = new Set();
  #closed = false;

  constructor(id: string) {
    this.#id = id;
  }

  /** Exchanges nothing with these peers until the next call. */
  block(ids: readonly string[]): void {
    this.#blocked = new Set(ids);
    this.abort();
  }

  isBlocked(id: string): boolean {
    return this.#blocked.has(id);
  }

  /** The peer's answer; undefined if it gave none. */
  async get<T>(peer: PeerAddress, path: string): Promise<T | undefined> {
    if (this.#closed || this.isBlocked(peer.id)) return undefined;
    const request = new AbortController();
    const timer = setTimeout(() => request.abort(), REQUEST_TIMEOUT_MS);
    this.#requests.add(request);
    try {
      const res = await fetch(`http://${peer.host}:${peer.adminPort}${path}`, {
        headers: {[DATABASE_HEADER]: this.#id},
        signal: request.signal,
      });
      const body = (await res.json()) as T;
      return res.ok && !this.isBlocked(peer.id) ? body : undefined;
    } catch {
      return undefined;
    } finally {
      clearTimeout(timer);
      this.#requests.delete(request);
    }
  }

  /** Gives up the requests under way. */
  abort(): void {
    for (const request of this.#requests) request.abort();
  }

  close(): void {
    this.#closed = true;
    this.abort();
  }
}
