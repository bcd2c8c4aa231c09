/** Cluster membership: merges the platform's list with the nodes' reports. */

import type {Clock} from '../infra/clock.js';
import type {VmRecord} from '../infra/vm-list.js';
import {MemberView, type HomeOrderOptions} from './member-view.js';
import {
  createMemberEntry,
  isLive,
  toMember,
  type MemberEntry,
} from './member-entry.js';
import {LastContactTable} from './last-contact-table.js';
import {isRedundantDeath, resolveStatus} from './status-rules.js';
import {MemberChanges} from './member-changes.js';
import {MemberDigest} from './member-digest.js';
import {
  isVmRecord,
  supersedes,
  type Member,
  type MemberDelta,
  type MemberIdentity,
} from './member.js';

/** Time that a suspected VM has to refute before it counts as dead. */
export const DEFAULT_SUSPICION_MS = 2_000;

/** A node trusts its failure detection if it contacted a majority within this time. */
const MAJORITY_CONTACT_MS = 3_000;

/** Dead or leaving VMs that are not listed are removed after this time. */
const FORGET_UNLISTED_MS = 600_000;

/** Dependencies and settings of {@link Members}. */
export interface MembersOptions {
  /** This node's own VM. */
  readonly self: VmRecord;
  /** Random for each start of the process. */
  readonly instance: string;
  readonly clock: Clock;
  readonly suspicionMs?: number;
}

/** One node's view of the membership. */
export class Members {
  readonly #options: MembersOptions;
  readonly #vms = new Map<string, MemberEntry>();
  readonly #changes: MemberChanges;
  readonly #digest: MemberDigest;
  readonly #heard: LastContactTable;
  readonly #listeners = new Set<() => void>();
  readonly #view = new MemberView(this.#vms);
  #listRevision = 0;

  constructor(options: MembersOptions) {
    this.#options = options;
    this.#heard = new LastContactTable(options.clock, options.self.id);
    this.#changes = new MemberChanges(options.clock);
    this.#digest = new MemberDigest(this.#vms, this.#changes);
    const {self, instance} = options;
    const vm = createMemberEntry(self, 'unlisted');
    vm.identity = {...vm.identity, instance};
    this.#vms.set(self.id, vm);
    this.#changes.record(self.id);
  }

  /** Id of this node's VM. */
  get selfId(): string {
    return this.#options.self.id;
  }

  /** Identity and status that this node reports of itself. */
  get selfIdentity(): MemberIdentity {
    return this.#vms.get(this.selfId)!.identity;
  }

  /** The last accepted identity of a VM, reported by itself or by others. */
  identityOf(id: string): MemberIdentity | undefined {
    return this.#vms.get(id)?.identity;
  }

  /** Last contact with each VM. */
  get heard(): LastContactTable {
    return this.#heard;
  }

  /** Selects the changes to send to other nodes. */
  get digest(): MemberDigest {
    return this.#digest;
  }

  /** Every known VM. */
  all(): readonly Member[] {
    return this.#view.all();
  }

  /** A VM by its id. */
  find(id: string): Member | undefined {
    const vm = this.#vms.get(id);
    return vm && toMember(vm);
  }

  /** VMs that may receive work: neither dead nor leaving. */
  live(): readonly Member[] {
    return this.#view.live();
  }

  /**
   * Live VMs in order of preference as the home of a group.
   *
   * @example
   * const [home] = members.homeOrder('claims', {dataCentre: 'hobart'});
   */
  homeOrder(
    groupName: string,
    options: HomeOrderOptions = {},
  ): readonly Member[] {
    return this.#view.homeOrder(groupName, options);
  }

  /** Number of listed VMs contacted within `ms`, this one included. */
  countContactedWithin(ms: number): number {
    return this.#heard.countWithin(ms);
  }

  /** Applies the platform's list; older revisions are ignored. */
  applyList(records: readonly VmRecord[], revision: number): void {
    if (revision <= this.#listRevision) return;
    this.#listRevision = revision;
    const ids = new Set(records.map(record => record.id));
    for (const record of records) this.#applyRecord(record);
    for (const [id, vm] of this.#vms) {
      if (ids.has(id) || vm.listing !== 'listed') continue;
      vm.listing = 'removed';
      vm.statusAgeMs = 0;
    }
    this.#heard.setListedIds([...ids], revision);
    const unchanged = this.selfIdentity.incarnation === 0;
    if (ids.has(this.selfId) && unchanged) this.#changes.forget(this.selfId);
    this.#notifyListeners();
  }

  /** Applies another node's report of a VM. */
  applyDelta(delta: MemberDelta): void {
    if (delta.id === this.selfId) return this.#refute(delta);
    const vm = this.#vms.get(delta.id) ?? this.#addFromDelta(delta);
    if (vm === undefined || !supersedes(delta, vm.identity)) return;
    if (isRedundantDeath(delta, vm.identity)) return;
    const isDoubtful = delta.doubtful === true;
    if (isDoubtful && this.hasMajorityContact) return;
    vm.isDoubtful = isDoubtful;
    const {instance, incarnation, status} = delta;
    // Reported deaths only raise a suspicion, so that the VM can refute them.
    this.#set(vm, {
      instance,
      incarnation,
      status: status === 'dead' ? 'suspect' : status,
    });
  }

  /** Applies the identity that a VM itself reported at most `ageMs` ago. */
  applySelfReport(id: string, identity: MemberIdentity, ageMs: number): void {
    const vm = this.#vms.get(id);
    if (vm === undefined) return;
    this.#heard.recordContact(id, ageMs);
    const {incarnation, instance} = vm.identity;
    if (identity.incarnation < incarnation) return;
    const isSameProcess =
      identity.incarnation === incarnation && identity.instance === instance;
    if (isSameProcess && identity.status === vm.identity.status) return;
    this.#set(vm, identity);
  }

  /** Whether this node recently contacted a majority, so that it may judge others. */
  get hasMajorityContact(): boolean {
    return this.#heard.hasMajorityWithin(MAJORITY_CONTACT_MS);
  }

  /**
   * Marks a VM as suspect after it answered no probe.
   *
   * @param hadMajorityContact Whether this node had contact with a majority
   *   when the probe began.
   */
  suspect(id: string, hadMajorityContact = true): void {
    const vm = this.#vms.get(id);
    if (vm === undefined || id === this.selfId) return;
    if (vm.identity.status !== 'alive') return;
    vm.isDoubtful = !hadMajorityContact || !this.hasMajorityContact;
    this.#set(vm, {...vm.identity, status: 'suspect'});
  }

  /** Advances each VM's time in its status and applies status timeouts. */
  advanceStatusTimers(elapsedMs: number): void {
    const {hasMajorityContact} = this;
    const suspicionMs = this.#options.suspicionMs ?? DEFAULT_SUSPICION_MS;
    for (const [id, vm] of this.#vms) {
      if (id === this.selfId) continue;
      vm.statusAgeMs += elapsedMs;
      const lastContactAgeMs = this.#heard.ageMs(id);
      const inputs = {hasMajorityContact, lastContactAgeMs, suspicionMs};
      const status = resolveStatus(vm, inputs);
      if (status !== vm.identity.status) {
        vm.isDoubtful = !hasMajorityContact;
        this.#set(vm, {...vm.identity, status});
      }
      const gone = vm.listing !== 'listed' && !isLive(toMember(vm));
      if (gone && vm.statusAgeMs >= FORGET_UNLISTED_MS) this.#forget(id);
    }
  }

  /** Announces that this VM takes no new work. */
  announceLeaving(): void {
    const self = this.#vms.get(this.selfId)!;
    const incarnation = self.identity.incarnation + 1;
    this.#set(self, {...self.identity, incarnation, status: 'leaving'});
  }

  /** Calls `listener` after each change; returns a function that removes it. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #applyRecord(record: VmRecord): void {
    const known = this.#vms.get(record.id);
    if (known === undefined) {
      this.#vms.set(record.id, createMemberEntry(record, 'listed'));
      return;
    }
    known.record = record;
    known.listing = 'listed';
  }

  #addFromDelta({record, id}: MemberDelta): MemberEntry | undefined {
    if (!isVmRecord(record) || record.id !== id) return undefined;
    const vm = createMemberEntry(record, 'unlisted');
    this.#vms.set(id, vm);
    this.#notifyListeners();
    return vm;
  }

  #forget(id: string): void {
    this.#vms.delete(id);
    this.#heard.forget(id);
    this.#notifyListeners();
  }

  #refute(delta: MemberDelta): void {
    const self = this.#vms.get(this.selfId)!;
    const {instance, incarnation, status} = self.identity;
    if (delta.incarnation < incarnation) {
      // The reporting node missed the refutation: send it again.
      if (delta.status !== 'alive') this.#changes.record(this.selfId);
      return;
    }
    if (delta.instance === instance && delta.status === status) return;
    const next = delta.incarnation + 1;
    this.#set(self, {instance, incarnation: next, status});
  }

  #set(vm: MemberEntry, identity: MemberIdentity): void {
    const {instance, status} = vm.identity;
    vm.identity = identity;
    if (identity.status === 'alive') vm.isDoubtful = false;
    const changed = identity.status !== status;
    // The first report of a listed VM isn't sent: every node expects it alive.
    const shouldSend = instance !== '' || vm.listing === 'unlisted';
    if (changed || shouldSend) this.#changes.record(vm.record.id);
    if (!changed) return this.#digest.invalidate();
    vm.statusAgeMs = 0;
    this.#notifyListeners();
  }

  #notifyListeners(): void {
    this.#view.invalidate();
    this.#digest.invalidate();
    for (const listener of this.#listeners) listener();
  }
}
