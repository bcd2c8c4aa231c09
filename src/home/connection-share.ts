/**
 * Divides a database's connections between the nodes that send work to it.
 *
 * Load pattern: all nodes lose power at once, or many of them are cut off, so
 * that several nodes open a home for the same group within a second. A database
 * keeps the connections of a lost node for some seconds and refuses more than
 * its limit, the status queries of a new home included.
 */

/** How much of a database's work a node sends. */
export type SenderRole =
  /** Most of it: the home, or a replica's reader. */
  | 'main'
  /** What the home serves until it answers again. */
  | 'fallback'
  /** Status queries, and what reached it by another node's mistake. */
  | 'other';

/** Parts of the connections; a lost main node and its successor fill them. */
const SHARES: Readonly<Record<SenderRole, number>> = {
  main: 0.5,
  fallback: 0.3,
  other: 0.1,
};
const MIN_CONNECTIONS = 2;
/** Idle connections of nodes that are not the main one are closed after this. */
export const UNUSED_TIMEOUT_MS = 2_000;

/**
 * Returns how many connections a node may hold to a database.
 *
 * @example
 * connectionShare(70, 'main'); // 35
 */
export function connectionShare(
  maxConnections: number,
  role: SenderRole,
): number {
  const share = Math.floor(maxConnections * SHARES[role]);
  return Math.max(MIN_CONNECTIONS, share);
}
