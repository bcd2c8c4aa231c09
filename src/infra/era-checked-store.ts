/** Drops answers that the store gave before it was restored from a copy. */
import type {Logger} from '../telemetry/log.js';
import type {
  ChangeSet,
  Lease,
  LeasedStore,
  LeasedSwapResult,
  Renewal,
  Snapshot,
} from './leased-store.js';
import {StoreError, type StoreFailureKind} from './store.js';
import type {StorePosition} from './store-position.js';

/** Receives what the checks find. */
export interface EraMetrics {
  recordEra(era: number): void;
  /** Counts an answer that was dropped because it was of an earlier era. */
  recordRejectedAnswer(): void;
}

/** Options of {@link EraCheckedStore}. */
export interface EraCheckedStoreOptions {
  readonly store: LeasedStore;
  readonly log: Logger;
  readonly metrics: EraMetrics;
}

/**
 * A store whose answers never go back to an earlier era: such an answer, which
 * was under way during a restore, counts as lost.
 *
 * @example
 * const checked = new EraCheckedStore({store, log, metrics});
 * const {asOf} = await checked.list('');
 * checked.era === asOf.era; // true
 */
export class EraCheckedStore implements LeasedStore {
  readonly #options: EraCheckedStoreOptions;
  #era: number | undefined;

  constructor(options: EraCheckedStoreOptions) {
    this.#options = options;
  }

  /** The latest era that an answer has shown; 0 before the first answer. */
  get era(): number {
    return this.#era ?? 0;
  }

  async list(prefix: string): Promise<Snapshot> {
    const snapshot = await this.#options.store.list(prefix);
    this.observe(snapshot.asOf.era, 'notSent');
    return snapshot;
  }

  async changes(
    prefix: string,
    after: StorePosition,
    waitMs: number,
  ): Promise<ChangeSet> {
    const {store} = this.#options;
    const changes = await store.changes(prefix, after, waitMs);
    this.observe(changes.asOf.era, 'notSent');
    return changes;
  }

  async swap(
    key: string,
    expected: number,
    value: string | undefined,
    lease?: string,
  ): Promise<LeasedSwapResult> {
    const {store} = this.#options;
    const result = await store.swap(key, expected, value, lease);
    const era = result.kind === 'swapped' ? result.at.era : result.era;
    this.observe(era, 'unknown');
    return result;
  }

  async grant(ttlMs: number): Promise<Lease> {
    const lease = await this.#options.store.grant(ttlMs);
    this.observe(lease.era, 'unknown');
    return lease;
  }

  async renew(lease: string): Promise<Renewal> {
    const renewal = await this.#options.store.renew(lease);
    this.observe(renewal.era, 'unknown');
    return renewal;
  }

  revoke(lease: string): Promise<void> {
    return this.#options.store.revoke(lease);
  }

  /**
   * Takes the era of an answer into account, from the store or relayed.
   *
   * @throws StoreError of the given kind if the answer is of an earlier era
   */
  observe(era: number, kind: StoreFailureKind): void {
    const {log, metrics} = this.#options;
    const known = this.#era;
    if (known !== undefined && era < known) {
      metrics.recordRejectedAnswer();
      log.warn('storeAnswerRejected', {era, known});
      throw new StoreError(
        kind,
        `the store's answer is of era ${era}, before its restore to ${known}`,
      );
    }
    if (era === known) return;
    this.#era = era;
    metrics.recordEra(era);
    if (known !== undefined) log.warn('storeRestored', {from: known, to: era});
  }
}
