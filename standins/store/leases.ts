/** Leases; their keys are deleted when they expire or are revoked. */
import {randomInt} from 'node:crypto';
import type {Revisions} from './revisions.js';

const MAX_LEASE_ID = 2 ** 47;

interface Lease {
  readonly ttlSeconds: number;
  timer: NodeJS.Timeout;
}

/** The leases that have not expired. */
export class Leases {
  readonly #revisions: Revisions;
  readonly #leases = new Map<string, Lease>();

  constructor(revisions: Revisions) {
    this.#revisions = revisions;
  }

  has(id: string): boolean {
    return this.#leases.has(id);
  }

  /** Grants a lease and returns its id. */
  grant(ttlSeconds: number): string {
    const id = String(randomInt(1, MAX_LEASE_ID));
    this.#leases.set(id, {
      ttlSeconds,
      timer: this.#startExpiryTimer(id, ttlSeconds),
    });
    return id;
  }

  /** Renews a lease; returns its TTL in seconds, or undefined if it expired. */
  keepAlive(id: string): number | undefined {
    const lease = this.#leases.get(id);
    if (lease === undefined) return undefined;
    clearTimeout(lease.timer);
    lease.timer = this.#startExpiryTimer(id, lease.ttlSeconds);
    return lease.ttlSeconds;
  }

  /** Ends a lease and deletes its keys; returns false if it has expired. */
  revoke(id: string): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    this.#leases.delete(id);
    this.#revisions.delete(this.#revisions.keysOfLease(id));
    return true;
  }

  /** Cancels all expiry timers. */
  close(): void {
    for (const lease of this.#leases.values()) clearTimeout(lease.timer);
    this.#leases.clear();
  }

  #startExpiryTimer(id: string, ttlSeconds: number): NodeJS.Timeout {
    return setTimeout(() => this.revoke(id), ttlSeconds * 1000);
  }
}
