/** Whether this node may act on what it knows. */

import type {Members} from './members.js';
import type {StoreContact} from './store-contact.js';

/** How old the proof of contact with the store may be. */
export const DEFAULT_STANDING_LIMIT_MS = 3_000;

/**
 * - `current`: the store answered lately, this node or one that it hears of.
 * - `outage`: it did not, but most VMs are heard: the store itself is out.
 * - `cutOff`: neither; changes may be in force that this node can't see.
 */
export type Standing = 'current' | 'outage' | 'cutOff';

/** What the standing depends on. */
export interface StandingOptions {
  readonly contact: StoreContact;
  readonly members: Members;
  readonly limitMs?: number;
}

/** Evaluates the standing at each use, so that a pause can't be missed. */
export class StandingMonitor {
  readonly #contact: StoreContact;
  readonly #members: Members;
  readonly #limitMs: number;

  constructor(options: StandingOptions) {
    this.#contact = options.contact;
    this.#members = options.members;
    this.#limitMs = options.limitMs ?? DEFAULT_STANDING_LIMIT_MS;
  }

  /**
   * The standing at this moment; never keep it.
   *
   * @example
   * if (standing.evaluate() === 'cutOff') return refuse('notRun');
   */
  evaluate(): Standing {
    if (this.#contact.ageMs() <= this.#limitMs) return 'current';
    return this.#members.heard.hearsMajority(this.#limitMs)
      ? 'outage'
      : 'cutOff';
  }
}
