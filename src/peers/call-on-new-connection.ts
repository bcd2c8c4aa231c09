/** Calls over a connection that is opened for a single call. */

import type {PeerConnector} from './peer-pool.js';
import type {CallOptions, PeerAddress} from './types.js';

/**
 * Calls a node over a new connection, to distinguish a dead node from a broken
 * pooled connection. The timeout applies to connecting and to the call, each on
 * its own.
 *
 * @example
 * await callOnNewConnection(pool, address, 'membership.probe', {}, {timeoutMs: 500});
 */
export async function callOnNewConnection(
  caller: PeerConnector,
  to: PeerAddress,
  method: string,
  body: unknown,
  options: CallOptions,
): Promise<unknown> {
  const session = await caller.openDedicated(to, options);
  try {
    return await session.call(method, body, options);
  } finally {
    session.close();
  }
}
