/** Replica side of replication: finds the primary and pulls its log. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Position} from '../../src/session/position.js';
import type {GroupMember} from './member.js';
import type {PeerAddress} from './options.js';
import type {PeerClient} from './peer-client.js';
import {
  ENTRIES_PATH,
  STATE_PATH,
  type PeerState,
  type PullAnswer,
} from './replication-messages.js';
import type {FreezeGate} from './signal.js';

/** Interval between polls of a peer while the primary is known. */
const POLL_INTERVAL_MS = 100;
/** Interval between polls of a peer, and between pulls, without a primary. */
const SEARCH_INTERVAL_MS = 10;

/** The peer that this database follows as its primary. */
interface Upstream {
  readonly peer: PeerAddress;
  readonly term: number;
}

/** Follows the primary of the highest term among the peers. */
export class ReplicationFollower {
  readonly #member: GroupMember;
  readonly #peers: PeerClient;
  readonly #gate: FreezeGate;
  readonly #linkMs: number;
  readonly #stop = new AbortController();
  #upstream: Upstream | undefined;

  constructor(
    member: GroupMember,
    peers: PeerClient,
    gate: FreezeGate,
    linkMs: number,
  ) {
    this.#member = member;
    this.#peers = peers;
    this.#gate = gate;
    this.#linkMs = linkMs;
  }

  /** Starts one polling task for each peer and one task that pulls. */
  start(peers: readonly PeerAddress[]): void {
    for (const peer of peers) void this.#pollPeer(peer);
    void this.#pullLoop();
  }

  stop(): void {
    this.#stop.abort();
    this.#member.changed.notify();
  }

  async #pollPeer(peer: PeerAddress): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#waitForNextPoll();
      // The pull loop already detects when the followed primary steps down.
      if (this.#hasCurrentPrimary() && this.#upstream?.peer === peer) continue;
      const state = await this.#peers.get<PeerState>(peer, STATE_PATH);
      await this.#gate.waitUntilOpen();
      if (state?.role === 'primary') this.#followIfNewer(peer, state);
    }
  }

  /** Switches to a primary whose term is higher than that of the upstream. */
  #followIfNewer(peer: PeerAddress, state: PeerState): void {
    this.#member.recordTerm(state.term, state.orderer);
    if (this.#member.role === 'primary') return;
    if (state.term < this.#member.fencedTerm) return;
    if (state.term <= (this.#upstream?.term ?? 0)) return;
    const replaced = this.#upstream !== undefined;
    this.#upstream = {peer, term: state.term};
    // A pull from the previous primary would otherwise wait for its answer.
    if (replaced) this.#peers.abort();
  }

  /** Waits for the next poll, or until a fence ends the primary's term. */
  async #waitForNextPoll(): Promise<void> {
    const endMs = performance.now() + POLL_INTERVAL_MS;
    while (this.#hasCurrentPrimary() && !this.#stop.signal.aborted) {
      const remainingMs = endMs - performance.now();
      if (remainingMs <= 0) return await this.#gate.waitUntilOpen();
      await this.#member.changed.wait(remainingMs);
    }
    await this.#pause(SEARCH_INTERVAL_MS);
  }

  #hasCurrentPrimary(): boolean {
    const {role, fencedTerm} = this.#member;
    if (role === 'primary') return true;
    return this.#upstream !== undefined && this.#upstream.term >= fencedTerm;
  }

  async #pullLoop(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      if (this.#member.role === 'primary') this.#upstream = undefined;
      const upstream = this.#upstream;
      if (upstream !== undefined) await this.#pullFrom(upstream);
      if (upstream !== this.#upstream) continue;
      this.#upstream = undefined;
      await this.#pause(SEARCH_INTERVAL_MS);
    }
  }

  /** Pulls until the primary fails, is fenced off or is replaced by another. */
  async #pullFrom(upstream: Upstream): Promise<void> {
    const {log} = this.#member;
    let previous = log.last;
    while (upstream === this.#upstream) {
      const answer = await this.#pull(upstream.peer, previous);
      if (answer === undefined || answer.kind === 'notPrimary') return;
      if (answer.kind === 'mismatch') {
        previous = log.positionAt(log.offsetBeforeTermOf(previous.offset));
        continue;
      }
      if (!this.#member.accept(answer)) return;
      // The log may end in a stale tail that the primary does not have.
      const end = answer.previous.offset + answer.entries.length;
      previous = log.positionAt(end);
    }
  }

  async #pull(
    peer: PeerAddress,
    {term, offset}: Position,
  ): Promise<PullAnswer | undefined> {
    const path = `${ENTRIES_PATH}?term=${term}&offset=${offset}`;
    const answer = await this.#peers.get<PullAnswer>(peer, path);
    const carries = answer?.kind === 'entries' && answer.entries.length > 0;
    if (carries) await this.#pause(this.#linkMs);
    await this.#gate.waitUntilOpen();
    return this.#peers.isBlocked(peer.id) ? undefined : answer;
  }

  async #pause(ms: number): Promise<void> {
    await sleep(ms, undefined, {signal: this.#stop.signal}).catch(() => {});
    await this.#gate.waitUntilOpen();
  }
}
