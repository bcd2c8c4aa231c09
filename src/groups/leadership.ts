/**
 * Tracks which database leads a group, from the databases' answers, from the
 * platform's announcements of their roles and from the latest promotion order.
 */
import type {DatabaseState} from '../statements/types.js';
import type {PrimaryOrder} from './primary-order.js';

/** Maximum delay between an announcement and its arrival at a node. */
const MAX_ANNOUNCEMENT_DELAY_MS = 1_000;

/** Whether a database leads, and how strongly that is proven. */
interface LeadershipClaim {
  readonly leads: boolean;
  /** The highest term it is known to lead; 0 if it was only announced. */
  readonly term: number;
  /** Time of the last proof; -Infinity if it was only announced. */
  readonly provenAt: number;
}

/** The database that leads, and what shows it. */
export interface LeaderBasis {
  readonly id: string;
  /** The highest term it is known to lead; 0 if it was only announced. */
  readonly term: number;
  /** Time of the last proof; -Infinity if it was only announced. */
  readonly provenAt: number;
}

/**
 * Decides which database leads: the claim with the highest term, and among
 * equal terms the one with the latest proof. Terms alone are not enough: a new
 * primary's log ends in the old term until its first commit, and the old
 * primary may never report that it was replaced.
 *
 * From a promotion order on, only the ordered database leads, once it has
 * reported that the order took effect. A claim of another database counts
 * if its term is higher still, since only a later promotion can have raised it.
 *
 * All times are in milliseconds on the node's monotonic clock.
 *
 * @example
 * leadership.recordAnnouncement('db-1', 'primary', clock.now());
 * leadership.recordProof('db-1', 3, sentAt);
 * leadership.leaderId; // 'db-1'
 */
export class Leadership {
  readonly #claims = new Map<string, LeadershipClaim>();
  readonly #announced = new Map<string, string>();
  readonly #onChange: (leader: LeaderBasis | undefined) => void;
  #leaderId: string | undefined;
  #order: PrimaryOrder | undefined;

  /** `onChange` is called whenever another database or none leads. */
  constructor(onChange: (leader: LeaderBasis | undefined) => void = () => {}) {
    this.#onChange = onChange;
  }

  /**
   * The leading database; undefined if none claims to lead or claims are tied.
   */
  get leaderId(): string | undefined {
    return this.#leaderId;
  }

  /**
   * The database of the latest order while it does not lead; undefined if there
   * is no order, or another database leads by a later term.
   */
  get orderedId(): string | undefined {
    return this.#leaderId === undefined ? this.#order?.databaseId : undefined;
  }

  /** The highest term that any database is known to lead. */
  get highestTerm(): number {
    return Math.max(0, ...[...this.#claims.values()].map(claim => claim.term));
  }

  /** Whether any promotion was ever ordered. */
  get hasOrder(): boolean {
    return this.#order !== undefined;
  }

  /** Records the latest promotion order. */
  recordOrder(order: PrimaryOrder): void {
    this.#order = order;
    this.#updateLeader();
  }

  /** Whether several databases claim to lead and no claim is the strongest. */
  get isContested(): boolean {
    const leading = [...this.#claims].filter(
      ([id, {leads, term}]) => leads && this.#isAllowed(id, term),
    );
    return leading.length > 1 && this.#leaderId === undefined;
  }

  /** Records the announced role of a database; ignored if unchanged. */
  recordAnnouncement(
    id: string,
    role: 'primary' | 'replica' | undefined,
    at: number,
  ): void {
    const before = this.#announced.get(id);
    if (role === undefined || before === role) return;
    this.#announced.set(id, role);
    const known = this.#claims.get(id);
    const announcedAt = at - MAX_ANNOUNCEMENT_DELAY_MS;
    if (known?.leads && (role === 'primary' || known.provenAt > announcedAt))
      return;
    if (role === 'replica') return this.#set(id, FOLLOWER_CLAIM);
    // A replica announced as primary was promoted after the other databases'
    // proofs, so its claim gets the highest term.
    const isPromoted = before === 'replica';
    const term = isPromoted ? this.highestTerm : 0;
    this.#set(id, {
      leads: true,
      term,
      provenAt: isPromoted ? announcedAt : NEVER,
    });
  }

  /** Records that a database accepted a command that only a primary accepts. */
  recordProof(id: string, term: number, sentAt: number): void {
    const known = this.#claims.get(id);
    const wasLeading = known?.leads === true;
    if (wasLeading && known.term >= term && known.provenAt >= sentAt) return;
    this.#set(id, {
      leads: true,
      term: Math.max(term, wasLeading ? known.term : 0),
      provenAt: Math.max(sentAt, wasLeading ? known.provenAt : NEVER),
    });
  }

  /** Records that a database refused a command that only a primary accepts. */
  recordRefusal(id: string): void {
    this.#set(id, FOLLOWER_CLAIM);
  }

  /**
   * Records the state that a database reported to a query sent at
   * `requestedAt`.
   */
  recordState(
    id: string,
    {role, term}: DatabaseState,
    requestedAt: number,
  ): void {
    const order = this.#order;
    const isPromoted = order?.databaseId === id && order.wasReplica;
    const leastTerm = isPromoted ? order.term : 0;
    if (role === 'primary')
      this.recordProof(id, Math.max(term, leastTerm), requestedAt);
    else this.#set(id, FOLLOWER_CLAIM);
  }

  /** Removes a database that no longer exists. */
  forget(id: string): void {
    this.#claims.delete(id);
    this.#announced.delete(id);
    this.#updateLeader();
  }

  #set(id: string, claim: LeadershipClaim): void {
    this.#claims.set(id, claim);
    this.#updateLeader();
  }

  /** Whether a claim can stand beside the latest order. */
  #isAllowed(id: string, term: number): boolean {
    const order = this.#order;
    if (order === undefined) return true;
    return id === order.databaseId ? term >= order.term : term > order.term;
  }

  #updateLeader(): void {
    const leading = [...this.#claims]
      .filter(([id, {leads, term}]) => leads && this.#isAllowed(id, term))
      .toSorted(([, a], [, b]) => compareClaims(a, b));
    const [first, second] = leading;
    const isTied =
      first !== undefined &&
      second !== undefined &&
      compareClaims(first[1], second[1]) === 0;
    const leader = isTied ? undefined : first;
    if (leader?.[0] === this.#leaderId) return;
    this.#leaderId = leader?.[0];
    this.#onChange(leader && {id: leader[0], ...basisOf(leader[1])});
  }
}

const NEVER = -Infinity;
const FOLLOWER_CLAIM: LeadershipClaim = {
  leads: false,
  term: 0,
  provenAt: NEVER,
};

function basisOf({term, provenAt}: LeadershipClaim) {
  return {term, provenAt};
}

/** Sort comparator: the stronger claim first. */
function compareClaims(a: LeadershipClaim, b: LeadershipClaim): number {
  if (a.term !== b.term) return b.term - a.term;
  if (a.provenAt === b.provenAt) return 0;
  return b.provenAt > a.provenAt ? 1 : -1;
}
