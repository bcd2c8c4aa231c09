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
/**
 * The same for a link below this ratio of the largest one among the nodes with
 * enough cores. Links differ by a factor of 20, and all answers of a group cross
 * its home's.
 */
const MIN_HOME_LINK_RATIO = 0.25;
/**
 * If more than one node in this many is slow, the marks are ignored: the others
 * could not take over so much work, and the cause may be common to all.
 */
const NODES_PER_SLOW_NODE = 3;
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
   * Members in order of preference as the home of `name`: those that are not
   * slow first, then those with enough cores and link, then those of the
   * preferred data centre, then by rendezvous hashing.
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
    const all = rankNodes('stewards', this.live());
    const count = Math.ceil(STEWARDS_RATIO * Math.sqrt(all.length));
    const stewards = all.slice(0, Math.max(MIN_STEWARDS, count));
    const order = [...rankNodes(name, stewards), ...all.slice(stewards.length)];
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

/**
 * Ranks members as homes of a name, slow ones behind all others, in the same
 * order on every node.
 *
 * @example
 * const [home] = rankHomes('home claims', members.live(), 'hobart');
 */
export function rankHomes(
  name: string,
  members: readonly FleetMember[],
  dataCentre?: string,
): readonly FleetMember[] {
  const slow = members.filter(({isSlow}) => isSlow === true);
  if (slow.length === 0 || slow.length * NODES_PER_SLOW_NODE > members.length)
    return rankNodes(name, members, dataCentre);
  const others = members.filter(({isSlow}) => isSlow !== true);
  return [
    ...rankNodes(name, others, dataCentre, members),
    ...rankNodes(name, slow, dataCentre, members),
  ];
}

/**
 * Ranks members for work that stays on a slow node, in the same order on every
 * node. Cores and links are compared with those of all `fleet` members.
 *
 * @example
 * const watchers = rankNodes('watch', members.live()).slice(0, 2);
 */
export function rankNodes(
  name: string,
  members: readonly FleetMember[],
  dataCentre?: string,
  fleet: readonly FleetMember[] = members,
): readonly FleetMember[] {
  const ranked = rankByRendezvous(name, members);
  const qualifies = createQualification(fleet);
  const standIn = findStandIn(ranked, dataCentre, fleet, qualifies);
  const preferenceOf = (member: FleetMember) =>
    (qualifies(member) || member === standIn ? 0 : 2) +
    (member.dataCentre === dataCentre ? 0 : 1);
  return ranked.toSorted((a, b) => preferenceOf(a) - preferenceOf(b));
}

type Qualification = (member: FleetMember) => boolean;

/** Returns whether a member has enough cores and link for a home. */
function createQualification(fleet: readonly FleetMember[]): Qualification {
  const maxCores = Math.max(0, ...fleet.map(({cores}) => cores));
  const hasEnoughCores = ({cores}: FleetMember) =>
    cores >= maxCores * MIN_HOME_CORES_RATIO;
  const links = fleet
    .filter(hasEnoughCores)
    .map(linkOf)
    .filter(Number.isFinite);
  const minLink = Math.max(0, ...links) * MIN_HOME_LINK_RATIO;
  return member => hasEnoughCores(member) && linkOf(member) >= minLink;
}

/**
 * Returns the member that counts as large enough in the preferred data centre if
 * none is: the one with the largest product of cores and link. None while all
 * links are the same, so that existing deployments keep their homes.
 */
function findStandIn(
  ranked: readonly FleetMember[],
  dataCentre: string | undefined,
  fleet: readonly FleetMember[],
  qualifies: Qualification,
): FleetMember | undefined {
  const links = new Set(fleet.map(linkOf).filter(Number.isFinite));
  if (dataCentre === undefined || links.size < 2) return undefined;
  const nearby = ranked.filter(member => member.dataCentre === dataCentre);
  if (nearby.some(qualifies)) return undefined;
  const largestLink = Math.max(...links);
  const sizeOf = (member: FleetMember) =>
    member.cores * Math.min(linkOf(member), largestLink);
  const [largest] = nearby.toSorted((a, b) => sizeOf(b) - sizeOf(a));
  return largest;
}

/** The link of a member; unlimited if its record does not say. */
function linkOf({linkMbps}: FleetMember): number {
  return linkMbps ?? Infinity;
}

/** The address at which a member accepts peer connections. */
export function peerAddressOf({id, host, port}: FleetMember): PeerAddress {
  return {id, host, port};
}
