/** Accepts connections from other nodes and serves their calls. */

import {createServer, type AddressInfo, type Server} from 'node:net';
import {SystemClock, type Clock} from '../infra/clock.js';
import {DEFAULT_MAX_FRAME_BYTES} from './framing.js';
import {ignorePeerLog, type PeerLog} from './peer-log.js';
import {ignorePeerTraffic, type PeerTraffic} from './peer-traffic.js';
import {ServerConnection} from './server-connection.js';
import type {PeerAddress, PeerHandler} from './types.js';

/** Default time that a graceful close waits for running calls. */
export const DEFAULT_CLOSE_GRACE_MS = 30_000;

/** Options of a {@link PeerServer}. */
export interface PeerServerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  /** VM id of this node. */
  readonly self: string;
  /** Handlers by method; may grow while the server runs. */
  readonly handlers: ReadonlyMap<string, PeerHandler>;
  /** Secret that all nodes share; clients must prove that they know it. */
  readonly peerSecret?: string;
  readonly clock?: Clock;
  readonly maxFrameBytes?: number;
  readonly log?: PeerLog;
  /** Counts the bytes sent. */
  readonly traffic?: PeerTraffic;
}

/** TCP server for calls from other nodes. */
export class PeerServer {
  readonly #server: Server;
  readonly #options: PeerServerOptions;
  readonly #clock: Clock;
  #port: number;
  readonly #connections = new Map<ServerConnection, Promise<void>>();

  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#port = options.port;
    this.#clock = options.clock ?? new SystemClock();
    this.#server = createServer({noDelay: true}, socket =>
      this.#accept(
        new ServerConnection(socket, {
          self: options.self,
          handlers: options.handlers,
          clock: this.#clock,
          maxFrameBytes: options.maxFrameBytes ?? DEFAULT_MAX_FRAME_BYTES,
          peerSecret: options.peerSecret,
          log: options.log ?? ignorePeerLog,
          traffic: options.traffic ?? ignorePeerTraffic,
        }),
      ),
    );
  }

  /** Address of the server; its port is final once `listen` resolves. */
  get address(): PeerAddress {
    const {self, host} = this.#options;
    return {id: self, host, port: this.#port};
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Starts listening; resolves once the port is open. */
  listen(): Promise<void> {
    const {host, port} = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
        this.#server.off('error', reject);
        this.#server.on('error', () => {});
        this.#port = (this.#server.address() as AddressInfo).port;
        resolve();
      });
    });
  }

  /**
   * Accepts no new connections, waits up to `graceMs` for running calls, then
   * closes the connections that are left.
   */
  async close(graceMs = DEFAULT_CLOSE_GRACE_MS): Promise<void> {
    this.#server.close();
    for (const connection of this.#connections.keys()) connection.drain();
    const ended = Promise.all(this.#connections.values());
    const done = new AbortController();
    await Promise.race([ended, this.#clock.sleep(graceMs, done.signal)]);
    done.abort();
    for (const connection of this.#connections.keys()) {
      connection.close('this node is closing');
    }
    await ended;
  }

  #accept(connection: ServerConnection): void {
    const ended = connection
      .run()
      .finally(() => this.#connections.delete(connection));
    this.#connections.set(connection, ended);
  }
}

/**
 * Creates a server and starts listening.
 *
 * @example
 * const handlers = new Map([['echo', async (body: unknown) => body]]);
 * const server = await createPeerServer({host, port: 0, self: 'vm-1', handlers});
 * await pool.call(server.address, 'echo', 'hi', {timeoutMs: 500});
 */
export async function createPeerServer(
  options: PeerServerOptions,
): Promise<PeerServer> {
  const server = new PeerServer(options);
  await server.listen();
  return server;
}
