import {
  StoreError,
  type Store,
  type StoredValue,
  type SwapResult,
} from '../../src/infra/store.js';
import type {Clock} from '../../src/infra/clock.js';

const CALL_MS = 2;

/** The client side of a store connection. */
export interface StoreClient {
  readonly clock: Clock;
  readonly isPartitioned: boolean;
}

/** An in-memory store for budget records, with outages and lost replies. */
export class RecordStore {
  isDown = false;
  /** How long each call takes. */
  latencyMs = CALL_MS;
  readonly #values = new Map<string, StoredValue>();
  #revision = 0;
  #writes = 0;
  #loseEvery = Infinity;

  /** The number of writes so far. */
  get writes(): number {
    return this.#writes;
  }

  /** Makes every nth write take effect but lose its reply. */
  loseEveryNthReply(n: number): void {
    this.#loseEvery = n;
  }

  /** Returns a stored value without the latency or faults of a call. */
  peek(key: string): string | undefined {
    return this.#values.get(key)?.value;
  }

  /** Returns the store as one node can reach it. */
  seenBy(client: StoreClient): Store {
    const unused = () => {
      throw new Error('RecordStore supports only get and compareAndSwap');
    };
    return {
      get: async key => {
        await this.#reach(client);
        return this.#values.get(key);
      },
      compareAndSwap: async (key, expected, value) => {
        await this.#reach(client);
        const res = this.#swap(key, expected, value);
        this.#writes += 1;
        if (this.#writes % this.#loseEvery === 0) {
          throw new StoreError('unknown', 'the answer was lost');
        }
        return res;
      },
      list: unused,
      watch: unused,
      grantLease: unused,
      keepAlive: unused,
      revokeLease: unused,
    };
  }

  async #reach(client: StoreClient): Promise<void> {
    await client.clock.sleep(this.latencyMs);
    if (!this.isDown && !client.isPartitioned) return;
    throw new StoreError('notSent', 'the store does not answer');
  }

  #swap(key: string, expected: number, value: string): SwapResult {
    const current = this.#values.get(key);
    if ((current?.revision ?? 0) !== expected) {
      return {kind: 'conflict', current};
    }
    this.#revision += 1;
    const revision = this.#revision;
    this.#values.set(key, {key, value, revision});
    return {kind: 'swapped', revision};
  }
}
