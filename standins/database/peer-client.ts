/** Requests to the group's other databases. */
import http from 'node:http';
import type {PeerAddress} from './options.js';

/** Names the asking database, so that a partition can stop it. */
export const DATABASE_HEADER = 'x-database';

const REQUEST_TIMEOUT_MS = 400;

/** Sends requests to peers, except to those cut off by a partition. */
export class PeerClient {
  readonly #id: string;
  readonly #requests = new Set<http.ClientRequest>();
  readonly #agent = new http.Agent({keepAlive: true});
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
    const req = http.get({
      host: peer.host,
      port: peer.adminPort,
      path,
      headers: {[DATABASE_HEADER]: this.#id},
      agent: this.#agent,
    });
    const timer = setTimeout(() => req.destroy(), REQUEST_TIMEOUT_MS);
    this.#requests.add(req);
    try {
      const body = JSON.parse(await readAnswer(req)) as T;
      return this.isBlocked(peer.id) ? undefined : body;
    } catch {
      return undefined;
    } finally {
      clearTimeout(timer);
      this.#requests.delete(req);
    }
  }

  /** Gives up the requests under way. */
  abort(): void {
    for (const req of this.#requests) req.destroy();
  }

  close(): void {
    this.#closed = true;
    this.abort();
    this.#agent.destroy();
  }
}

/** The body of a successful answer; rejects on any other outcome. */
function readAnswer(req: http.ClientRequest): Promise<string> {
  return new Promise((resolve, reject) => {
    req.on('error', reject);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () => {
        if (res.statusCode === 200) resolve(Buffer.concat(chunks).toString());
        else reject(new Error(`the peer answered ${res.statusCode}`));
      });
    });
  });
}
