/**
 * SWIM-style failure detector: probes a few VMs and suspects one only after
 * indirect probes through other nodes have failed too.
 */

import {callOnNewConnection} from '../peers/call-on-new-connection.js';
import type {PeerConnector} from '../peers/peer-pool.js';
import {PeerError, type PeerHandler} from '../peers/types.js';
import type {Clock, Random} from '../infra/clock.js';
import {elapsedSince, takeInstant} from './elapsed.js';
import {isLive, toPeerAddress} from './member-entry.js';
import {isMemberIdentity, type Member, type MemberIdentity} from './member.js';
import type {Members} from './members.js';
import {decodeProbeAnswer, encodeProbeAnswer} from './probe-answer.js';
import {rankByRendezvous} from './rendezvous.js';
import type {StoreContact} from './store-contact.js';

/** Interval between probe rounds. */
export const PROBE_INTERVAL_MS = 500;

/** Number of VMs that each node probes: its successors in the probe ring. */
const PROBED_SUCCESSORS = 3;

/** Timeout of a probe over a pooled connection. */
const PROBE_TIMEOUT_MS = 1_000;

/** Timeout of a probe over a new connection. */
const FRESH_PROBE_TIMEOUT_MS = 500;

/** Number of nodes that probe a VM on request after it missed a probe. */
const INDIRECT_PROBE_HELPERS = 2;

/** A probe that overran its timeouts by more is discarded: this node was paused. */
const MAX_LOCAL_DELAY_MS = 500;

const METHOD_PROBE = 'membership.probe';
const METHOD_PROBE_FOR = 'membership.probeFor';

/** Dependencies of {@link Prober}. */
export interface ProberOptions {
  readonly members: Members;
  readonly contact: StoreContact;
  readonly caller: PeerConnector;
  readonly clock: Clock;
  readonly random: Random;
}

interface RelayedAnswer {
  /** The encoded answer of the probed node. */
  readonly answer: unknown;
  /** Upper bound of the time between the answer and its relaying. */
  readonly relayMs: number;
}

/** Detects failed VMs by probing. */
export class Prober {
  readonly #options: ProberOptions;
  readonly #probesInFlight = new Set<string>();
  #probeTargets: readonly Member[] = [];
  #membersSnapshot: readonly Member[] | undefined;

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  /** Peer methods that other nodes call. */
  get handlers(): Readonly<Record<string, PeerHandler>> {
    return {
      [METHOD_PROBE]: async body => this.#onProbe(body),
      [METHOD_PROBE_FOR]: async body => this.#onProbeFor(body),
    };
  }

  /** Probes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, members, random} = this.#options;
    await clock.sleep(random.next() * PROBE_INTERVAL_MS, signal);
    while (!signal.aborted) {
      const start = takeInstant(clock);
      for (const vm of this.#currentTargets()) void this.#probe(vm);
      await clock.sleep(PROBE_INTERVAL_MS, signal);
      // Limits the time counted: suspected VMs can't refute while this node is
      // paused.
      const elapsedMs = elapsedSince(clock, start);
      members.advanceStatusTimers(Math.min(elapsedMs, 2 * PROBE_INTERVAL_MS));
    }
  }

  #currentTargets(): readonly Member[] {
    const {members} = this.#options;
    const {selfId} = members;
    const all = members.all();
    if (this.#membersSnapshot === all) return this.#probeTargets;
    const candidates = all.filter(vm => isLive(vm) || vm.id === selfId);
    const ring = rankByRendezvous('ring', candidates);
    const at = ring.findIndex(vm => vm.id === selfId);
    const after = [...ring.slice(at + 1), ...ring.slice(0, at)];
    this.#membersSnapshot = all;
    this.#probeTargets = after.slice(0, PROBED_SUCCESSORS);
    return this.#probeTargets;
  }

  async #probe(vm: Member): Promise<void> {
    if (this.#probesInFlight.has(vm.id)) return;
    this.#probesInFlight.add(vm.id);
    const {clock, members} = this.#options;
    const start = takeInstant(clock);
    const hadMajorityContact = members.hasMajorityContact;
    try {
      if (await this.#isResponsive(vm)) return;
      const limitMs = PROBE_TIMEOUT_MS + PROBE_TIMEOUT_MS + MAX_LOCAL_DELAY_MS;
      if (elapsedSince(clock, start) <= limitMs)
        members.suspect(vm.id, hadMajorityContact);
    } finally {
      this.#probesInFlight.delete(vm.id);
    }
  }

  async #isResponsive(vm: Member): Promise<boolean> {
    const {caller, clock} = this.#options;
    const start = takeInstant(clock);
    const body = this.#notAliveIdentityOf(vm);
    const limit = {timeoutMs: PROBE_TIMEOUT_MS};
    try {
      const to = toPeerAddress(vm);
      const answer = await caller.call(to, METHOD_PROBE, body, limit);
      this.#applyProbeAnswer(vm.id, answer, elapsedSince(clock, start));
      return true;
    } catch (err) {
      // An error response also shows that the node runs.
      if (err instanceof PeerError && err.kind === 'failed') return true;
      return this.#confirmResponsive(vm);
    }
  }

  /**
   * Probes over a new connection and through other nodes, since the pooled
   * connection may have failed rather than the VM.
   */
  async #confirmResponsive(vm: Member): Promise<boolean> {
    const helpers = this.#chooseHelpers(vm.id);
    const attempts = [
      this.#probeFresh(vm),
      ...helpers.map(helper => this.#probeIndirectly(helper, vm)),
    ];
    return Promise.any(attempts).then(
      () => true,
      () => false,
    );
  }

  async #probeFresh(vm: Member): Promise<unknown> {
    const {caller, clock} = this.#options;
    const start = takeInstant(clock);
    const answer = await callOnNewConnection(
      caller,
      toPeerAddress(vm),
      METHOD_PROBE,
      this.#notAliveIdentityOf(vm),
      {timeoutMs: FRESH_PROBE_TIMEOUT_MS},
    );
    this.#applyProbeAnswer(vm.id, answer, elapsedSince(clock, start));
    return answer;
  }

  async #probeIndirectly(helper: Member, vm: Member): Promise<void> {
    const {caller, clock} = this.#options;
    const start = takeInstant(clock);
    const {answer, relayMs} = (await caller.call(
      toPeerAddress(helper),
      METHOD_PROBE_FOR,
      {id: vm.id},
      {timeoutMs: PROBE_TIMEOUT_MS},
    )) as RelayedAnswer;
    const ageMs = elapsedSince(clock, start) + Number(relayMs);
    this.#applyProbeAnswer(vm.id, answer, ageMs);
  }

  #chooseHelpers(targetId: string): readonly Member[] {
    const {members, random} = this.#options;
    const pool = members
      .live()
      .filter(vm => vm.id !== targetId && vm.id !== members.selfId);
    const helpers: Member[] = [];
    while (helpers.length < INDIRECT_PROBE_HELPERS && pool.length > 0) {
      const at = Math.floor(random.next() * pool.length);
      helpers.push(...pool.splice(at, 1));
    }
    return helpers;
  }

  #applyProbeAnswer(id: string, encoded: unknown, elapsedMs: number): void {
    const answer = decodeProbeAnswer(encoded);
    if (answer === undefined) return;
    const {storeAgeMs, ...identity} = answer;
    const {contact, members} = this.#options;
    members.applySelfReport(id, identity, elapsedMs);
    if (storeAgeMs !== undefined) contact.recordContact(storeAgeMs + elapsedMs);
  }

  #onProbe(body: unknown): readonly unknown[] {
    const {contact, members} = this.#options;
    // The prober sends the status that it holds of this node unless it is alive.
    if (isMemberIdentity(body)) {
      members.applyDelta({id: members.selfId, ...body});
    }
    const {instance, incarnation, status} = members.selfIdentity;
    const identity = {instance, incarnation, status};
    const storeAgeMs = Math.ceil(contact.ageMs());
    return encodeProbeAnswer(
      Number.isFinite(storeAgeMs) ? {...identity, storeAgeMs} : identity,
    );
  }

  async #onProbeFor(body: unknown): Promise<RelayedAnswer> {
    const {id} = (body ?? {}) as {readonly id?: unknown};
    const {clock, members} = this.#options;
    const vm = typeof id === 'string' ? members.find(id) : undefined;
    if (vm === undefined)
      throw new Error('no such VM in the view of this node');
    const start = takeInstant(clock);
    const answer = await this.#probeFresh(vm);
    const relayMs = Math.ceil(elapsedSince(clock, start));
    return {answer, relayMs};
  }

  /** The identity held of a VM, for it to refute; null if it is alive. */
  #notAliveIdentityOf({id}: Member): MemberIdentity | null {
    const identity = this.#options.members.identityOf(id);
    return identity?.status === 'alive' ? null : (identity ?? null);
  }
}
