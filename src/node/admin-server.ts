/** HTTP server for operators: JSON on a port of its own. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Logger} from '../telemetry/log.js';

const MAX_BODY_BYTES = 65_536;

/** Status code and JSON body of a response. */
export interface AdminAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Parsed query and JSON body of a request. */
export interface AdminRequest {
  readonly query: URLSearchParams;
  readonly body: unknown;
}

/** Invalid input in a request; the server responds with 400. */
export class AdminInputError extends Error {
  /**
   * @param field invalid field of the query or the body; `body` for the whole body
   * @param remedy describes valid input
   */
  constructor(
    readonly field: string,
    message: string,
    readonly remedy: string,
  ) {
    super(message);
    this.name = 'AdminInputError';
  }
}

/**
 * Handles one route, such as `GET /health`. Throws {@link AdminInputError} for
 * invalid input; any other error is logged and answered with 500.
 */
export type AdminRoute = (
  req: AdminRequest,
) => AdminAnswer | Promise<AdminAnswer>;

/** Dispatches requests to routes by method and path. */
export class AdminServer {
  readonly #server: Server;
  readonly #routes: ReadonlyMap<string, AdminRoute>;
  readonly #log: Logger;

  /** @param routes handlers keyed by `METHOD /path` */
  constructor(routes: ReadonlyMap<string, AdminRoute>, log: Logger) {
    this.#routes = routes;
    this.#log = log;
    this.#server = createServer((req, res) => void this.#serve(req, res));
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Resolves once the server is listening. */
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
    const {status, text} = await this.#answer(req)
      .then(toText)
      .catch((err: unknown) => toText(this.#toErrorAnswer(req, err)));
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(`${text}\n`);
  }

  async #answer(req: IncomingMessage): Promise<AdminAnswer> {
    const [path = '', query] = (req.url ?? '').split('?', 2);
    const route = this.#routes.get(`${req.method} ${path}`);
    if (route === undefined) {
      const known = [...this.#routes.keys()];
      return {status: 404, body: {error: 'no such path', known}};
    }
    const body = await readBody(req);
    return route({query: new URLSearchParams(query), body});
  }

  #toErrorAnswer(req: IncomingMessage, err: unknown): AdminAnswer {
    if (err instanceof AdminInputError) {
      const {field, message, remedy} = err;
      return {status: 400, body: {error: message, field, remedy}};
    }
    const message = err instanceof Error ? err.message : String(err);
    const route = `${req.method} ${req.url}`;
    this.#log.error('adminRequestFailed', {route, message});
    return {status: 500, body: {error: message}};
  }
}

function toText({status, body}: AdminAnswer) {
  return {status, text: JSON.stringify(body)};
}

async function readBody(req: IncomingMessage): Promise<unknown> {
  const text = await readText(req);
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch {
    throw new AdminInputError('body', 'the body is no JSON', 'send JSON');
  }
}

async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes <= MAX_BODY_BYTES) chunks.push(chunk);
    }
  } catch {
    throw new AdminInputError('body', 'the body broke off', 'send all of it');
  }
  if (bytes <= MAX_BODY_BYTES) return Buffer.concat(chunks).toString('utf8');
  const remedy = `send at most ${MAX_BODY_BYTES} bytes`;
  throw new AdminInputError('body', `the body has ${bytes} bytes`, remedy);
}
