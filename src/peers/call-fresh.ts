/** Calls over a connection made for the one call. */

import type {FreshPeerCaller} from './peer-pool.js';
import type {CallOptions, PeerAddress} from './types.js';

/**
 * Calls a node over a new connection, which tells a dead node from a
 * connection that has gone silent.
 *
 * @example
 * await callFresh(pool, address, 'membership.probe', {}, {timeoutMs: 500});
 */
export async function callFresh(
  caller: FreshPeerCaller,
  to: PeerAddress,
  method: string,
  body: unknown,
  options: CallOptions,
): Promise<unknown> {
  const session = await caller.openFresh(to, options);
  try {
    return await session.call(method, body, options);
  } finally {
    session.close();
  }
}
