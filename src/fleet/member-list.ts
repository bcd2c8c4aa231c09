/** The members of the fleet, from their leased records in the store. */
import {rankByRendezvous} from '../membership/rendezvous.js';
import type {Clock} from '../infra/clock.js';
import type {PeerAddress} from '../peers/types.js';
import type {FleetMember} from './member-record.js';

/**
 * Grace period for a lease that lapsed during a store outage: according to the
 * store's operators, a live node has registered again within about two seconds
 * of the store's return.
 */
export const LAPSE_GRACE_MS = 2_500;
/**
 * Nodes with fewer cores than this ratio of the largest node's rank last as
 * homes: a home does the work of all entries of its group.
 */
const MIN_HOME_CORES_RATIO = 0.6;
/** Stewards for a fleet of one node; their number grows with its square root. */
const STEWARDS_RATIO = 2;
/** Fleets up to this size have nobody but stewards. */
const MIN_STEWARDS = 8;

/** Dependencies of {@link MemberList}. */
export interface MemberListOptions {
  readonly clock: Clock;
  /** Whether leases may have lapsed because of the store rather than their nodes. */
  readonly mayHaveLapsed: () => boolean;
}

/**
 * Keeps the members by id and ranks them as homes.
 *
 * @example
 * members.apply(record.id, record);
 * const [home] = members.homeOrder('claims', 'hobart');
 */
export class MemberList {
  readonly #options: MemberListOptions;
  readonly #known = new Map<string, FleetMember>();
  /** When the lease of each member in the grace period lapsed. */
  readonly #lapsedAt = new Map<string, number>();
  /** When a member last left or was lost; its work passed to another. */
  #lostAt = -Infinity;
  #homeOrders = new Map<string, readonly FleetMember[]>();
  #stewardOrders = new Map<string, readonly FleetMember[]>();

  constructor(options: MemberListOptions) {
    this.#options = options;
  }

  /** Applies a member's record; undefined if its key was removed. */
  apply(id: string, member: FleetMember | undefined): void {
    this.#forgetOrders();
    const hadWork = this.#known.get(id)?.isLeaving === false;
    if (hadWork && member?.isLeaving === true) this.#noteLoss();
    if (member !== undefined) {
      this.#known.set(id, member);
      this.#lapsedAt.delete(id);
      return;
    }
    const mayReturn =
      this.#options.mayHaveLapsed() && this.#known.get(id)?.isLeaving === false;
    if (!mayReturn) this.#remove(id);
    else if (!this.#lapsedAt.has(id)) {
      this.#lapsedAt.set(id, this.#options.clock.now());
    }
  }

  /** Members that aren't leaving, including those in the grace period. */
  live(): readonly FleetMember[] {
    this.#removeExpired();
    return [...this.#known.values()].filter(({isLeaving}) => !isLeaving);
  }

  find(id: string): FleetMember | undefined {
    return this.#known.get(id);
  }

  /**
   * Members in order of preference as the home of `name`: those with enough
   * cores first, then those of the preferred data centre, then by rendezvous
   * hashing.
   */
  homeOrder(name: string, dataCentre?: string): readonly FleetMember[] {
    this.#removeExpired();
    const key = `${name}\n${dataCentre ?? ''}`;
    const known = this.#homeOrders.get(key);
    if (known !== undefined) return known;
    const order = rankHomes(name, this.live(), dataCentre);
    this.#homeOrders.set(key, order);
    return order;
  }

  /**
   * Members in order of preference for work that any node can do, of which there
   * is little for each name. A few of them, the stewards, rank before all others:
   * only they have to notice one another's failure soon.
   */
  stewardOrder(name: string): readonly FleetMember[] {
    this.#removeExpired();
    const known = this.#stewardOrders.get(name);
    if (known !== undefined) return known;
    const all = this.homeOrder('stewards');
    const count = Math.ceil(STEWARDS_RATIO * Math.sqrt(all.length));
    const stewards = all.slice(0, Math.max(MIN_STEWARDS, count));
    const order = [...rankHomes(name, stewards), ...all.slice(stewards.length)];
    this.#stewardOrders.set(name, order);
    return order;
  }

  #removeExpired(): void {
    const oldest = this.#options.clock.now() - LAPSE_GRACE_MS;
    for (const [id, lapsedAt] of this.#lapsedAt) {
      if (lapsedAt < oldest) this.#remove(id);
    }
  }

  /** Milliseconds since a member last left or was lost; infinite if none was. */
  sinceLossMs(): number {
    this.#removeExpired();
    return this.#options.clock.now() - this.#lostAt;
  }

  #noteLoss(): void {
    this.#lostAt = this.#options.clock.now();
  }

  #remove(id: string): void {
    if (this.#known.get(id)?.isLeaving === false) this.#noteLoss();
    this.#known.delete(id);
    this.#lapsedAt.delete(id);
    this.#forgetOrders();
  }

  #forgetOrders(): void {
    this.#homeOrders = new Map();
    this.#stewardOrders = new Map();
  }
}

/** Ranks members as homes of a name, in the same order on every node. */
export function rankHomes(
  name: string,
  members: readonly FleetMember[],
  dataCentre?: string,
): readonly FleetMember[] {
  const maxCores = Math.max(0, ...members.map(({cores}) => cores));
  const hasEnoughCores = ({cores}: FleetMember) =>
    cores >= maxCores * MIN_HOME_CORES_RATIO;
  const ranked = rankByRendezvous(name, members);
  const preferenceOf = (member: FleetMember) =>
    (hasEnoughCores(member) ? 0 : 2) +
    (member.dataCentre === dataCentre ? 0 : 1);
  return ranked.toSorted((a, b) => preferenceOf(a) - preferenceOf(b));
}

/** The address at which a member accepts peer connections. */
export function peerAddressOf({id, host, port}: FleetMember): PeerAddress {
  return {id, host, port};
}
