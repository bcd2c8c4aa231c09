/** Read-only membership snapshots, cached until the next change. */

import {isLive, toMember, type MemberEntry} from './member-entry.js';
import type {Member} from './member.js';
import {rankByRendezvous} from './rendezvous.js';

/** Options of {@link MemberView.homeOrder}. */
export interface HomeOrderOptions {
  /** VMs of this data centre are ranked before all others. */
  readonly dataCentre?: string;
}

/** Caches member snapshots and home rankings. */
export class MemberView {
  readonly #vms: ReadonlyMap<string, MemberEntry>;
  readonly #homeOrders = new Map<string, readonly Member[]>();
  #all: readonly Member[] | undefined;
  #live: readonly Member[] | undefined;

  constructor(vms: ReadonlyMap<string, MemberEntry>) {
    this.#vms = vms;
  }

  /** Discards the cached snapshots after a change. */
  invalidate(): void {
    this.#all = undefined;
    this.#live = undefined;
    this.#homeOrders.clear();
  }

  /** Every known VM; the same array until the next change. */
  all(): readonly Member[] {
    this.#all ??= [...this.#vms.values()].map(toMember);
    return this.#all;
  }

  /** VMs that may receive work; the same array until the next change. */
  live(): readonly Member[] {
    this.#live ??= this.all().filter(isLive);
    return this.#live;
  }

  /** Live VMs in rendezvous order, those of the preferred data centre first. */
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
