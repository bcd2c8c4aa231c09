/** One database of a group at the group's home. */
import type {AnnouncedDatabase} from '../catalog/types.js';
import {PassiveHealth} from '../membership/passive-health.js';
import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import type {DatabaseLoad} from '../load/types.js';
import {laterPosition, type Position} from '../session/position.js';
import type {StatementConnector} from '../statements/connection.js';
import type {DatabaseReply, DatabaseState} from '../statements/types.js';
import {TargetError} from '../targets/types.js';
import {TeamConnection} from './team-connection.js';
import {ConnectionPool} from './connection-pool.js';
import {TeamConnections, type TeamSlotRequest} from './team-connections.js';

/** Timeout for opening a connection; its slot is occupied meanwhile. */
const CONNECT_TIMEOUT_MS = 350;
/** Pause in opening connections after the database reported too many. */
const REFUSED_PAUSE_MS = 200;
/** Assumed time to open a connection until measured; 12 to 27 ms are usual. */
const INITIAL_CONNECT_MS = 15;
/** Weight of the newest sample in the average time to open a connection. */
const CONNECT_SMOOTHING = 0.2;
/** Timeout of a state query. */
const STATE_TIMEOUT_MS = 300;

/** Options of a group member. */
export interface GroupMemberOptions {
  readonly clock: Clock;
  readonly connector: StatementConnector;
  /** Maximum number of connections of this node to the database. */
  readonly connectionLimit: () => number;
  readonly weightOf: (team: string) => number;
  /** Returns a team as which the home connects for its own queries. */
  readonly anyTeam: () => string | undefined;
}

type StateConnection = Pick<
  TeamConnection,
  'queryState' | 'stepDown' | 'close'
>;
/** A command that the database answers with its state. */
type StateCommand = (
  connection: StateConnection,
) => Promise<DatabaseState | undefined>;

/** A database with its connection pool, health and last known log position. */
export class GroupMember {
  entry: AnnouncedDatabase;
  readonly pool: ConnectionPool<TeamConnection, TeamSlotRequest>;
  readonly health: PassiveHealth;
  readonly connections: TeamConnections;
  readonly #options: GroupMemberOptions;
  readonly #running = new Set<TeamConnection>();
  #visiblePosition: Position | undefined;
  #lastLagRefusal:
    {readonly at: number; readonly position: Position} | undefined;
  #refusesUntil = -Infinity;
  #connectMs = INITIAL_CONNECT_MS;

  constructor(entry: AnnouncedDatabase, options: GroupMemberOptions) {
    const {clock, weightOf} = options;
    this.entry = entry;
    this.#options = options;
    this.health = new PassiveHealth(clock);
    this.connections = new TeamConnections({
      clock,
      limit: () => this.#connectionLimit(),
      open: team => this.#connect(team),
    });
    this.pool = new ConnectionPool<TeamConnection, TeamSlotRequest>({
      clock,
      spec: entry,
      source: this.connections,
      connectionLimit: () => this.#connectionLimit(),
      weightOf,
      isReachable: () => this.health.isReachable,
    });
  }

  get id(): string {
    return this.entry.id;
  }

  /** This node's work at the database, as it is reported to other nodes. */
  get load(): DatabaseLoad {
    const {outstanding, costMs, concurrency} = this.pool;
    return {
      databaseId: this.id,
      outstanding,
      costMs,
      concurrency: this.health.isReachable ? concurrency : 0,
    };
  }

  /** The highest log position whose data was visible at the database. */
  get visiblePosition(): Position | undefined {
    return this.#visiblePosition;
  }

  /** Time and position of the last read that it refused as lagging. */
  get lastLagRefusal():
    {readonly at: number; readonly position: Position} | undefined {
    return this.#lastLagRefusal;
  }

  /**
   * Expected time to open a connection for a team's request; 0 if one is open
   * and idle.
   */
  connectMs(team: string): number {
    return this.connections.hasIdle(team) ? 0 : this.#connectMs;
  }

  /** Registers work sent to the database; call the result once it has ended. */
  trackWork(connection: TeamConnection): () => void {
    const end = this.health.trackRequest();
    this.#running.add(connection);
    return () => {
      end();
      this.#running.delete(connection);
    };
  }

  /** Closes all connections, which aborts running work. */
  closeConnections(): void {
    for (const connection of [...this.#running]) connection.close();
    this.connections.closeAll();
  }

  /** Records that the database answered, and the position in its reply. */
  recordReply({position}: DatabaseReply): void {
    this.health.recordAnswer();
    if (position === undefined) return;
    this.#visiblePosition = laterPosition(
      this.#visiblePosition ?? position,
      position,
    );
  }

  /** Records that the database has not applied a position yet. */
  recordLagRefusal(position: Position): void {
    this.#lastLagRefusal = {at: this.#options.clock.now(), position};
  }

  /** Forgets the known position, as the log may have been truncated. */
  resetVisiblePosition(): void {
    this.#visiblePosition = undefined;
    this.#lastLagRefusal = undefined;
  }

  /**
   * Queries the database's state over a new connection, which also checks that
   * the database accepts connections. Undefined if it is too busy to answer.
   *
   * @throws TargetError when it can't be reached or does not answer
   */
  queryStateOverNewConnection(): Promise<DatabaseState | undefined> {
    return this.#onNewConnection(connection => connection.queryState());
  }

  /**
   * Queries the database's state over an idle connection if there is one, as a
   * busy database may accept no new ones.
   */
  queryState(): Promise<DatabaseState | undefined> {
    return this.#onAnyConnection(connection => connection.queryState());
  }

  /** Makes the database a replica if it leads a lower term. */
  stepDown(term: number): Promise<DatabaseState | undefined> {
    return this.#onAnyConnection(connection => connection.stepDown(term));
  }

  async #onNewConnection(command: StateCommand) {
    const {connector, anyTeam} = this.#options;
    const team = anyTeam();
    if (team === undefined) {
      throw new TargetError('notSent', 'no team is configured');
    }
    const opened = await connector.connect(
      this.entry,
      team,
      CONNECT_TIMEOUT_MS,
    );
    try {
      return await this.#runStateCommand(opened, command);
    } finally {
      opened.close();
    }
  }

  async #onAnyConnection(command: StateCommand) {
    const idle = this.connections.takeAny();
    if (idle === undefined) return this.#onNewConnection(command);
    try {
      return await this.#runStateCommand(idle, command);
    } finally {
      if (idle.usable) this.connections.add(idle);
    }
  }

  async #runStateCommand(
    connection: StateConnection,
    command: StateCommand,
  ): Promise<DatabaseState | undefined> {
    const {clock} = this.#options;
    const cancel = startTimer(clock, STATE_TIMEOUT_MS, () =>
      connection.close(),
    );
    try {
      const state = await command(connection);
      this.health.recordAnswer();
      return state;
    } finally {
      cancel();
    }
  }

  /** Limits itself to the open connections while the database refuses more. */
  #connectionLimit(): number {
    const share = this.#options.connectionLimit();
    const {open} = this.connections;
    const isFull = this.#options.clock.now() < this.#refusesUntil;
    return isFull && open > 0 ? Math.min(share, open) : share;
  }

  async #connect(team: string): Promise<TeamConnection> {
    const {clock, connector} = this.#options;
    const startedAt = clock.now();
    try {
      const opened = await connector.connect(
        this.entry,
        team,
        CONNECT_TIMEOUT_MS,
      );
      const tookMs = clock.now() - startedAt;
      this.#connectMs += CONNECT_SMOOTHING * (tookMs - this.#connectMs);
      return new TeamConnection(clock, team, opened);
    } catch (err) {
      const isFull =
        err instanceof TargetError && err.code === 'tooManyConnections';
      if (isFull) this.#refusesUntil = clock.now() + REFUSED_PAUSE_MS;
      else this.health.recordFailure();
      throw err;
    }
  }
}
