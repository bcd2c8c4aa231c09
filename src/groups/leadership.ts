/** Who leads a group, from what its databases answered and announced. */
import type {DatabaseState} from '../statements/types.js';

/** An announcement may reach a node so much later than it was made. */
const ANNOUNCED_LATE_MS = 1_000;

/** What is known of one database's role. */
interface Claim {
  readonly leads: boolean;
  /** The highest term for which it is known to lead; 0 if only announced. */
  readonly term: number;
  /** When it last proved that; -Infinity if it was only announced. */
  readonly provenAt: number;
}

/**
 * Weighs higher terms above lower ones and later proofs above earlier ones. A
 * new primary's log ends in the old term until its first commit, and the old
 * one may never say that it was replaced, so a term alone decides nothing.
 *
 * All times are on the node's monotonic clock, in milliseconds.
 *
 * @example
 * leadership.noteAnnounced('db-1', 'primary', clock.now());
 * leadership.noteAccepted('db-1', 3, sentAt);
 * leadership.leaderId; // 'db-1'
 */
export class Leadership {
  readonly #claims = new Map<string, Claim>();
  readonly #announced = new Map<string, string>();
  #leaderId: string | undefined;

  /** The database believed to lead; undefined while none or several claim to. */
  get leaderId(): string | undefined {
    return this.#leaderId;
  }

  /** Whether several databases claim to lead and none has proved it. */
  get isContested(): boolean {
    const leading = [...this.#claims.values()].filter(({leads}) => leads);
    return leading.length > 1 && this.#leaderId === undefined;
  }

  /** Takes a database's announcement, if it says something new. */
  noteAnnounced(
    id: string,
    role: 'primary' | 'replica' | undefined,
    at: number,
  ): void {
    const before = this.#announced.get(id);
    if (role === undefined || before === role) return;
    this.#announced.set(id, role);
    const known = this.#claims.get(id);
    const saidAt = at - ANNOUNCED_LATE_MS;
    if (known?.leads && (role === 'primary' || known.provenAt > saidAt)) return;
    if (role === 'replica') return this.#set(id, FOLLOWS);
    // A replica that says so has been promoted after the proofs of the others.
    const isPromoted = before === 'replica';
    const term = isPromoted ? this.#highestTerm : 0;
    this.#set(id, {leads: true, term, provenAt: isPromoted ? saidAt : NEVER});
  }

  /** Takes that a database accepted what only a primary accepts. */
  noteAccepted(id: string, term: number, sentAt: number): void {
    const known = this.#claims.get(id);
    const wasLeading = known?.leads === true;
    if (wasLeading && known.term >= term && known.provenAt >= sentAt) return;
    this.#set(id, {
      leads: true,
      term: Math.max(term, wasLeading ? known.term : 0),
      provenAt: Math.max(sentAt, wasLeading ? known.provenAt : NEVER),
    });
  }

  /** Takes that a database refused what only a primary accepts. */
  noteRefused(id: string): void {
    this.#set(id, FOLLOWS);
  }

  /** Takes what a database said of itself when it was asked. */
  noteState(id: string, {role, term}: DatabaseState, askedAt: number): void {
    if (role === 'primary') this.noteAccepted(id, term, askedAt);
    else this.#set(id, FOLLOWS);
  }

  /** Forgets a database that is gone. */
  forget(id: string): void {
    this.#claims.delete(id);
    this.#announced.delete(id);
    this.#settle();
  }

  #set(id: string, claim: Claim): void {
    this.#claims.set(id, claim);
    this.#settle();
  }

  get #highestTerm(): number {
    return Math.max(0, ...[...this.#claims.values()].map(one => one.term));
  }

  #settle(): void {
    const leading = [...this.#claims]
      .filter(([, {leads}]) => leads)
      .toSorted(([, a], [, b]) => byStrength(a, b));
    const [first, second] = leading;
    const isTied =
      first !== undefined &&
      second !== undefined &&
      byStrength(first[1], second[1]) === 0;
    this.#leaderId = isTied ? undefined : first?.[0];
  }
}

const NEVER = -Infinity;
const FOLLOWS: Claim = {leads: false, term: 0, provenAt: NEVER};

/** The stronger claim first. */
function byStrength(a: Claim, b: Claim): number {
  if (a.term !== b.term) return b.term - a.term;
  if (a.provenAt === b.provenAt) return 0;
  return b.provenAt > a.provenAt ? 1 : -1;
}
