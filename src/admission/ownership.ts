/** Resolves, claims and transfers the ownership of one team's budget. */

import type {Clock} from '../infra/clock.js';
import {AvoidedNodes} from './avoided-nodes.js';
import {
  budgetKey,
  type BudgetRecord,
  type BudgetRecords,
} from './budget-record.js';
import type {SpendGuard} from './spend-guard.js';
import type {BudgetPeers} from './types.js';

/** Minimum pause between two reads of the record. */
const RELOAD_PAUSE_MS = 500;

/** Time for which a node that did not answer is not asked to be the owner. */
const UNRESPONSIVE_PAUSE_MS = 3_000;

/** Dependencies of ownership. */
export interface OwnershipDeps {
  readonly team: string;
  readonly self: string;
  readonly clock: Clock;
  readonly guard: SpendGuard;
  readonly peers: BudgetPeers;
  readonly records: BudgetRecords;
}

/** This node's view of who owns a budget. */
export class Ownership {
  readonly #deps: OwnershipDeps;
  #record: BudgetRecord | undefined;
  #loading: Promise<void> | undefined;
  #claiming: Promise<boolean> | undefined;
  #nextLoadAtMs = -Infinity;
  readonly #avoided: AvoidedNodes;

  constructor(deps: OwnershipDeps) {
    this.#deps = deps;
    this.#avoided = new AvoidedNodes(deps.clock, UNRESPONSIVE_PAUSE_MS);
  }

  /** The highest epoch known; 0 before any. */
  get epoch(): number {
    return this.#record?.epoch ?? 0;
  }

  /** The owner in the highest epoch known. */
  get owner(): string | undefined {
    return this.#record?.owner;
  }

  get record(): BudgetRecord | undefined {
    return this.#record;
  }

  /** True if an owner is known and has not been retired. */
  get hasValidOwner(): boolean {
    const {owner} = this;
    return owner !== undefined && !this.#deps.guard.isRetired(owner);
  }

  /** Applies the owner that another node reported, if its epoch is newer. */
  observeOwner(epoch: number, owner: string | undefined): void {
    if (owner === undefined || epoch <= this.epoch) return;
    this.#record = {epoch, owner, predecessors: []};
  }

  /** Returns the owner, or the node that should become it. */
  async resolveOwner(): Promise<string | undefined> {
    if (!this.hasValidOwner) await this.reload();
    return this.hasValidOwner ? this.owner : this.#preferredNode();
  }

  /** Returns the live nodes that are not retired, by rendezvous rank. */
  candidates(): readonly string[] {
    const {guard, peers, team} = this.#deps;
    return peers
      .homeOrder(budgetKey(team))
      .map(({instance}) => instance)
      .filter(instance => !guard.isRetired(instance));
  }

  /** Prefers other nodes to `instance` for a while, after it did not answer. */
  avoid(instance: string): void {
    this.#avoided.add(instance);
  }

  /** Reads the record from the store, unless it was read recently. */
  async reload(): Promise<void> {
    const {nowMs} = this.#deps.guard;
    if (this.#loading === undefined && nowMs < this.#nextLoadAtMs) return;
    return this.reloadNow();
  }

  /** Reads the record from the store, even if it was read recently. */
  async reloadNow(): Promise<void> {
    this.#loading ??= this.#load().finally(() => {
      this.#loading = undefined;
      this.#nextLoadAtMs = this.#deps.guard.nowMs + RELOAD_PAUSE_MS;
    });
    return this.#loading;
  }

  /** Claims the ownership if it is vacant; true if this node then has it. */
  async claim(): Promise<boolean> {
    this.#claiming ??= this.#claim().finally(() => {
      this.#claiming = undefined;
    });
    return this.#claiming;
  }

  /** Returns the node that should own the budget once this one leaves. */
  successor(): string | undefined {
    return this.#preferredNode(this.#deps.self);
  }

  /** Records `next` as the owner of the next epoch; false if that failed. */
  async transferTo(next: string): Promise<boolean> {
    const {team, self, records} = this.#deps;
    try {
      const loaded = await records.load(team);
      if (loaded?.record.owner !== self) return false;
      const {epoch, predecessors} = loaded.record;
      const stored = await records.replace(team, loaded.revision, {
        epoch: epoch + 1,
        owner: next,
        predecessors: [...predecessors, self],
      });
      this.#applyRecord(stored?.record);
      return this.owner === next;
    } catch {
      return false;
    }
  }

  /** Removes the predecessors from the record, once their grants are known. */
  async clearPredecessors(epoch: number): Promise<void> {
    const {team, self, records} = this.#deps;
    try {
      const loaded = await records.load(team);
      if (loaded === undefined) return;
      const {record, revision} = loaded;
      if (record.owner !== self || record.epoch !== epoch) return;
      const cleared = {...record, predecessors: []};
      await records.replace(team, revision, cleared);
    } catch {
      // Predecessors left in the record only make the next owner wait longer.
    }
  }

  async #load(): Promise<void> {
    try {
      this.#applyRecord(
        (await this.#deps.records.load(this.#deps.team))?.record,
      );
    } catch {
      // The store is unavailable: the record loaded last stays in use.
    }
  }

  async #claim(): Promise<boolean> {
    const {team, self, guard, records} = this.#deps;
    try {
      const loaded = await records.load(team);
      this.#applyRecord(loaded?.record);
      if (loaded?.record.owner === self) return true;
      if (loaded !== undefined && !guard.isRetired(loaded.record.owner)) {
        return false;
      }
      if (!guard.maySpend()) return false;
      const record = nextRecord(loaded?.record, self);
      const stored = await records.replace(team, loaded?.revision ?? 0, record);
      this.#applyRecord(stored?.record);
    } catch {
      // If only the reply was lost, the next read finds this node as the owner.
      return false;
    }
    return this.owner === self;
  }

  #applyRecord(record: BudgetRecord | undefined): void {
    if (record === undefined || record.epoch < this.epoch) return;
    this.#record = record;
  }

  #preferredNode(except?: string): string | undefined {
    const eligible = this.candidates().filter(id => id !== except);
    return eligible.find(id => !this.#avoided.has(id)) ?? eligible[0];
  }
}

function nextRecord(
  record: BudgetRecord | undefined,
  owner: string,
): BudgetRecord {
  if (record === undefined) return {epoch: 1, owner, predecessors: []};
  return {
    epoch: record.epoch + 1,
    owner,
    predecessors: [...record.predecessors, record.owner],
  };
}
