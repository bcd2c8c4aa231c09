/** Decides whether this node's knowledge of the configuration may be trusted. */

import type {Members} from './members.js';
import type {StoreContact} from './store-contact.js';

/** Default maximum age of the last contacts with the store and a majority. */
export const DEFAULT_STANDING_LIMIT_MS = 3_000;

/**
 * - `current`: the store recently answered this node, or one that gossips with it.
 * - `outage`: no recent store contact, but contact with a majority of the VMs:
 *   the store itself is unavailable.
 * - `cutOff`: neither; configuration changes may be in force that this node
 *   doesn't know of.
 */
export type Standing = 'current' | 'outage' | 'cutOff';

/** Dependencies and settings of {@link StandingMonitor}. */
export interface StandingOptions {
  readonly contact: StoreContact;
  readonly members: Members;
  readonly limitMs?: number;
}

/** Computes the standing at each use, so that a process pause is noticed. */
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
   * The current standing. Don't cache it.
   *
   * @example
   * if (standing.evaluate() === 'cutOff') return refuse('notRun');
   */
  evaluate(): Standing {
    if (this.#contact.ageMs() <= this.#limitMs) return 'current';
    return this.#members.heard.hasMajorityWithin(this.#limitMs)
      ? 'outage'
      : 'cutOff';
  }
}
