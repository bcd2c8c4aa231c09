/** One database of a group as the group's home uses it. */
import type {DatabaseEntry} from '../catalog/types.js';
import {WorkHealth} from '../membership/work-health.js';
import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import {laterPosition, type Position} from '../session/position.js';
import type {StatementConnector} from '../statements/connection.js';
import type {DatabaseReply, DatabaseState} from '../statements/types.js';
import {TargetError} from '../targets/types.js';
import {BoundConnection} from './bound-connection.js';
import {Lane} from './lane.js';
import {TeamConnections, type TeamSlotRequest} from './team-connections.js';

/** How long opening a connection may take, its time in a slot included. */
const CONNECT_TIMEOUT_MS = 350;
/** How long no connection is opened after the database refused one as surplus. */
const FULL_PAUSE_MS = 200;
/** What opening a connection costs until one was opened: 12 to 27 ms are usual. */
const INITIAL_OPENING_MS = 15;
/** Weight of the newest sample in the average time of opening a connection. */
const OPENING_SMOOTHING = 0.2;
/** How long a database may take to say its state. */
const STATE_TIMEOUT_MS = 300;

/** Settings of one database at its group's home. */
export interface GroupMemberOptions {
  readonly clock: Clock;
  readonly connector: StatementConnector;
  /** Connections that this node may hold. */
  readonly connectionShare: () => number;
  readonly weightOf: (team: string) => number;
  /** A team in whose name the home itself may connect. */
  readonly anyTeam: () => string | undefined;
}

/** A database, the lane to it, and what its answers told. */
export class GroupMember {
  entry: DatabaseEntry;
  readonly lane: Lane<BoundConnection, TeamSlotRequest>;
  readonly health: WorkHealth;
  readonly connections: TeamConnections;
  readonly #options: GroupMemberOptions;
  readonly #running = new Set<BoundConnection>();
  #shown: Position | undefined;
  #fellShort: {readonly at: number; readonly of: Position} | undefined;
  #fullUntil = -Infinity;
  #openingMs = INITIAL_OPENING_MS;

  constructor(entry: DatabaseEntry, options: GroupMemberOptions) {
    const {clock, weightOf} = options;
    this.entry = entry;
    this.#options = options;
    this.health = new WorkHealth(clock);
    this.connections = new TeamConnections({
      clock,
      limit: () => this.#connectionLimit(),
      open: team => this.#connect(team),
    });
    this.lane = new Lane<BoundConnection, TeamSlotRequest>({
      clock,
      spec: entry,
      supply: this.connections,
      connectionShare: () => this.#connectionLimit(),
      weightOf,
      isReachable: () => this.health.isReachable,
    });
  }

  get id(): string {
    return this.entry.id;
  }

  /** The last position that it is known to show. */
  get shown(): Position | undefined {
    return this.#shown;
  }

  /** When it last refused a position, and which. */
  get fellShort(): {readonly at: number; readonly of: Position} | undefined {
    return this.#fellShort;
  }

  /**
   * Time in a slot that opening a connection costs a team's request; 0 where
   * one is open and idle.
   */
  openingMs(team: string): number {
    return this.connections.hasIdle(team) ? 0 : this.#openingMs;
  }

  /** Notes that something is sent; call the result once that has ended. */
  begin(connection: BoundConnection): () => void {
    const end = this.health.begin();
    this.#running.add(connection);
    return () => {
      end();
      this.#running.delete(connection);
    };
  }

  /** Gives up what runs on a database that no longer answers. */
  abandon(): void {
    for (const connection of [...this.#running]) connection.close();
    this.connections.closeAll();
  }

  /** Takes what a reply tells of the database itself. */
  noteReply({position}: DatabaseReply): void {
    this.health.noteAnswer();
    if (position === undefined) return;
    this.#shown = laterPosition(this.#shown ?? position, position);
  }

  /** Notes that its log lacks a position. */
  noteFellShort(of: Position): void {
    this.#fellShort = {at: this.#options.clock.now(), of};
  }

  /** Forgets what it showed, after its log may have been cut back. */
  forgetShown(): void {
    this.#shown = undefined;
    this.#fellShort = undefined;
  }

  /**
   * Asks the database for its state over a new connection, which tests the way
   * to it as well; undefined while it is too busy to say.
   *
   * @throws TargetError when it can't be reached or does not answer
   */
  async askState(): Promise<DatabaseState | undefined> {
    const {connector, anyTeam} = this.#options;
    const team = anyTeam();
    if (team === undefined) {
      throw new TargetError('notSent', 'there is no team to connect for yet');
    }
    const opened = await connector.connect(
      this.entry,
      team,
      CONNECT_TIMEOUT_MS,
    );
    try {
      return await this.#askStateOn(opened);
    } finally {
      opened.close();
    }
  }

  /**
   * The same over a connection that is open, if one is: a busy database may
   * accept no more of them.
   */
  async askStateSoon(): Promise<DatabaseState | undefined> {
    const kept = this.connections.takeAny();
    if (kept === undefined) return this.askState();
    try {
      return await this.#askStateOn(kept);
    } finally {
      if (kept.usable) this.connections.add(kept);
    }
  }

  async #askStateOn(
    connection: Pick<BoundConnection, 'askState' | 'close'>,
  ): Promise<DatabaseState | undefined> {
    const {clock} = this.#options;
    const cancel = startTimer(clock, STATE_TIMEOUT_MS, () =>
      connection.close(),
    );
    try {
      const state = await connection.askState();
      this.health.noteAnswer();
      return state;
    } finally {
      cancel();
    }
  }

  /** While the database accepts no more, what is open has to do. */
  #connectionLimit(): number {
    const share = this.#options.connectionShare();
    const {open} = this.connections;
    const isFull = this.#options.clock.now() < this.#fullUntil;
    return isFull && open > 0 ? Math.min(share, open) : share;
  }

  async #connect(team: string): Promise<BoundConnection> {
    const {clock, connector} = this.#options;
    const startedAt = clock.now();
    try {
      const opened = await connector.connect(
        this.entry,
        team,
        CONNECT_TIMEOUT_MS,
      );
      const tookMs = clock.now() - startedAt;
      this.#openingMs += OPENING_SMOOTHING * (tookMs - this.#openingMs);
      return new BoundConnection(clock, team, opened);
    } catch (err) {
      const isFull =
        err instanceof TargetError && err.code === 'tooManyConnections';
      if (isFull) this.#fullUntil = clock.now() + FULL_PAUSE_MS;
      else this.health.noteFailure();
      throw err;
    }
  }
}
