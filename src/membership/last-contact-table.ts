/** Last-contact table: when each VM last answered this node or any other. */

import type {Clock} from '../infra/clock.js';
import {elapsedSince, takeInstant, type Instant} from './elapsed.js';
import {compareIds, rankByRendezvous} from './rendezvous.js';

/** Maximum number of VMs in an exchange of ages; a larger fleet is sampled. */
export const MAX_SAMPLED_VMS = 128;

/** Resolution of the ages in an exchange. */
const AGE_UNIT_MS = 20;

/** Encodes "no contact, or too long ago to encode" in an exchange. */
const AGE_UNKNOWN = 255;

/** Contact ages of the sampled VMs, sorted by id, for one revision of the list. */
export interface ContactAges {
  readonly listRevision: number;
  readonly ages: Uint8Array;
}

/** Records the last contact with each VM and counts recently contacted ones. */
export class LastContactTable {
  readonly #clock: Clock;
  readonly #self: string;
  readonly #heard = new Map<string, Instant>();
  #listRevision = 0;
  #listedCount = 0;
  #sample: readonly string[] = [];

  constructor(clock: Clock, self: string) {
    this.#clock = clock;
    this.#self = self;
  }

  /** Sets the ids on the platform's list. */
  setListedIds(ids: readonly string[], revision: number): void {
    this.#listRevision = revision;
    this.#listedCount = ids.length;
    const items = ids.map(id => ({id}));
    this.#sample = rankByRendezvous('heard-sample', items)
      .slice(0, MAX_SAMPLED_VMS)
      .map(({id}) => id)
      .sort(compareIds);
  }

  /** Number of VMs on the platform's list. */
  get listedCount(): number {
    return this.#listedCount;
  }

  /** Records that a VM was running at most `ageMs` ago. */
  recordContact(id: string, ageMs: number): void {
    if (ageMs >= this.ageMs(id)) return;
    this.#heard.set(id, takeInstant(this.#clock, ageMs));
  }

  /** Removes a VM. */
  forget(id: string): void {
    this.#heard.delete(id);
  }

  /** Time since the last contact with a VM; infinite if there was none. */
  ageMs(id: string): number {
    if (id === this.#self) return 0;
    const instant = this.#heard.get(id);
    if (instant === undefined) return Infinity;
    return Math.max(0, elapsedSince(this.#clock, instant));
  }

  /** Number of listed VMs contacted within `ms`; estimated if they are sampled. */
  countWithin(ms: number): number {
    if (this.#sample.length === 0) return 0;
    const heard = this.#sample.filter(id => this.ageMs(id) <= ms).length;
    return Math.floor((heard * this.#listedCount) / this.#sample.length);
  }

  /** Whether more than half of the listed VMs were contacted within `ms`. */
  hasMajorityWithin(ms: number): boolean {
    return 2 * this.countWithin(ms) > this.#listedCount;
  }

  /** Encodes the ages for another node. */
  toAges(): ContactAges {
    const ages = this.#sample.map(id =>
      Math.min(AGE_UNKNOWN, Math.ceil(this.ageMs(id) / AGE_UNIT_MS)),
    );
    return {listRevision: this.#listRevision, ages: Uint8Array.from(ages)};
  }

  /**
   * Merges the ages of another node, sent at most `elapsedMs` ago. Ages for
   * another revision of the list are ignored: their order may differ.
   */
  acceptAges({listRevision, ages}: ContactAges, elapsedMs: number): void {
    if (listRevision !== this.#listRevision) return;
    if (ages.length !== this.#sample.length) return;
    this.#sample.forEach((id, at) => {
      const age = ages[at]!;
      if (age !== AGE_UNKNOWN)
        this.recordContact(id, age * AGE_UNIT_MS + elapsedMs);
    });
  }
}
