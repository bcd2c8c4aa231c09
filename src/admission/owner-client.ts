/** Sends a holder's syncs to the owner of a budget, one at a time. */

import type {Clock} from '../infra/clock.js';
import type {Ownership} from './ownership.js';
import type {RoleTransition} from './role-transition.js';
import type {SyncSchedule} from './sync-schedule.js';
import type {SyncContext, SyncPurpose, TeamHolder} from './team-holder.js';
import type {BudgetPeers, BudgetReply, SyncMessage} from './types.js';

/** Maximum attempts of one exchange, including redirects to another owner. */
const MAX_HOPS = 6;
/**
 * Wait before the record is read again while it names no owner that can be
 * reached. Nodes that claim a new budget at once agree within a few store calls.
 */
const RECORD_RETRY_MS = 30;

/** Dependencies of the owner client. */
export interface OwnerClientDeps {
  readonly self: string;
  readonly clock: Clock;
  readonly peers: BudgetPeers;
  readonly ownership: Ownership;
  readonly holder: TeamHolder;
  readonly schedule: SyncSchedule;
  readonly context: (purpose: SyncPurpose) => SyncContext;
  readonly roleTransition: RoleTransition;
}

/** Resolves the owner, sends it a sync and applies its reply. */
export class OwnerClient {
  readonly #deps: OwnerClientDeps;
  #syncing: Promise<void> | undefined;

  constructor(deps: OwnerClientDeps) {
    this.#deps = deps;
  }

  /** True while a sync is in flight. */
  get isSyncing(): boolean {
    return this.#syncing !== undefined;
  }

  /** Waits for the sync in flight, if there is one. */
  async waitForCurrentSync(): Promise<void> {
    await this.#syncing;
  }

  /** Sends one sync to the owner, or joins the one in flight. */
  async sync(purpose: SyncPurpose, timeoutMs: number): Promise<void> {
    if (this.#syncing !== undefined) return this.#syncing;
    this.#syncing = this.#exchange(purpose, timeoutMs).finally(() => {
      this.#syncing = undefined;
    });
    return this.#syncing;
  }

  async #exchange(purpose: SyncPurpose, timeoutMs: number): Promise<void> {
    const {clock, ownership, schedule, self, roleTransition} = this.#deps;
    let avoided: string | undefined;
    for (let hop = 0; hop < MAX_HOPS; hop++) {
      const to = await ownership.resolveOwner();
      if (to === undefined || to === avoided) {
        avoided = undefined;
        await clock.sleep(RECORD_RETRY_MS);
        await ownership.reloadNow();
        continue;
      }
      if (to === self) {
        if (await roleTransition.becomeOwner()) return;
        ownership.avoid(self);
        avoided = self;
        continue;
      }
      const sent = this.#purposeToSend(purpose);
      const reply = await this.#call(to, sent, timeoutMs);
      if (reply?.kind === 'granted' && sent !== purpose) continue;
      if (reply?.kind === 'busy') ownership.avoid(to);
      if (reply === undefined && !ownership.hasValidOwner) {
        // It was the preferred node; the next one may claim the budget.
        avoided = to;
        continue;
      }
      if (reply?.kind !== 'notOwner') return;
      // Another node may know the owner even if this one can't reach the store.
      if (reply.owner === undefined) ownership.avoid(to);
      avoided = to;
    }
    schedule.failed();
  }

  /**
   * Replaces a sync that returns a share by a probe, unless the owner answered
   * recently: a share returned to an owner that is gone would be lost.
   */
  #purposeToSend(purpose: SyncPurpose): SyncPurpose {
    const {holder, schedule} = this.#deps;
    if (purpose === 'acquire' || schedule.hasOwnerAnsweredRecently)
      return purpose;
    const returnsShare = purpose === 'release' || holder.hasExcess;
    return returnsShare ? 'probe' : purpose;
  }

  async #call(
    to: string,
    purpose: SyncPurpose,
    timeoutMs: number,
  ): Promise<BudgetReply | undefined> {
    const {context, holder, ownership, peers, schedule} = this.#deps;
    const message = holder.beginSync(purpose, context(purpose));
    schedule.sent(message.demand);
    try {
      const reply = await peers.call(to, message, timeoutMs);
      this.#applyReply(message, reply);
      return reply;
    } catch {
      schedule.failed();
      ownership.avoid(to);
      void ownership.reload();
      return undefined;
    } finally {
      holder.cancelSync(message.seq);
    }
  }

  #applyReply(message: SyncMessage, reply: BudgetReply): void {
    const {holder, ownership, schedule, roleTransition} = this.#deps;
    switch (reply.kind) {
      case 'granted':
        roleTransition.observeOwner(reply.epoch, reply.owner);
        if (!holder.acceptGrant(reply, ownership.epoch)) return;
        schedule.answered(reply);
        return;
      case 'void':
        if (reply.epoch < ownership.epoch) return;
        roleTransition.observeOwner(reply.epoch, reply.owner);
        if (message.heldEpoch <= reply.epoch) holder.clear();
        return;
      case 'notOwner':
        roleTransition.observeOwner(reply.epoch, reply.owner);
        return;
      default:
        schedule.failed();
    }
  }
}
