/**
 * The connections of a home to one database, each opened for one team.
 *
 * There may be more teams than connections, each busy at times. Opening a
 * connection occupies a slot for longer than most statements run, so idle
 * connections are kept. At the limit, the least recently used one of the team
 * with the most idle connections is evicted.
 */
import type {Clock} from '../infra/clock.js';
import {TargetError} from '../targets/types.js';
import type {TeamConnection, SessionValues} from './team-connection.js';
import type {ConnectionSource, SlotRequest} from './connection-pool.js';

/** A connection idle for longer is checked with a round trip before use. */
const VALIDATE_AFTER_MS = 1_000;
const VALIDATE_TIMEOUT_MS = 200;

/** A request for a slot, with the session values it needs. */
export interface TeamSlotRequest extends SlotRequest {
  readonly values: SessionValues;
}

/** Options of the connections to one database. */
export interface TeamConnectionsOptions {
  readonly clock: Clock;
  /** Returns the maximum number of connections of this node. */
  readonly limit: () => number;
  /** @throws TargetError when the database can't be reached */
  readonly open: (team: string) => Promise<TeamConnection>;
}

/** Opens, keeps and evicts the connections of each team to one database. */
export class TeamConnections implements ConnectionSource<
  TeamConnection,
  TeamSlotRequest
> {
  readonly #options: TeamConnectionsOptions;
  /** Idle connections, the most recently used at the end. */
  #idle: TeamConnection[] = [];
  /** Number of connections that are open or being opened. */
  #open = 0;

  constructor(options: TeamConnectionsOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#idle.length;
  }

  /** Number of connections that are open or being opened. */
  get open(): number {
    return this.#open;
  }

  /** Returns whether a team has an idle connection. */
  hasIdle(team: string): boolean {
    return this.#idle.some(
      connection => connection.team === team && connection.usable,
    );
  }

  /** Takes the most recently used idle connection of any team. */
  takeAny(): TeamConnection | undefined {
    const at = this.#idle.findLastIndex(connection => connection.usable);
    return at < 0 ? undefined : this.#idle.splice(at, 1)[0];
  }

  async take({team, values}: TeamSlotRequest): Promise<TeamConnection> {
    for (;;) {
      const connection = this.#takeIdle(team, values);
      if (connection === undefined) break;
      if (!connection.usable) continue;
      const idleMs = this.#options.clock.now() - connection.lastAnswerAt;
      if (idleMs < VALIDATE_AFTER_MS) return connection;
      if (await connection.resetAndCheck(VALIDATE_TIMEOUT_MS))
        return connection;
      connection.close();
      // Whatever broke this connection has probably broken the others too.
      this.closeSilentSince(connection.lastAnswerAt);
    }
    if (this.#open >= this.#options.limit()) this.#evict();
    return this.#openConnection(team);
  }

  add(connection: TeamConnection): void {
    this.#idle.push(connection);
  }

  closeAll(): void {
    for (const connection of this.#idle.splice(0)) connection.close();
  }

  /** Closes the idle connections that have not answered since a given time. */
  closeSilentSince(moment: number): void {
    const isSilent = (connection: TeamConnection) =>
      connection.lastAnswerAt <= moment;
    const silent = this.#idle.filter(isSilent);
    this.#idle = this.#idle.filter(connection => !isSilent(connection));
    for (const connection of silent) connection.close();
  }

  /** Opens a connection for a team. */
  async #openConnection(team: string): Promise<TeamConnection> {
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

  /** Takes the team's connection whose session values differ the least. */
  #takeIdle(team: string, values: SessionValues): TeamConnection | undefined {
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

  /** Closes an idle connection of the team that has the most of them. */
  #evict(): void {
    const counts = new Map<string, number>();
    for (const {team} of this.#idle) {
      counts.set(team, (counts.get(team) ?? 0) + 1);
    }
    const highest = Math.max(0, ...counts.values());
    const index = this.#idle.findIndex(
      ({team}) => counts.get(team) === highest,
    );
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

/** Ranks how much of a connection's session state must change; 0 is none. */
function mismatch(connection: TeamConnection, values: SessionValues): number {
  if (connection.hasExactly(values)) return 0;
  return connection.hasNoValues ? 1 : 2;
}
