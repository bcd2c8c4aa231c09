/** Remembers the order of homes of each group until the view changes. */

import type {Member} from './member.js';
import {rankByRendezvous} from './rendezvous.js';

/** Choices of a home order. */
export interface HomeOrderOptions {
  /** VMs of this data centre come first. */
  readonly dataCentre?: string;
}

/** Live VMs ranked for each group. */
export class HomeOrders {
  readonly #live: () => readonly Member[];
  readonly #orders = new Map<string, readonly Member[]>();

  constructor(live: () => readonly Member[]) {
    this.#live = live;
  }

  /** Forgets the orders, after a change of the view. */
  clear(): void {
    this.#orders.clear();
  }

  /** Live VMs by descending rank, those of the preferred data centre first. */
  resolve(
    groupName: string,
    {dataCentre}: HomeOrderOptions,
  ): readonly Member[] {
    const key = `${dataCentre ?? ''}\n${groupName}`;
    const known = this.#orders.get(key);
    if (known !== undefined) return known;
    const ranked = rankByRendezvous(groupName, this.#live());
    const near = ranked.filter(vm => vm.dataCentre === dataCentre);
    const far = ranked.filter(vm => vm.dataCentre !== dataCentre);
    const order = [...near, ...far];
    this.#orders.set(key, order);
    return order;
  }
}
