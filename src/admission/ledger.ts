/** The escrow ledger of one budget: which node holds which share. */

import {
  addShares,
  includesShare,
  isEmptyShare,
  EMPTY_SHARE,
  subtractShares,
  WHOLE_SHARE,
} from './share.js';
import type {Share, SyncMessage} from './types.js';

/** One holder in the ledger. */
export interface LedgerEntry {
  /** Upper bound of the holder's share. */
  readonly share: Share;
  /** Sequence number of the last message applied. */
  readonly seq: number;
}

/** The outcome of applying a holder's message. */
export type ReconcileResult =
  | {readonly kind: 'reconciled'; readonly returned: Share}
  /** The message is older than one already applied. */
  | {readonly kind: 'stale'}
  /** The holder claims more than it can hold. */
  | {readonly kind: 'void'};

/**
 * The owner's account of a budget. It consists of the pool that the owner keeps,
 * an upper bound of each holder's share, and the unaccounted share, which
 * holders of an earlier owner may still hold. These always add up to the whole.
 *
 * A holder's message makes its bound exact. The difference was returned, or was
 * granted in a reply that the holder no longer accepts.
 */
export class Ledger {
  #pool: Share;
  #unaccounted: Share;
  readonly #entries = new Map<string, LedgerEntry>();

  private constructor(pool: Share, unaccounted: Share) {
    this.#pool = pool;
    this.#unaccounted = unaccounted;
  }

  /** Creates the ledger of a new budget, all of it in the pool. */
  static createWhole(): Ledger {
    return new Ledger(WHOLE_SHARE, EMPTY_SHARE);
  }

  /** Creates the ledger of a budget whose shares an earlier owner granted. */
  static createUnaccounted(): Ledger {
    return new Ledger(EMPTY_SHARE, WHOLE_SHARE);
  }

  /** The share that is not granted to any holder. */
  get pool(): Share {
    return this.#pool;
  }

  /** The share that holders of an earlier owner may still hold. */
  get unaccounted(): Share {
    return this.#unaccounted;
  }

  get entries(): ReadonlyMap<string, LedgerEntry> {
    return this.#entries;
  }

  shareOf(holder: string): Share {
    return this.#entries.get(holder)?.share ?? EMPTY_SHARE;
  }

  /**
   * Applies a holder's message. A share that an earlier owner granted is
   * adopted: it moves from the unaccounted share to the holder's entry.
   */
  reconcile(sync: SyncMessage, epoch: number): ReconcileResult {
    const entry = this.#entries.get(sync.holder);
    if (entry !== undefined && sync.seq <= entry.seq) return {kind: 'stale'};
    if (entry !== undefined && includesShare(entry.share, sync.held)) {
      const returned = subtractShares(entry.share, sync.held);
      this.#pool = addShares(this.#pool, returned);
      this.#setEntry(sync);
      return {kind: 'reconciled', returned};
    }
    if (isEmptyShare(sync.held)) {
      this.#setEntry(sync);
      return {kind: 'reconciled', returned: EMPTY_SHARE};
    }
    const isAdoption = entry === undefined || isEmptyShare(entry.share);
    const isOlder = sync.heldEpoch < epoch;
    if (!isAdoption || !isOlder) return {kind: 'void'};
    if (!includesShare(this.#unaccounted, sync.held)) return {kind: 'void'};
    this.#unaccounted = subtractShares(this.#unaccounted, sync.held);
    this.#setEntry(sync);
    return {kind: 'reconciled', returned: EMPTY_SHARE};
  }

  /** True if `seq` is the holder's last applied message. */
  isLatest(holder: string, seq: number): boolean {
    return this.#entries.get(holder)?.seq === seq;
  }

  /** Moves a part of the pool to a holder; call it before sending the grant. */
  grant(holder: string, share: Share): void {
    const entry = this.#entries.get(holder);
    if (entry === undefined || !includesShare(this.#pool, share)) {
      throw new Error(
        `holder ${holder} is unknown or the pool too small; reconcile it first`,
      );
    }
    this.#pool = subtractShares(this.#pool, share);
    const raised = addShares(entry.share, share);
    this.#entries.set(holder, {...entry, share: raised});
  }

  /** Returns the share of a holder that can never spend again to the pool. */
  reclaim(holder: string): void {
    this.#pool = addShares(this.#pool, this.shareOf(holder));
    this.#entries.delete(holder);
  }

  /**
   * Adopts the share that this node itself held under an earlier owner; false
   * if it exceeds the unaccounted share.
   */
  adoptOwnShare(share: Share): boolean {
    if (!includesShare(this.#unaccounted, share)) return false;
    this.#unaccounted = subtractShares(this.#unaccounted, share);
    this.#pool = addShares(this.#pool, share);
    return true;
  }

  /** Moves the unaccounted share, which no node can hold any more, to the pool. */
  reclaimUnaccounted(): void {
    this.#pool = addShares(this.#pool, this.#unaccounted);
    this.#unaccounted = EMPTY_SHARE;
  }

  #setEntry(sync: SyncMessage): void {
    this.#entries.set(sync.holder, {share: sync.held, seq: sync.seq});
  }
}
