/** Manages the owner's side of a team's budget while this node owns it. */

import type {Clock} from '../infra/clock.js';
import type {BudgetRecord} from './budget-record.js';
import {Ledger} from './ledger.js';
import type {Ownership} from './ownership.js';
import type {RetirementTimers} from './retirement-timers.js';
import type {SpendGuard} from './spend-guard.js';
import {TeamOwner} from './team-owner.js';
import type {BudgetLimits, BudgetPeers, Share} from './types.js';

/** A share and the tokens in it. */
export interface ShareSnapshot {
  readonly share: Share;
  readonly tokens: number;
}

/** Dependencies of the owner role. */
export interface OwnerRoleDeps {
  readonly team: string;
  readonly self: string;
  readonly clock: Clock;
  readonly guard: SpendGuard;
  readonly peers: BudgetPeers;
  readonly retirements: RetirementTimers;
  readonly ownership: Ownership;
  /** The last epoch that this process opened as the owner, by team. */
  readonly openedEpochs: Map<string, number>;
  readonly limits: () => BudgetLimits;
  readonly ownDemand: () => number;
}

/** Opens, maintains and closes the ledger of one team. */
export class OwnerRole {
  readonly #deps: OwnerRoleDeps;
  #owner: TeamOwner | undefined;
  /** Earlier owners whose grants this ledger may not know of. */
  #predecessors: readonly string[] = [];

  constructor(deps: OwnerRoleDeps) {
    this.#deps = deps;
  }

  get owner(): TeamOwner | undefined {
    return this.#owner;
  }

  /** The epoch that this node owns; 0 if it owns none. */
  get epoch(): number {
    return this.#owner?.epoch ?? 0;
  }

  /** The instances whose retirement lets the ledger reclaim shares. */
  get dependencies(): readonly string[] {
    return [...(this.#owner?.holders ?? []), ...this.#predecessors];
  }

  /**
   * Opens the ledger for a record that names this node as the owner, and moves
   * the share that `release` returns into it. An epoch is opened only once, as a
   * second time would credit its tokens again. True if the ledger is open.
   */
  open(record: BudgetRecord, release: () => ShareSnapshot): boolean {
    const {openedEpochs, team, limits} = this.#deps;
    const lastEpoch = openedEpochs.get(team) ?? 0;
    if (record.epoch <= lastEpoch) return this.#owner !== undefined;
    openedEpochs.set(team, record.epoch);
    const isNew = record.epoch === 1;
    const ledger = isNew ? Ledger.createWhole() : Ledger.createUnaccounted();
    const tokens = isNew ? limits().burst : 0;
    const held = release();
    this.#owner = new TeamOwner(this.#deps, record.epoch, ledger, tokens);
    this.#owner.adoptOwnShare(held.share, held.tokens);
    this.#predecessors = record.predecessors;
    return true;
  }

  /** Closes the ledger; returns the pool, which this node keeps as a holder. */
  close(): ShareSnapshot {
    const owner = this.#owner;
    if (owner === undefined) throw new Error('open a ledger before closing it');
    this.#owner = undefined;
    this.#predecessors = [];
    return owner.close();
  }

  /** Reclaims shares that can't be spent any more, and requests reports. */
  async tick(): Promise<void> {
    const {guard, retirements, ownership} = this.#deps;
    const owner = this.#owner;
    if (owner === undefined || !guard.maySpend()) return;
    for (const holder of owner.holders) {
      if (retirements.isReclaimable(holder)) owner.reclaim(holder);
    }
    if (this.#canReclaimUnaccounted()) {
      this.#predecessors = [];
      owner.reclaimUnaccounted();
      await ownership.clearPredecessors(owner.epoch);
    }
    await owner.requestReports();
  }

  #canReclaimUnaccounted(): boolean {
    // Checks all of them, as the first check of each starts its timer.
    const results = this.#predecessors.map(instance =>
      this.#deps.retirements.isReclaimable(instance),
    );
    return results.length > 0 && results.every(isReclaimable => isReclaimable);
  }
}
