/** Recent membership changes and how often each was sent to other nodes. */

import type {Clock} from '../infra/clock.js';
import {compareIds} from './rendezvous.js';

/** Changes older than this are no longer sent. */
export const MAX_CHANGE_AGE_MS = 60_000;

/** Maximum number of changes in one message. */
export const MAX_CHANGES_PER_MESSAGE = 32;

/** How often a node sends a change, for each doubling of the fleet size. */
const SENDS_PER_FLEET_DOUBLING = 3;

interface Change {
  readonly sinceMs: number;
  sent: number;
}

/** Queue of recent changes to piggyback on gossip messages. */
export class MemberChanges {
  readonly #clock: Clock;
  readonly #changes = new Map<string, Change>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a change of a VM, to be sent again from the start. */
  record(id: string): void {
    this.#changes.set(id, {sinceMs: this.#clock.now(), sent: 0});
  }

  /** Drops a change that other nodes know from elsewhere. */
  forget(id: string): void {
    this.#changes.delete(id);
  }

  /** Takes the changes for the next message: urgent ones, then those least sent. */
  take(
    fleetSize: number,
    isUrgent: (id: string) => boolean,
  ): readonly string[] {
    const limit =
      SENDS_PER_FLEET_DOUBLING * Math.ceil(Math.log2(fleetSize + 1));
    const oldestMs = this.#clock.now() - MAX_CHANGE_AGE_MS;
    for (const [id, change] of this.#changes) {
      const spent = change.sent >= limit || change.sinceMs < oldestMs;
      if (spent) this.#changes.delete(id);
    }
    const chosen = [...this.#changes]
      .sort(
        ([idA, a], [idB, b]) =>
          Number(isUrgent(idB)) - Number(isUrgent(idA)) ||
          a.sent - b.sent ||
          compareIds(idA, idB),
      )
      .slice(0, MAX_CHANGES_PER_MESSAGE);
    for (const [, change] of chosen) change.sent++;
    return chosen.map(([id]) => id);
  }
}
