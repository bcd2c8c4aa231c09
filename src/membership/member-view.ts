/** The read-only view of the VMs, computed once for each change. */

import {isLive, toMember, type KnownVm} from './known-vm.js';
import type {Member} from './member.js';
import {rankByRendezvous} from './rendezvous.js';

/** Choices of a home order. */
export interface HomeOrderOptions {
  /** VMs of this data centre come first. */
  readonly dataCentre?: string;
}

/** Snapshots and rankings that last until the next change. */
export class MemberView {
  readonly #vms: ReadonlyMap<string, KnownVm>;
  readonly #homeOrders = new Map<string, readonly Member[]>();
  #all: readonly Member[] | undefined;
  #live: readonly Member[] | undefined;

  constructor(vms: ReadonlyMap<string, KnownVm>) {
    this.#vms = vms;
  }

  /** Forgets what was computed, after a change. */
  clear(): void {
    this.#all = undefined;
    this.#live = undefined;
    this.#homeOrders.clear();
  }

  /** Every known VM; the same array until the next change. */
  all(): readonly Member[] {
    this.#all ??= [...this.#vms.values()].map(toMember);
    return this.#all;
  }

  /** VMs that may be given work; the same array until the next change. */
  live(): readonly Member[] {
    this.#live ??= this.all().filter(isLive);
    return this.#live;
  }

  /** Live VMs by descending rank, those of the preferred data centre first. */
  homeOrder(
    groupName: string,
    {dataCentre}: HomeOrderOptions,
  ): readonly Member[] {
    const key = `${dataCentre ?? ''}\n${groupName}`;
    const known = this.#homeOrders.get(key);
    if (known !== undefined) return known;
    const ranked = rankByRendezvous(groupName, this.live());
    const near = ranked.filter(vm => vm.dataCentre === dataCentre);
    const far = ranked.filter(vm => vm.dataCentre !== dataCentre);
    const order = [...near, ...far];
    this.#homeOrders.set(key, order);
    return order;
  }
}
