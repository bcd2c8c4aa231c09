/** Servers and pools on the loopback interface, closed after each test. */

import {connect, type Socket} from 'node:net';
import {afterEach} from 'vitest';
import {PeerPool, type PeerPoolOptions} from '../../src/peers/peer-pool.js';
import {
  createPeerServer,
  type PeerServer,
  type PeerServerOptions,
} from '../../src/peers/peer-server.js';
import type {PeerLogEvent} from '../../src/peers/peer-log.js';
import type {PeerHandler} from '../../src/peers/types.js';

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of cleanups.splice(0).reverse()) await close();
});

/** Registers `close` to run after the test, in reverse order. */
export function closeLater(close: () => unknown): void {
  cleanups.push(close);
}

/** Starts a server with the given handlers and collects its log events. */
export async function startServer(
  handlers: Record<string, PeerHandler>,
  options: Partial<PeerServerOptions> = {},
): Promise<{server: PeerServer; events: PeerLogEvent[]}> {
  const events: PeerLogEvent[] = [];
  const server = await createPeerServer({
    host: '127.0.0.1',
    port: 0,
    self: 'vm-b',
    handlers: new Map(Object.entries(handlers)),
    log: event => events.push(event),
    ...options,
  });
  closeLater(() => server.close(0));
  return {server, events};
}

/** Creates a pool for the node `vm-a`. */
export function createPool(options: Partial<PeerPoolOptions> = {}): PeerPool {
  const pool = new PeerPool({self: 'vm-a', ...options});
  closeLater(() => pool.close());
  return pool;
}

/** Opens a TCP connection without a handshake. */
export function connectRaw(port: number): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect({host: '127.0.0.1', port});
    socket.once('connect', () => resolve(socket));
    socket.once('error', reject);
    closeLater(() => socket.destroy());
  });
}

/** Returns a promise and the function that resolves it. */
export function deferred<T = void>(): {
  promise: Promise<T>;
  resolve: (value: T) => void;
} {
  let resolve!: (value: T) => void;
  const promise = new Promise<T>(settle => (resolve = settle));
  return {promise, resolve};
}
