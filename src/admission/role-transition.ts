/** This node's transitions between owner and holder of one team's budget. */

import type {OwnerRole} from './owner-role.js';
import type {Ownership} from './ownership.js';
import type {SpendGuard} from './spend-guard.js';
import type {TeamHolder} from './team-holder.js';
import type {BudgetPeers} from './types.js';

const MOVED_TIMEOUT_MS = 250;

/** Dependencies of role transitions. */
export interface RoleTransitionDeps {
  readonly team: string;
  /** This node's instance. */
  readonly self: string;
  readonly guard: SpendGuard;
  readonly peers: BudgetPeers;
  readonly ownership: Ownership;
  readonly holder: TeamHolder;
  readonly role: OwnerRole;
}

/** Switches this node between the roles of owner and holder. */
export class RoleTransition {
  readonly #deps: RoleTransitionDeps;
  #isOpening = false;

  constructor(deps: RoleTransitionDeps) {
    this.#deps = deps;
  }

  /** True while this node waits to move its own share into a new ledger. */
  get isOpeningLedger(): boolean {
    return this.#isOpening;
  }

  /**
   * Takes over the ownership if it is vacant or already recorded for this node;
   * true if this node owns the budget afterwards.
   */
  async becomeOwner(): Promise<boolean> {
    const {guard, holder, ownership, role, self} = this.#deps;
    if (!guard.maySpend()) return false;
    const isSelfOwner = ownership.owner === self;
    if (ownership.hasValidOwner && !isSelfOwner) return false;
    if (!(await ownership.claim())) return false;
    // The ledger does not account for tokens in flight to other nodes.
    this.#isOpening = true;
    await holder.waitForRemoteSpends();
    this.#isOpening = false;
    const {record} = ownership;
    if (record?.owner !== self) return false;
    return role.open(record, () => holder.clear());
  }

  /** Applies the owner that another node reported. */
  observeOwner(epoch: number, owner: string | undefined): void {
    this.#deps.ownership.observeOwner(epoch, owner);
    this.stepDownIfSuperseded();
  }

  /** Becomes a holder of its own pool once a later epoch has another owner. */
  stepDownIfSuperseded(): void {
    const {holder, ownership, role, self} = this.#deps;
    const {epoch} = role;
    if (role.owner === undefined || ownership.epoch <= epoch) return;
    const {share, tokens} = role.close();
    holder.resumeAsHolder(share, tokens, epoch, self);
  }

  /** Records the next owner before this node leaves, and notifies holders. */
  async transferOwnership(): Promise<void> {
    const {ownership, peers, role, self, team} = this.#deps;
    const holders = role.owner?.holders;
    if (holders === undefined) return;
    const next = ownership.successor();
    if (next === undefined || !(await ownership.transferTo(next))) return;
    this.stepDownIfSuperseded();
    const {epoch} = ownership;
    const moved = {kind: 'moved', team, epoch, owner: next} as const;
    await Promise.allSettled(
      holders
        .filter(holder => holder !== self)
        .map(holder => peers.call(holder, moved, MOVED_TIMEOUT_MS)),
    );
  }
}
