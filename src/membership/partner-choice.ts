/** Chooses the partner of the next gossip exchange. */

import type {Clock, Random} from '../infra/clock.js';
import {isLive} from './member-entry.js';
import type {Member} from './member.js';
import type {Members} from './members.js';
import {compareIds, rendezvousScore} from './rendezvous.js';

/** Minimum probability of choosing a dead or leaving VM, so that partitions rejoin. */
const MIN_GONE_PROBABILITY = 0.1;

/** Dependencies and settings of {@link PartnerChoice}. */
export interface PartnerChoiceOptions {
  readonly members: Members;
  readonly clock: Clock;
  readonly random: Random;
  /** Duration of one round; each round has its own permutation. */
  readonly roundMs: number;
}

/**
 * Pairs the live nodes by a permutation that changes with each round: node `i`
 * of the sorted ids calls node `factor * i + shift`, modulo a prime. Each node
 * is then called about once a round, whereas random choices would call some
 * three times and others never. Rounds are numbered by the wall clock; a node
 * whose clock is wrong only uses the permutation of another round.
 */
export class PartnerChoice {
  readonly #options: PartnerChoiceOptions;
  #membersSnapshot: readonly Member[] | undefined;
  #liveVms: readonly Member[] = [];
  #selfIndex = -1;
  #modulus = 2;
  #goneVms: readonly Member[] = [];

  constructor(options: PartnerChoiceOptions) {
    this.#options = options;
  }

  /**
   * The partner of the current round; undefined if no other node is known.
   *
   * @example
   * const partner = choice.next();
   */
  next(): Member | undefined {
    this.#refreshCandidates();
    const {random} = this.#options;
    const live = this.#liveCount;
    const goneShare = this.#goneVms.length / (this.#goneVms.length + live);
    const goneChance = Math.max(MIN_GONE_PROBABILITY, goneShare / 2);
    const tryGone = live === 0 || random.next() < goneChance;
    if (this.#goneVms.length > 0 && tryGone)
      return this.#pickRandom(this.#goneVms);
    return this.#selfIndex < 0
      ? this.#pickRandom(this.#liveVms)
      : this.#pickPermuted();
  }

  /** Number of live nodes besides this one. */
  get #liveCount(): number {
    return this.#selfIndex < 0
      ? this.#liveVms.length
      : this.#liveVms.length - 1;
  }

  #refreshCandidates(): void {
    const {members} = this.#options;
    const all = members.all();
    if (this.#membersSnapshot === all) return;
    this.#membersSnapshot = all;
    const {selfId} = members;
    const live = all.filter(isLive);
    this.#liveVms = live.sort((a, b) => compareIds(a.id, b.id));
    this.#selfIndex = this.#liveVms.findIndex(vm => vm.id === selfId);
    this.#modulus = smallestPrimeFrom(this.#liveVms.length);
    this.#goneVms = all.filter(vm => !isLive(vm) && vm.id !== selfId);
  }

  /** The node to which the round's permutation maps this node. */
  #pickPermuted(): Member | undefined {
    const {clock, roundMs} = this.#options;
    const round = `${Math.floor(clock.wallNow() / roundMs)}`;
    const modulus = this.#modulus;
    const factor = 1 + (rendezvousScore('factor', round) % (modulus - 1));
    const shift = rendezvousScore('shift', round) % modulus;
    let at = this.#selfIndex;
    do at = (factor * at + shift) % modulus;
    while (at >= this.#liveVms.length);
    return at === this.#selfIndex ? this.#pickRandomLive() : this.#liveVms[at];
  }

  #pickRandomLive(): Member | undefined {
    const {selfId} = this.#options.members;
    return this.#pickRandom(this.#liveVms.filter(vm => vm.id !== selfId));
  }

  #pickRandom(vms: readonly Member[]): Member | undefined {
    return vms[Math.floor(this.#options.random.next() * vms.length)];
  }
}

function smallestPrimeFrom(least: number): number {
  let candidate = Math.max(2, least);
  while (!isPrime(candidate)) candidate++;
  return candidate;
}

function isPrime(candidate: number): boolean {
  for (let factor = 2; factor * factor <= candidate; factor++) {
    if (candidate % factor === 0) return false;
  }
  return true;
}
