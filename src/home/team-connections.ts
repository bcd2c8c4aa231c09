/**
 * The connections of a home to one database, each opened for one team.
 *
 * Load pattern: more teams than a database has connections for, each of them
 * busy at times. Opening a connection takes a slot for longer than most
 * statements, so a team's connection is kept and only that of the team with
 * the most idle ones, the longest unused first, is given up for another team.
 */
import type {Clock} from '../infra/clock.js';
import {TargetError} from '../targets/types.js';
import type {BoundConnection, SessionValues} from './bound-connection.js';
import type {ConnectionSupply, SlotRequest} from './lane.js';

/** A connection unused for longer is asked for a sign of life first. */
const VALIDATE_AFTER_MS = 1_000;
const VALIDATE_TIMEOUT_MS = 200;

/** What a connection is wanted for. */
export interface TeamSlotRequest extends SlotRequest {
  readonly values: SessionValues;
}

/** Settings of the connections to one database. */
export interface TeamConnectionsOptions {
  readonly clock: Clock;
  /** Connections that this node may hold. */
  readonly limit: () => number;
  /** @throws TargetError when the database can't be reached */
  readonly open: (team: string) => Promise<BoundConnection>;
}

/** Keeps the connections to one database by team. */
export class TeamConnections implements ConnectionSupply<
  BoundConnection,
  TeamSlotRequest
> {
  readonly #options: TeamConnectionsOptions;
  /** Idle ones, the last one used at the end. */
  #idle: BoundConnection[] = [];
  /** Connections that exist or are being opened. */
  #open = 0;

  constructor(options: TeamConnectionsOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#idle.length;
  }

  /** Connections that exist or are being opened. */
  get open(): number {
    return this.#open;
  }

  /** Whether a team's request would find a connection open. */
  hasIdle(team: string): boolean {
    return this.#idle.some(one => one.team === team && one.usable);
  }

  /** Takes the idle connection that was used last, whichever team's it is. */
  takeAny(): BoundConnection | undefined {
    const at = this.#idle.findLastIndex(one => one.usable);
    return at < 0 ? undefined : this.#idle.splice(at, 1)[0];
  }

  async take({team, values}: TeamSlotRequest): Promise<BoundConnection> {
    for (;;) {
      const connection = this.#takeIdle(team, values);
      if (connection === undefined) break;
      if (!connection.usable) continue;
      const unusedMs = this.#options.clock.now() - connection.lastAnswerAt;
      if (unusedMs < VALIDATE_AFTER_MS) return connection;
      if (await connection.isAlive(VALIDATE_TIMEOUT_MS)) return connection;
      connection.close();
      // What made this one silent is likely to have taken the others along.
      this.closeUnusedSince(connection.lastAnswerAt);
    }
    if (this.#open >= this.#options.limit()) this.#evict();
    return this.#openFor(team);
  }

  add(connection: BoundConnection): void {
    this.#idle.push(connection);
  }

  closeAll(): void {
    for (const connection of this.#idle.splice(0)) connection.close();
  }

  /** Closes the idle connections that have not answered since a moment. */
  closeUnusedSince(moment: number): void {
    const isSilent = (one: BoundConnection) => one.lastAnswerAt <= moment;
    const silent = this.#idle.filter(isSilent);
    this.#idle = this.#idle.filter(one => !isSilent(one));
    for (const connection of silent) connection.close();
  }

  /** Opens a connection, whatever is idle. */
  async #openFor(team: string): Promise<BoundConnection> {
    this.#open += 1;
    try {
      const connection = await this.#options.open(team);
      connection.onClose(() => (this.#open -= 1));
      return connection;
    } catch (err) {
      this.#open -= 1;
      throw err;
    }
  }

  /** The team's connection that needs the least to suit the session. */
  #takeIdle(team: string, values: SessionValues): BoundConnection | undefined {
    const ranked = this.#idle
      .map((connection, index) => ({connection, index}))
      .filter(({connection}) => connection.team === team)
      .toSorted(
        (a, b) =>
          mismatch(a.connection, values) - mismatch(b.connection, values) ||
          b.index - a.index,
      );
    const best = ranked[0];
    if (best === undefined) return undefined;
    this.#idle.splice(best.index, 1);
    return best.connection;
  }

  /** Gives up one idle connection of another team. */
  #evict(): void {
    const counts = new Map<string, number>();
    for (const {team} of this.#idle) {
      counts.set(team, (counts.get(team) ?? 0) + 1);
    }
    const most = Math.max(0, ...counts.values());
    const index = this.#idle.findIndex(({team}) => counts.get(team) === most);
    const [evicted] = index < 0 ? [] : this.#idle.splice(index, 1);
    if (evicted === undefined) {
      throw new TargetError(
        'notSent',
        `all ${this.#open} connections are in use; raise the connection limit`,
      );
    }
    evicted.close();
  }
}

function mismatch(connection: BoundConnection, values: SessionValues): number {
  if (connection.holds(values)) return 0;
  return connection.isBlank ? 1 : 2;
}
