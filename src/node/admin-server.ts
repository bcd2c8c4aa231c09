/** The operators' HTTP interface of one node: JSON over a private port. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Logger} from '../telemetry/log.js';

const MAX_BODY_BYTES = 65_536;

/** An answer: a status code and a JSON body. */
export interface AdminAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** What a route receives. */
export interface AdminRequest {
  readonly query: URLSearchParams;
  readonly body: unknown;
}

/** Serves one route, such as `GET /health`. */
export type AdminRoute = (
  req: AdminRequest,
) => AdminAnswer | Promise<AdminAnswer>;

/** Serves routes by method and path. */
export class AdminServer {
  readonly #server: Server;
  readonly #routes: ReadonlyMap<string, AdminRoute>;
  readonly #log: Logger;

  /** @param routes By `METHOD /path`. */
  constructor(routes: ReadonlyMap<string, AdminRoute>, log: Logger) {
    this.#routes = routes;
    this.#log = log;
    this.#server = createServer((req, res) => void this.#serve(req, res));
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Resolves once the port is open. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const answer = await this.#answer(req).catch((err: unknown) => {
      const message = err instanceof Error ? err.message : String(err);
      this.#log.warn('adminRequestFailed', {url: req.url, message});
      return {status: 400, body: {error: message}};
    });
    res.writeHead(answer.status, {'content-type': 'application/json'});
    res.end(`${JSON.stringify(answer.body)}\n`);
  }

  async #answer(req: IncomingMessage): Promise<AdminAnswer> {
    const url = new URL(req.url ?? '/', 'http://node');
    const route = this.#routes.get(`${req.method} ${url.pathname}`);
    if (route === undefined) {
      const known = [...this.#routes.keys()];
      return {status: 404, body: {error: 'no such path', known}};
    }
    return route({query: url.searchParams, body: await readBody(req)});
  }
}

async function readBody(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) {
      throw new Error(`the body is over ${MAX_BODY_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  if (bytes === 0) return undefined;
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}
