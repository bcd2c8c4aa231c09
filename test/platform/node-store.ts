/** The store as one node of a test reaches it, or doesn't. */
import type {HttpClient} from '../../platform/http-client.js';
import {PlatformStore} from '../../platform/store.js';
import type {LeasedStore} from '../../src/infra/leased-store.js';
import {StoreError} from '../../src/infra/store.js';
import type {StorePosition} from '../../src/infra/store-position.js';

/** A client of the platform's store that a test can cut off. */
export class NodeStore implements LeasedStore {
  /** Refuses each call, as a store that turns one node away. */
  isRefused = false;
  /** Ends no call, as a process that has been killed makes none. */
  isKilled = false;
  readonly #store: PlatformStore;

  constructor(client: HttpClient) {
    this.#store = new PlatformStore(client);
  }

  async list(prefix: string) {
    await this.#reach();
    return this.#store.list(prefix);
  }

  async changes(prefix: string, after: StorePosition, waitMs: number) {
    await this.#reach();
    return this.#store.changes(prefix, after, waitMs);
  }

  async swap(
    key: string,
    expected: number,
    value: string | undefined,
    lease?: string,
  ) {
    await this.#reach();
    return this.#store.swap(key, expected, value, lease);
  }

  async grant(ttlMs: number) {
    await this.#reach();
    return this.#store.grant(ttlMs);
  }

  async renew(lease: string) {
    await this.#reach();
    return this.#store.renew(lease);
  }

  async revoke(lease: string) {
    await this.#reach();
    return this.#store.revoke(lease);
  }

  async #reach(): Promise<void> {
    if (this.isKilled) return new Promise(() => {});
    if (this.isRefused) throw new StoreError('notSent', 'refused by the test');
  }
}
