/** Records when the platform's store last answered this node or another. */

import type {Clock} from '../infra/clock.js';
import {elapsedSince, takeInstant, type Instant} from './elapsed.js';

/** Time of the latest known answer of the store. */
export class StoreContact {
  readonly #clock: Clock;
  #lastContact: Instant | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records that the store answered at most `ageMs` ago.
   *
   * @example
   * const start = takeInstant(clock);
   * await store.get(key);
   * contact.recordContact(elapsedSince(clock, start));
   */
  recordContact(ageMs: number): void {
    if (ageMs >= this.ageMs()) return;
    this.#lastContact = takeInstant(this.#clock, ageMs);
  }

  /** Time since the latest known answer; infinite if there is none. */
  ageMs(): number {
    if (this.#lastContact === undefined) return Infinity;
    return Math.max(0, elapsedSince(this.#clock, this.#lastContact));
  }
}
