/** The store as one node of a test reaches it, or doesn't. */
import type {LeasedStore} from '../../src/infra/leased-store.js';
import {StoreError} from '../../src/infra/store.js';
import {interceptStore} from '../fakes/intercepted-store.js';

/** Cuts one node off from the platform's store. */
export class NodeStore {
  /** Refuses each call, as a store that turns one node away. */
  isRefused = false;
  /** Ends no call, as a process that has been killed makes none. */
  isKilled = false;
  /** The store as the node sees it. */
  readonly client: LeasedStore;

  constructor(store: LeasedStore) {
    this.client = interceptStore(store, async call => {
      if (this.isKilled) return new Promise(() => {});
      if (this.isRefused)
        throw new StoreError('notSent', 'refused by the test');
      return call();
    });
  }
}
