/** One database of a group at the group's home. */
import type {AnnouncedDatabase} from '../catalog/types.js';
import {PassiveHealth} from '../membership/passive-health.js';
import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import type {DatabaseLoad} from '../load/types.js';
import type {ColdLimit} from '../pace/cold-limit.js';
import type {Pace, PaceFailure} from '../pace/pace.js';
import type {QuotaDecision} from '../quota/types.js';
import {laterPosition, type Position} from '../session/position.js';
import type {StatementConnector} from '../statements/connection.js';
import type {DatabaseReply, DatabaseState} from '../statements/types.js';
import {TargetError} from '../targets/types.js';
import {ExecutionTimes} from './execution-times.js';
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
  /** The pace of its work; none if the database is never paced. */
  readonly pace?: Pace | undefined;
  /** The limit on its requests while it is cold; none by default. */
  readonly cold?: ColdLimit | undefined;
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
  /** Failures that the pace was told of. */
  #paceFailures = 0;
  /** Times of the answers, sessions' set-up included, for the pace. */
  readonly #answerTimes = new ExecutionTimes();
  #hasFailedToConnect = false;
  /** When it accepted a connection again, maybe as a new process. */
  #returnedAt = -Infinity;

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
      pace: options.pace,
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

  /** Statements that it executes concurrently, as far as its pace allows. */
  get pacedSlots(): number {
    const {slots} = this.entry;
    return Math.min(slots, this.#options.pace?.limit(slots) ?? slots);
  }

  /**
   * Registers work sent to the database; call the result once it has ended. The
   * pace compares its time with that of its kind.
   */
  trackWork(connection: TeamConnection, workKind: string): () => void {
    const end = this.health.trackRequest();
    const startedAt = this.#options.clock.now();
    const failuresBefore = this.#paceFailures;
    this.#running.add(connection);
    return () => {
      end();
      this.#running.delete(connection);
      // What was sent before a failure says nothing about the lower level.
      if (this.#paceFailures !== failuresBefore) return;
      const tookMs = this.#options.clock.now() - startedAt;
      this.#recordPacedAnswer(tookMs, workKind);
    };
  }

  /** Begins to pace a database that is new here or was promoted. */
  beginPace(reason: 'started' | 'takenOver' | 'promoted'): void {
    const {pace} = this.#options;
    // The normal limit, from which some paces begin, depends on the slots.
    pace?.limit(this.entry.slots);
    pace?.recordReturn(reason);
  }

  /** Records a refused or lost connection or a request without an answer. */
  recordFailure(): void {
    const {health} = this;
    health.recordFailure();
    this.#paceFailures += 1;
    if (health.isReachable) this.#options.pace?.recordFailure('lost');
    else this.#options.pace?.recordReturn('recovered');
  }

  /** Whether its requests are limited because it is cold. */
  get isCold(): boolean {
    return this.#options.cold?.isCold(this.id, this.#returnedAt) ?? false;
  }

  /** Milliseconds for which its limit as a cold database admits nothing. */
  get coldRefusedForMs(): number {
    const {cold} = this.#options;
    return this.isCold && cold ? cold.refusedForMs(this.id) : 0;
  }

  /** Milliseconds after which the next caller that it refuses should retry. */
  nextColdRetryMs(): number {
    return this.#options.cold?.nextRetryMs(this.id) ?? 0;
  }

  /**
   * Admits requests under the limit of a cold database; undefined if it is not
   * cold.
   */
  admitCold(requests: number): Promise<QuotaDecision> | undefined {
    return this.isCold
      ? this.#options.cold?.admit(this.id, requests)
      : undefined;
  }

  /** Closes all connections, which aborts running work. */
  closeConnections(): void {
    for (const connection of [...this.#running]) connection.close();
    this.connections.closeAll();
  }

  /** Records that the database answered, and the position in its reply. */
  recordReply(reply: DatabaseReply): void {
    const {position} = reply;
    if (!this.health.isReachable) this.#options.pace?.recordReturn('recovered');
    this.health.recordAnswer();
    this.recordPacedReply(reply);
    if (position === undefined) return;
    this.#visiblePosition = laterPosition(
      this.#visiblePosition ?? position,
      position,
    );
  }

  /** Tells the pace of a reply by which the database refused or failed work. */
  recordPacedReply(reply: DatabaseReply): void {
    const failure = paceFailureOf(reply);
    if (failure === undefined) return;
    this.#paceFailures += 1;
    this.#options.pace?.recordFailure(failure);
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

  #recordPacedAnswer(tookMs: number, workKind: string): void {
    const {pace} = this.#options;
    if (pace === undefined) return;
    // The first answer of a kind has nothing to be compared with.
    const expectedMs = this.#answerTimes.hasMeasured(workKind)
      ? this.#answerTimes.expectedMs(workKind)
      : tookMs;
    this.#answerTimes.record(workKind, tookMs);
    const before = pace.limit(this.entry.slots);
    pace.recordAnswer(tookMs, expectedMs);
    if (pace.limit(this.entry.slots) > before) this.pool.resume();
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
      if (this.#hasFailedToConnect) this.#returnedAt = clock.now();
      this.#hasFailedToConnect = false;
      return new TeamConnection(clock, team, opened);
    } catch (err) {
      const isFull =
        err instanceof TargetError && err.code === 'tooManyConnections';
      if (isFull) {
        this.#refusesUntil = clock.now() + REFUSED_PAUSE_MS;
        this.#options.pace?.recordFailure('busy');
      } else {
        this.#hasFailedToConnect = true;
        this.recordFailure();
      }
      throw err;
    }
  }
}

/** What a reply tells a pace of the database's state; undefined if nothing. */
function paceFailureOf(reply: DatabaseReply): PaceFailure | undefined {
  if (reply.kind === 'done') return undefined;
  if (reply.code === 'busy') return 'busy';
  return reply.code === 'failed' || reply.code === 'timeout'
    ? 'failed'
    : undefined;
}
