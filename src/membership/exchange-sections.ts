/** Gossip sections for store contact, last contacts and membership changes. */

import type {Comparison, ExchangeSection} from './exchange.js';
import type {ContactAges} from './last-contact-table.js';
import {
  isMemberDelta,
  isMemberIdentity,
  type MemberDelta,
  type MemberIdentity,
} from './member.js';
import {MAX_CHANGES_PER_MESSAGE} from './member-changes.js';
import type {Members} from './members.js';
import type {StoreContact} from './store-contact.js';
import type {Random} from '../infra/clock.js';

/** Minimum freshness gain for which a newer store contact is requested. */
const MIN_FRESHNESS_GAIN_MS = 300;

/** Age of the store contact above which a node requests the peer's last contacts. */
const STALE_STORE_CONTACT_MS = 1_500;

/** Below this share of recently contacted VMs a node requests last contacts. */
const ENOUGH_CONTACTS_SHARE = 0.9;

/** Maximum age of a recent contact. */
const RECENT_CONTACT_MS = 3_000;

/** Exchanges the age of the last contact with the store. */
export class StoreContactSection implements ExchangeSection {
  readonly name = 'store';
  readonly #contact: StoreContact;

  constructor(contact: StoreContact) {
    this.#contact = contact;
  }

  summary(): unknown {
    return this.#ageMs();
  }

  compare(theirs: unknown): Comparison {
    const theirAgeMs = typeof theirs === 'number' ? theirs : Infinity;
    const ageMs = this.#ageMs() ?? Infinity;
    if (ageMs < theirAgeMs) return {give: ageMs};
    return ageMs - theirAgeMs > MIN_FRESHNESS_GAIN_MS ? {want: true} : {};
  }

  provide(): unknown {
    return this.#ageMs();
  }

  accept(content: unknown, elapsedMs: number): void {
    if (typeof content !== 'number' || !(content >= 0)) return;
    this.#contact.recordContact(content + elapsedMs);
  }

  #ageMs(): number | undefined {
    const ageMs = this.#contact.ageMs();
    return Number.isFinite(ageMs) ? Math.ceil(ageMs) : undefined;
  }
}

/** Exchanges how long ago each VM was last contacted. */
export class LastContactSection implements ExchangeSection {
  readonly name = 'heard';
  readonly #members: Members;
  readonly #contact: StoreContact;

  constructor(members: Members, contact: StoreContact) {
    this.#members = members;
    this.#contact = contact;
  }

  summary(): unknown {
    return undefined;
  }

  compare(): Comparison {
    const give = this.provide();
    return this.#needsMoreContacts() ? {give, want: true} : {give};
  }

  provide(): unknown {
    const {listRevision, ages} = this.#members.heard.toAges();
    return ages.length === 0 ? undefined : [listRevision, ages];
  }

  accept(content: unknown, elapsedMs: number): void {
    if (!Array.isArray(content)) return;
    const [listRevision, ages] = content as unknown[];
    if (!(ages instanceof Uint8Array)) return;
    const heard = {listRevision, ages} as ContactAges;
    this.#members.heard.acceptAges(heard, elapsedMs);
  }

  #needsMoreContacts(): boolean {
    if (this.#contact.ageMs() > STALE_STORE_CONTACT_MS) return true;
    const {heard} = this.#members;
    const wanted = ENOUGH_CONTACTS_SHARE * heard.listedCount;
    return heard.countWithin(RECENT_CONTACT_MS) < wanted;
  }
}

interface MembersContent {
  readonly self: MemberIdentity;
  readonly deltas: readonly MemberDelta[];
  /** Checksum of the VMs that are not alive; equal if two nodes agree on them. */
  readonly down: number;
}

/** Exchanges recent membership changes, and older ones that a node has missed. */
export class MembersSection implements ExchangeSection {
  readonly name = 'vms';
  readonly #members: Members;
  readonly #random: Random;

  constructor(members: Members, random: Random) {
    this.#members = members;
    this.#random = random;
  }

  summary(): MembersContent {
    const {digest, selfIdentity} = this.#members;
    const deltas = digest.takeDeltas();
    return {self: selfIdentity, deltas, down: digest.checksum};
  }

  compare(theirs: unknown, from: string): Comparison {
    const content = parseMembersContent(theirs);
    if (content === undefined) return {give: this.summary()};
    this.#members.applyDelta({id: from, ...content.self});
    content.deltas.forEach(delta => this.#members.applyDelta(delta));
    const own = this.summary();
    if (own.down === content.down) return {give: own};
    const opinion = this.#members.digest.notAliveDeltaOf(from);
    const deltas = this.#withDownVms(
      opinion ? [opinion, ...own.deltas] : own.deltas,
    );
    return {give: {...own, deltas}, want: true};
  }

  provide(): MembersContent {
    const own = this.summary();
    return {...own, deltas: this.#withDownVms(own.deltas)};
  }

  accept(given: unknown, elapsedMs: number, from: string): void {
    const content = parseMembersContent(given);
    if (content === undefined) return;
    this.#members.applySelfReport(from, content.self, elapsedMs);
    content.deltas.forEach(delta => this.#members.applyDelta(delta));
  }

  /** Adds VMs that are not alive to the recent changes, up to the message limit. */
  #withDownVms(recent: readonly MemberDelta[]): readonly MemberDelta[] {
    const sent = new Set(recent.map(delta => delta.id));
    const down = this.#members.digest
      .downDeltas()
      .filter(({id}) => !sent.has(id));
    const first = Math.floor(this.#random.next() * down.length);
    const rotated = [...down.slice(first), ...down.slice(0, first)];
    return [...recent, ...rotated].slice(0, MAX_CHANGES_PER_MESSAGE);
  }
}

function parseMembersContent(value: unknown): MembersContent | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const {self, deltas, down} = value as Partial<MembersContent>;
  if (!isMemberIdentity(self) || !Array.isArray(deltas)) return undefined;
  return {self, deltas: deltas.filter(isMemberDelta), down: Number(down)};
}
