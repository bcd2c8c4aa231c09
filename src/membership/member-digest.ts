/** Selects the membership changes that a node sends to others. */

import {toDelta, type MemberEntry} from './member-entry.js';
import type {MemberDelta} from './member.js';
import type {MemberChanges} from './member-changes.js';
import {rendezvousScore} from './rendezvous.js';

/** Builds gossip deltas and the checksum that detects missed ones. */
export class MemberDigest {
  readonly #vms: ReadonlyMap<string, MemberEntry>;
  readonly #changes: MemberChanges;
  #checksum: number | undefined;

  constructor(vms: ReadonlyMap<string, MemberEntry>, changes: MemberChanges) {
    this.#vms = vms;
    this.#changes = changes;
  }

  /** Discards the cached checksum after a membership change. */
  invalidate(): void {
    this.#checksum = undefined;
  }

  /** Recent changes for the next message. */
  takeDeltas(): readonly MemberDelta[] {
    // A refutation must spread faster than the suspicion that it refutes.
    const isUrgent = (id: string) =>
      this.#vms.get(id)?.identity.status === 'alive';
    const ids = this.#changes.take(this.#vms.size, isUrgent);
    return this.#toDeltas(ids);
  }

  /** Listed VMs that are not alive, for a node that has missed some changes. */
  downDeltas(): readonly MemberDelta[] {
    return this.#down().map(toDelta);
  }

  /** The delta of a VM unless it is alive; sent to that VM for it to refute. */
  notAliveDeltaOf(id: string): MemberDelta | undefined {
    const vm = this.#vms.get(id);
    return vm && vm.identity.status !== 'alive' ? toDelta(vm) : undefined;
  }

  /** Equal on nodes that agree on the listed VMs that are not alive. */
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

  #down(): MemberEntry[] {
    return [...this.#vms.values()].filter(
      vm => vm.listing === 'listed' && vm.identity.status !== 'alive',
    );
  }
}
