import {
  StoreError,
  type Store,
  type StoredValue,
  type SwapResult,
} from '../../src/infra/store.js';
import type {Clock} from '../../src/infra/clock.js';

const CALL_MS = 2;

/** What bears on whether a node reaches the store. */
export interface StoreClient {
  readonly clock: Clock;
  readonly isPartitioned: boolean;
}

/** The calls that budgets make to the store, with outages and lost answers. */
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

  /** Lets every nth write take effect and its answer be lost. */
  loseEveryNthAnswer(n: number): void {
    this.#loseEvery = n;
  }

  /** A value as it stands. */
  peek(key: string): string | undefined {
    return this.#values.get(key)?.value;
  }

  /** The store as one node reaches it. */
  seenBy(client: StoreClient): Store {
    const unused = () => {
      throw new Error('budgets need no leases and no watches of their own');
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
