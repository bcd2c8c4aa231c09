/**
 * Decides which open transactions may reserve a connection of one database.
 *
 * Load pattern: up to 120 callers stay idle inside transactions for some
 * seconds. Those of one team may not take all the connections that open
 * transactions may reserve.
 */
import type {Clock} from '../infra/clock.js';

/** Connections that open transactions must leave for other work. */
const UNPINNED_RESERVE = 2;
/** Part of the reservable connections that one team may reserve. */
const MAX_TEAM_SHARE = 0.5;
/** Assumed time for which a transaction is open, until measured. */
const INITIAL_HELD_MS = 50;
/** Weight of the newest sample in the average time. */
const HELD_SMOOTHING = 0.2;
/** Minimum retry delay, about the length of a short transaction. */
const MIN_RETRY_MS = 50;

/** Options of the reservations. */
export interface ConnectionReservationsOptions {
  readonly clock: Clock;
  /** Maximum number of connections of this node to the database. */
  readonly connectionLimit: () => number;
}

/** A set of reservations, with the sum of the times at which they began. */
interface Held {
  readonly count: number;
  readonly startedSumMs: number;
}

const NONE: Held = {count: 0, startedSumMs: 0};

/**
 * Counts reserved connections by team.
 *
 * @example
 * const end = reservations.tryReserve('red');
 * if (end === undefined) refuse(reservations.nextFreeMs('red'));
 */
export class ConnectionReservations {
  readonly #options: ConnectionReservationsOptions;
  readonly #byTeam = new Map<string, Held>();
  #all = NONE;
  #heldMs = INITIAL_HELD_MS;

  constructor(options: ConnectionReservationsOptions) {
    this.#options = options;
  }

  /** How many connections open transactions may reserve in all. */
  get limit(): number {
    return Math.max(1, this.#options.connectionLimit() - UNPINNED_RESERVE);
  }

  /** Returns whether a team may reserve one more connection. */
  mayReserve(team: string): boolean {
    const {limit} = this;
    const teamLimit = Math.max(1, Math.floor(limit * MAX_TEAM_SHARE));
    return this.#all.count < limit && this.#heldBy(team).count < teamLimit;
  }

  /** Reserves a connection; returns a function that ends it, to call once. */
  tryReserve(team: string): (() => void) | undefined {
    if (!this.mayReserve(team)) return undefined;
    const {clock} = this.#options;
    const startedAt = clock.now();
    this.#add(team, 1, startedAt);
    return () => {
      this.#add(team, -1, -startedAt);
      const heldMs = clock.now() - startedAt;
      this.#heldMs += HELD_SMOOTHING * (heldMs - this.#heldMs);
    };
  }

  /**
   * Expected time until a connection is free for a team that may not reserve
   * one now. Idle callers hold theirs for longer than transactions usually
   * take, so the age of the reservations counts as well as the average.
   */
  nextFreeMs(team: string): number {
    const isFull = this.#all.count >= this.limit;
    const {count, startedSumMs} = isFull ? this.#all : this.#heldBy(team);
    if (count === 0) return MIN_RETRY_MS;
    const ageMs = this.#options.clock.now() - startedSumMs / count;
    return Math.max(MIN_RETRY_MS, Math.max(this.#heldMs, ageMs) / count);
  }

  #heldBy(team: string): Held {
    return this.#byTeam.get(team) ?? NONE;
  }

  #add(team: string, count: number, startedMs: number): void {
    const held = add(this.#heldBy(team), count, startedMs);
    this.#all = add(this.#all, count, startedMs);
    if (held.count > 0) this.#byTeam.set(team, held);
    else this.#byTeam.delete(team);
  }
}

function add(held: Held, count: number, startedMs: number): Held {
  return {
    count: held.count + count,
    startedSumMs: held.startedSumMs + startedMs,
  };
}
