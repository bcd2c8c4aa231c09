/** The end of a caller's connection. */
import type {Duplex} from 'node:stream';

/** How long a caller may take to close its side. */
const LINGER_MS = 2_000;

/**
 * Sends what is left and closes; a caller that does not close its own side, or
 * goes on sending, is cut off.
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
