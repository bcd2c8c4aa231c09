/** Who holds which part of one budget. */

import {
  addShares,
  includesShare,
  isNoShare,
  NO_SHARE,
  subtractShares,
  WHOLE,
} from './share.js';
import type {Share, SyncMessage} from './types.js';

/** One holder in the ledger. */
export interface LedgerEntry {
  /** The most that the holder can hold. */
  readonly share: Share;
  /** The sequence number of the last message counted. */
  readonly seq: number;
}

/** What a holder's message changed. */
export type ReconcileResult =
  | {readonly kind: 'counted'; readonly returned: Share}
  /** An older message than one already counted. */
  | {readonly kind: 'stale'}
  /** The holder claims more than it can hold. */
  | {readonly kind: 'void'};

/**
 * The owner's account of a budget: its own pool, an upper bound of what each
 * holder holds, and the part of which an earlier owner knew. The three always
 * add up to the whole.
 *
 * A holder's message makes the bound exact: whatever the bound exceeds it by
 * was returned, or granted in an answer that the holder no longer takes.
 */
export class Ledger {
  #pool: Share;
  #unaccounted: Share;
  readonly #entries = new Map<string, LedgerEntry>();

  private constructor(pool: Share, unaccounted: Share) {
    this.#pool = pool;
    this.#unaccounted = unaccounted;
  }

  /** The ledger of a budget that nobody has held before. */
  static createWhole(): Ledger {
    return new Ledger(WHOLE, NO_SHARE);
  }

  /** The ledger of a budget whose shares an earlier owner granted. */
  static createUnaccounted(): Ledger {
    return new Ledger(NO_SHARE, WHOLE);
  }

  /** What the owner itself has. */
  get pool(): Share {
    return this.#pool;
  }

  /** What holders of an earlier owner may still hold. */
  get unaccounted(): Share {
    return this.#unaccounted;
  }

  get entries(): ReadonlyMap<string, LedgerEntry> {
    return this.#entries;
  }

  shareOf(holder: string): Share {
    return this.#entries.get(holder)?.share ?? NO_SHARE;
  }

  /** Counts a holder's message, adopting what an earlier owner granted. */
  reconcile(sync: SyncMessage, epoch: number): ReconcileResult {
    const entry = this.#entries.get(sync.holder);
    if (entry !== undefined && sync.seq <= entry.seq) return {kind: 'stale'};
    if (entry !== undefined && includesShare(entry.share, sync.held)) {
      const returned = subtractShares(entry.share, sync.held);
      this.#pool = addShares(this.#pool, returned);
      this.#set(sync);
      return {kind: 'counted', returned};
    }
    if (isNoShare(sync.held)) {
      this.#set(sync);
      return {kind: 'counted', returned: NO_SHARE};
    }
    const isAdoption = entry === undefined || isNoShare(entry.share);
    const isOlder = sync.heldEpoch < epoch;
    if (!isAdoption || !isOlder) return {kind: 'void'};
    if (!includesShare(this.#unaccounted, sync.held)) return {kind: 'void'};
    this.#unaccounted = subtractShares(this.#unaccounted, sync.held);
    this.#set(sync);
    return {kind: 'counted', returned: NO_SHARE};
  }

  /** Whether `seq` is the holder's last message. */
  isLatest(holder: string, seq: number): boolean {
    return this.#entries.get(holder)?.seq === seq;
  }

  /** Moves a part of the pool to a holder, before the holder hears of it. */
  grant(holder: string, share: Share): void {
    const entry = this.#entries.get(holder);
    if (entry === undefined || !includesShare(this.#pool, share)) {
      throw new Error(
        `cannot grant ${holder} more than the pool; reconcile it first`,
      );
    }
    this.#pool = subtractShares(this.#pool, share);
    const raised = addShares(entry.share, share);
    this.#entries.set(holder, {...entry, share: raised});
  }

  /** Takes back what a holder held that can never spend again. */
  reclaim(holder: string): void {
    this.#pool = addShares(this.#pool, this.shareOf(holder));
    this.#entries.delete(holder);
  }

  /** Takes over what the owner itself held of an earlier owner. */
  absorb(share: Share): boolean {
    if (!includesShare(this.#unaccounted, share)) return false;
    this.#unaccounted = subtractShares(this.#unaccounted, share);
    this.#pool = addShares(this.#pool, share);
    return true;
  }

  /** Takes what no holder can hold any longer into the pool. */
  closeAdoption(): void {
    this.#pool = addShares(this.#pool, this.#unaccounted);
    this.#unaccounted = NO_SHARE;
  }

  #set(sync: SyncMessage): void {
    this.#entries.set(sync.holder, {share: sync.held, seq: sync.seq});
  }
}
