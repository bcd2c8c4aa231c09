/** Delays fence and promote orders, for tests that stop a process midway. */
import {FreezeGate} from './signal.js';

/** An order that changes which database is primary. */
export type OrderKind = 'fence' | 'promote';

/** Delays the order before it takes effect, or its answer afterwards. */
export type OrderPhase = 'before' | 'after';

/** An order, and the phase in which it is delayed. */
export interface HeldOrder {
  readonly kind: OrderKind;
  readonly moment: OrderPhase;
  readonly orderer: string;
}

interface Hold {
  readonly gate: FreezeGate;
  orderer: string;
}

/** Delays orders and their answers on request. */
export class OrderGates {
  readonly #holds = new Map<string, Hold>();
  readonly #held = new Set<HeldOrder>();

  /** Orders that are delayed now. */
  get held(): readonly HeldOrder[] {
    return [...this.#held];
  }

  /** Delays orders whose orderer starts with `orderer` for `ms` from now. */
  hold({kind, moment, orderer}: HeldOrder, ms: number): void {
    const key = `${moment} ${kind}`;
    this.#holds.get(key)?.gate.release();
    const gate = new FreezeGate();
    gate.freeze(ms);
    this.#holds.set(key, {gate, orderer});
  }

  /** Delays from now on only orders whose orderer starts with `orderer`. */
  narrow(orderer: string): void {
    for (const hold of this.#holds.values()) hold.orderer = orderer;
  }

  /** Resolves when the order or its answer is no longer delayed. */
  async waitUntilReleased(order: HeldOrder): Promise<void> {
    const hold = this.#holds.get(`${order.moment} ${order.kind}`);
    if (hold === undefined || !order.orderer.startsWith(hold.orderer)) return;
    this.#held.add(order);
    await hold.gate.waitUntilOpen();
    this.#held.delete(order);
  }
}
