/** Stub of a VM's admin port. */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {VmRecord} from '../../src/infra/vm-list.js';

/** Returns the response; `hangUp` closes the connection without one. */
export type RouteHandler = (
  body: unknown,
) => {readonly status?: number; readonly body: unknown} | 'hangUp';

/** HTTP server with a handler per `METHOD /path`; records the requests. */
export class StubAdminServer {
  readonly id: string;
  readonly requests: {readonly route: string; readonly body: unknown}[] = [];
  readonly #handlers: ReadonlyMap<string, RouteHandler>;
  readonly #http: Server;
  #port = 0;

  constructor(id: string, handlers: Readonly<Record<string, RouteHandler>>) {
    this.id = id;
    this.#handlers = new Map(Object.entries(handlers));
    this.#http = createServer(async (req, res) => {
      const chunks: Buffer[] = [];
      for await (const chunk of req) chunks.push(chunk as Buffer);
      const text = Buffer.concat(chunks).toString();
      const body: unknown = text === '' ? undefined : JSON.parse(text);
      const {pathname} = new URL(req.url ?? '/', 'http://vm');
      const route = `${req.method} ${pathname}`;
      this.requests.push({route, body});
      const answer = this.#handlers.get(route)?.(body);
      if (answer === 'hangUp') return void req.socket.destroy();
      res.writeHead(answer?.status ?? (answer === undefined ? 404 : 200));
      res.end(JSON.stringify(answer?.body ?? {error: 'no such path'}));
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>(resolve =>
      this.#http.listen(0, '127.0.0.1', resolve),
    );
    this.#port = (this.#http.address() as AddressInfo).port;
  }

  get vm(): VmRecord {
    return {
      id: this.id,
      host: '127.0.0.1',
      peerPort: 1,
      adminPort: this.#port,
      dataCentre: 'hobart',
      state: 'live',
    };
  }

  /** Number of requests for a route. */
  count(route: string): number {
    return this.requests.filter(req => req.route === route).length;
  }

  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this.#http.close(() => resolve());
      this.#http.closeAllConnections();
    });
  }
}
