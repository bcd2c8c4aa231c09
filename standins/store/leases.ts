/** Leases that lapse on the server's clock and take their keys with them. */
import {randomInt} from 'node:crypto';
import type {Revisions} from './revisions.js';

const MAX_LEASE_ID = 2 ** 47;

interface Lease {
  readonly ttlSeconds: number;
  timer: NodeJS.Timeout;
}

/** The leases that have not lapsed. */
export class Leases {
  readonly #revisions: Revisions;
  readonly #leases = new Map<string, Lease>();

  constructor(revisions: Revisions) {
    this.#revisions = revisions;
  }

  has(id: string): boolean {
    return this.#leases.has(id);
  }

  /** Grants a lease; resolves its id. */
  grant(ttlSeconds: number): string {
    const id = String(randomInt(1, MAX_LEASE_ID));
    this.#leases.set(id, {ttlSeconds, timer: this.#startExpiryTimer(id, ttlSeconds)});
    return id;
  }

  /** Renews a lease; its time to live in seconds, or undefined if it lapsed. */
  keepAlive(id: string): number | undefined {
    const lease = this.#leases.get(id);
    if (lease === undefined) return undefined;
    clearTimeout(lease.timer);
    lease.timer = this.#startExpiryTimer(id, lease.ttlSeconds);
    return lease.ttlSeconds;
  }

  /** Ends a lease and deletes its keys; false if it has already lapsed. */
  revoke(id: string): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    this.#revisions.delete(this.#revisions.keysOfLease(id));
    return true;
  }

  /** Stops every timer. */
  close(): void {
    for (const lease of this.#leases.values()) clearTimeout(lease.timer);
    this.#leases.clear();
  }

  #startExpiryTimer(id: string, ttlSeconds: number): NodeJS.Timeout {
    return setTimeout(() => this.revoke(id), ttlSeconds * 1000);
  }
}
