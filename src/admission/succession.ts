/** How one team's budget passes from owner to owner at this node. */

import type {OwnerRole} from './owner-role.js';
import type {Ownership} from './ownership.js';
import type {SpendGuard} from './spend-guard.js';
import type {TeamHolder} from './team-holder.js';
import type {BudgetPeers} from './types.js';

const MOVED_TIMEOUT_MS = 250;

/** What a succession is built from. */
export interface SuccessionDeps {
  readonly team: string;
  /** This node's instance. */
  readonly self: string;
  readonly guard: SpendGuard;
  readonly peers: BudgetPeers;
  readonly ownership: Ownership;
  readonly holder: TeamHolder;
  readonly role: OwnerRole;
}

/** Moves this node between the owner's role and a holder's. */
export class Succession {
  readonly #deps: SuccessionDeps;
  #isOpening = false;

  constructor(deps: SuccessionDeps) {
    this.#deps = deps;
  }

  /** Whether this node is about to put what it holds into a ledger. */
  get isOpening(): boolean {
    return this.#isOpening;
  }

  /** Takes the ownership if it is vacant or recorded as this node's. */
  async becomeOwner(): Promise<boolean> {
    const {guard, holder, ownership, role, self} = this.#deps;
    if (!guard.maySpend()) return false;
    const isOurs = ownership.owner === self;
    if (ownership.isSettled && !isOurs) return false;
    if (!(await ownership.claim())) return false;
    // The ledger does not know of tokens that are spent and not yet used.
    this.#isOpening = true;
    await holder.remoteSpendsSettled();
    this.#isOpening = false;
    const {record} = ownership;
    if (record?.owner !== self) return false;
    return role.open(record, () => holder.clear());
  }

  /** Takes in who owns the budget, as another node says. */
  learn(epoch: number, owner: string | undefined): void {
    this.#deps.ownership.learn(epoch, owner);
    this.stepDownIfSucceeded();
  }

  /** Goes on as a holder of the pool once another node owns the budget. */
  stepDownIfSucceeded(): void {
    const {holder, ownership, role, self} = this.#deps;
    const {epoch} = role;
    if (role.owner === undefined || ownership.epoch <= epoch) return;
    const {share, tokens} = role.close();
    holder.hold(share, tokens, epoch, self);
  }

  /** Names the next owner before this node leaves, and tells the holders. */
  async handOn(): Promise<void> {
    const {ownership, peers, role, self, team} = this.#deps;
    const holders = role.owner?.holders;
    if (holders === undefined) return;
    const next = ownership.successor();
    if (next === undefined || !(await ownership.handOn(next))) return;
    this.stepDownIfSucceeded();
    const {epoch} = ownership;
    const moved = {kind: 'moved', team, epoch, owner: next} as const;
    await Promise.allSettled(
      holders
        .filter(holder => holder !== self)
        .map(holder => peers.call(holder, moved, MOVED_TIMEOUT_MS)),
    );
  }
}
