/** HTTP client for the other databases of the group. */
import http from 'node:http';
import type {PeerAddress} from './options.js';

/** Header with the id of the requesting database; partitions block by it. */
export const DATABASE_HEADER = 'x-database';

const REQUEST_TIMEOUT_MS = 400;

/** Sends requests to peers that no simulated partition blocks. */
export class PeerClient {
  readonly #id: string;
  readonly #requests = new Set<http.ClientRequest>();
  readonly #agent = new http.Agent({keepAlive: true});
  #blocked: ReadonlySet<string> = new Set();
  #closed = false;

  constructor(id: string) {
    this.#id = id;
  }

  /** Replaces the set of blocked peers and aborts the requests in progress. */
  block(ids: readonly string[]): void {
    this.#blocked = new Set(ids);
    this.abort();
  }

  isBlocked(id: string): boolean {
    return this.#blocked.has(id);
  }

  /** Returns the decoded response; undefined if blocked or on any failure. */
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
      const body = JSON.parse(await readResponse(req)) as T;
      return this.isBlocked(peer.id) ? undefined : body;
    } catch {
      return undefined;
    } finally {
      clearTimeout(timer);
      this.#requests.delete(req);
    }
  }

  /** Aborts the requests in progress. */
  abort(): void {
    for (const req of this.#requests) req.destroy();
  }

  close(): void {
    this.#closed = true;
    this.abort();
    this.#agent.destroy();
  }
}

/** Resolves with the body of a response with status 200; rejects otherwise. */
function readResponse(req: http.ClientRequest): Promise<string> {
  return new Promise((resolve, reject) => {
    req.on('error', reject);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () => {
        if (res.statusCode === 200) resolve(Buffer.concat(chunks).toString());
        else reject(new Error(`peer responded with status ${res.statusCode}`));
      });
    });
  });
}
