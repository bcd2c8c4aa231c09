/** Graceful close of a caller's connection. */
import type {Duplex} from 'node:stream';

/** Time after which a connection that the caller keeps open is destroyed. */
const LINGER_MS = 2_000;

/**
 * Sends a last message and pending data, then closes the write side. Further
 * input is discarded, and the socket is destroyed if the caller does not close
 * its own side in time.
 *
 * @example
 * endSocket(socket, errorResponse(fields));
 */
export function endSocket(socket: Duplex, last?: Uint8Array): void {
  if (socket.destroyed) return;
  if (last !== undefined) socket.write(last);
  socket.end();
  socket.removeAllListeners('readable');
  socket.resume();
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once('close', () => clearTimeout(timer));
}
