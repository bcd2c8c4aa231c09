/** Stand-in for the platform service that executes failover orders. */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Executes an order; returns false to refuse it with status 409. */
export type OrderHandler = (order: {
  readonly group: string;
  readonly id: string;
  readonly token: number;
  readonly holder: string;
}) => boolean;

/** HTTP server for failover orders. */
export class FailoverOrderServer {
  readonly #server: Server;

  private constructor(handle: OrderHandler) {
    this.#server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on('data', (chunk: Buffer) => chunks.push(chunk));
      req.on('end', () => {
        const body = JSON.parse(Buffer.concat(chunks).toString()) as {
          service: string;
          id: string;
        };
        const isDone = handle({
          group: body.service,
          id: body.id,
          token: Number(req.headers['fencing-token']),
          holder: String(req.headers['duty-holder']),
        });
        res.statusCode = isDone ? 200 : 409;
        res.end();
      });
    });
  }

  static async start(handle: OrderHandler): Promise<FailoverOrderServer> {
    const duties = new FailoverOrderServer(handle);
    await new Promise<void>(resolve =>
      duties.#server.listen(0, '127.0.0.1', resolve),
    );
    return duties;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise(resolve => this.#server.close(resolve));
  }
}
