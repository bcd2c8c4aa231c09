/** Holds the platform's orders to a database, for tests of who dies when. */
import {FreezeGate} from './signal.js';

/** An order of the platform that changes who leads. */
export type OrderKind = 'fence' | 'promote';

/** Whether an order is held before it takes effect, or its answer after. */
export type OrderMoment = 'before' | 'after';

/** An order that is held. */
export interface HeldOrder {
  readonly kind: OrderKind;
  readonly moment: OrderMoment;
  readonly orderer: string;
}

interface Hold {
  readonly gate: FreezeGate;
  readonly orderer: string;
}

/** The gates that orders and their answers pass. */
export class OrderGates {
  readonly #holds = new Map<string, Hold>();
  readonly #held = new Set<HeldOrder>();

  /** The orders that are held now. */
  get held(): readonly HeldOrder[] {
    return [...this.#held];
  }

  /** Holds the orders of orderers whose names begin so, for `ms` from now. */
  hold({kind, moment, orderer}: HeldOrder, ms: number): void {
    const key = `${moment} ${kind}`;
    this.#holds.get(key)?.gate.release();
    const gate = new FreezeGate();
    gate.freeze(ms);
    this.#holds.set(key, {gate, orderer});
  }

  /** Resolves once the order or its answer may pass. */
  async pass(order: HeldOrder): Promise<void> {
    const hold = this.#holds.get(`${order.moment} ${order.kind}`);
    if (hold === undefined || !order.orderer.startsWith(hold.orderer)) return;
    this.#held.add(order);
    await hold.gate.pass();
    this.#held.delete(order);
  }
}
