/** Counts the bytes that a node sends to other nodes. */

/** Whether bytes stay in the sender's data centre; unknown for a non-member. */
export type TrafficScope = 'local' | 'remote' | 'unknown';

/** Receives the size of every frame sent to another node. */
export interface PeerTraffic {
  /**
   * Counts a frame that was written to a peer's connection. Runs on the path of
   * every statement. `method` is {@link CONNECTION_METHOD} for frames that
   * belong to no call.
   */
  recordSent(peer: string, method: string, bytes: number): void;
}

/** Bytes sent so far by one method in one scope. */
export interface TrafficTotal {
  readonly method: string;
  readonly scope: TrafficScope;
  readonly bytes: number;
}

/** Label of frames that belong to no call: handshakes and heartbeats. */
export const CONNECTION_METHOD = 'connection';

/** Counts nothing. */
export const ignorePeerTraffic: PeerTraffic = {recordSent: () => {}};

/**
 * Totals of the bytes sent by method and scope. Each byte is counted once, at
 * its sender.
 *
 * @example
 * const traffic = new PeerTrafficTotals(peer => scopeOf(peer));
 * traffic.recordSent('node-2', 'feed.changes', 812);
 * traffic.totals(); // [{method: 'feed.changes', scope: 'local', bytes: 812}]
 */
export class PeerTrafficTotals implements PeerTraffic {
  readonly #scopeOf: (peer: string) => TrafficScope;
  readonly #bytes = new Map<string, Record<TrafficScope, number>>();

  /** @param scopeOf Called for every frame; must be a cheap look-up. */
  constructor(scopeOf: (peer: string) => TrafficScope) {
    this.#scopeOf = scopeOf;
  }

  recordSent(peer: string, method: string, bytes: number): void {
    let counts = this.#bytes.get(method);
    if (counts === undefined) {
      counts = {local: 0, remote: 0, unknown: 0};
      this.#bytes.set(method, counts);
    }
    counts[this.#scopeOf(peer)] += bytes;
  }

  /** The totals above zero. */
  totals(): readonly TrafficTotal[] {
    return [...this.#bytes].flatMap(([method, counts]) =>
      (Object.entries(counts) as [TrafficScope, number][])
        .filter(([, bytes]) => bytes > 0)
        .map(([scope, bytes]) => ({method, scope, bytes})),
    );
  }
}
