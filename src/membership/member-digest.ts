/** What a node tells others of the VMs. */

import {toDelta, type KnownVm} from './known-vm.js';
import type {MemberDelta} from './member.js';
import type {MemberChanges} from './member-changes.js';
import {rendezvousScore} from './rendezvous.js';

/** Chooses what to tell. */
export class MemberDigest {
  readonly #vms: ReadonlyMap<string, KnownVm>;
  readonly #changes: MemberChanges;
  #checksum: number | undefined;

  constructor(vms: ReadonlyMap<string, KnownVm>, changes: MemberChanges) {
    this.#vms = vms;
    this.#changes = changes;
  }

  /** Forgets what was computed, after a change of the view. */
  clear(): void {
    this.#checksum = undefined;
  }

  /** Recent changes for the next message. */
  takeDeltas(): readonly MemberDelta[] {
    // A refutation must overtake the suspicion that it answers.
    const isUrgent = (id: string) =>
      this.#vms.get(id)?.identity.status === 'alive';
    const ids = this.#changes.take(this.#vms.size, isUrgent);
    return this.#toDeltas(ids);
  }

  /** Listed VMs that are not alive, for a node that has missed some. */
  downDeltas(): readonly MemberDelta[] {
    return this.#down().map(toDelta);
  }

  /** What this node holds against a VM, for that VM itself to refute. */
  accusationOf(id: string): MemberDelta | undefined {
    const vm = this.#vms.get(id);
    return vm && vm.identity.status !== 'alive' ? toDelta(vm) : undefined;
  }

  /** Equal on two nodes that agree on which listed VMs are not alive. */
  get checksum(): number {
    this.#checksum ??= this.#down().reduce(
      (sum, {record, identity}) =>
        (sum ^ rendezvousScore(`${identity.incarnation}`, record.id)) >>> 0,
      0,
    );
    return this.#checksum;
  }

  #toDeltas(ids: readonly string[]): readonly MemberDelta[] {
    return ids.flatMap(id => {
      const vm = this.#vms.get(id);
      return vm === undefined ? [] : [toDelta(vm)];
    });
  }

  #down(): KnownVm[] {
    return [...this.#vms.values()].filter(
      vm => vm.listing === 'listed' && vm.identity.status !== 'alive',
    );
  }
}
