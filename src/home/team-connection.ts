/** A database connection of one team and the session state it carries. */
import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import type {Position} from '../session/position.js';
import type {StatementConnection} from '../statements/connection.js';
import type {
  CallerStatement,
  DatabaseCommand,
  DatabaseReply,
  DatabaseState,
  PreparedStatement,
} from '../statements/types.js';
import {TargetError, type TransactionStatus} from '../targets/types.js';
import type {PooledConnection} from './connection-pool.js';

/** The settings of a session (name to value) in the order they were set. */
export type SessionValues = Readonly<Record<string, string>>;

/**
 * Tracks the session values and prepared statements on a connection that many
 * sessions share, and sends what differs before a session's statement runs.
 *
 * @example
 * await connection.prepareFor(values, statement.prepared, 500);
 * const [reply] = await connection.run([connection.commandFor(statement)], 500);
 */
export class TeamConnection implements PooledConnection {
  readonly team: string;
  readonly #clock: Clock;
  readonly #connection: StatementConnection;
  readonly #values = new Map<string, string>();
  readonly #preparedNames = new Map<string, string>();
  /** Time of the last answer, on the node's monotonic clock. */
  lastAnswerAt: number;

  constructor(clock: Clock, team: string, connection: StatementConnection) {
    this.#clock = clock;
    this.team = team;
    this.#connection = connection;
    this.lastAnswerAt = clock.now();
  }

  get usable(): boolean {
    return this.#connection.usable;
  }

  get transaction(): TransactionStatus {
    return this.#connection.transaction;
  }

  close(): void {
    this.#connection.close();
  }

  /**
   * Queries the database's state; undefined if it is too busy to answer.
   *
   * @throws TargetError `notSent` or `lost`
   */
  queryState(): Promise<DatabaseState | undefined> {
    return this.#connection.queryState();
  }

  /** Makes the database a replica if it leads a lower term. */
  stepDown(term: number): Promise<DatabaseState | undefined> {
    return this.#connection.stepDown(term);
  }

  onClose(listener: () => void): void {
    this.#connection.onClose(listener);
  }

  /** True if exactly these session values are set. */
  hasExactly(values: SessionValues): boolean {
    const wanted = Object.entries(values);
    if (wanted.length !== this.#values.size) return false;
    return wanted.every(([name, value]) => this.#values.get(name) === value);
  }

  /** True if no session values are set. */
  get hasNoValues(): boolean {
    return this.#values.size === 0;
  }

  /**
   * Sets the session's values and prepares its statement, unless already done.
   *
   * @throws TargetError `notSent` if the database refused one of the commands
   */
  async applySession(
    values: SessionValues,
    prepared: PreparedStatement | undefined,
    timeoutMs: number,
  ): Promise<void> {
    const commands = [
      ...this.#commandsForValues(values),
      ...this.#commandsForPrepared(prepared),
    ];
    if (commands.length === 0) return;
    const replies = await this.run(commands, timeoutMs);
    const refused = replies.find(({kind}) => kind === 'error');
    if (refused?.kind !== 'error') return;
    this.close();
    throw new TargetError(
      'notSent',
      `the database refused to set the session up: ${refused.code}`,
    );
  }

  /** Returns the command that runs a statement; call `applySession` first. */
  commandFor(statement: CallerStatement, after?: Position): DatabaseCommand {
    const {prepared} = statement;
    const preparedName =
      prepared && this.#preparedNames.get(shapeKey(prepared));
    return {kind: 'run', statement, preparedName, after};
  }

  /**
   * Runs commands. Closes the connection on a timeout, so that a late answer is
   * never taken for that of another request.
   *
   * @throws TargetError `notSent` or `lost`
   */
  async run(
    commands: readonly DatabaseCommand[],
    timeoutMs: number,
  ): Promise<readonly DatabaseReply[]> {
    const cancel = startTimer(this.#clock, timeoutMs, () => this.close());
    try {
      const replies = await this.#connection.run(commands);
      this.lastAnswerAt = this.#clock.now();
      return replies;
    } finally {
      cancel();
    }
  }

  /** Resets the session state; returns whether the connection still answers. */
  async resetAndCheck(timeoutMs: number): Promise<boolean> {
    try {
      const [reply] = await this.run([this.#reset()], timeoutMs);
      return reply?.kind === 'done' && this.usable;
    } catch {
      return false;
    }
  }

  #commandsForValues(values: SessionValues): readonly DatabaseCommand[] {
    const commands: DatabaseCommand[] = [];
    const isObsolete = (name: string) => !Object.hasOwn(values, name);
    if ([...this.#values.keys()].some(isObsolete)) commands.push(this.#reset());
    for (const [name, value] of Object.entries(values)) {
      if (this.#values.get(name) === value) continue;
      this.#values.set(name, value);
      commands.push({kind: 'setValue', name, value});
    }
    return commands;
  }

  #commandsForPrepared(
    prepared: PreparedStatement | undefined,
  ): readonly DatabaseCommand[] {
    if (prepared === undefined) return [];
    const key = shapeKey(prepared);
    if (this.#preparedNames.has(key)) return [];
    const name = `p${this.#preparedNames.size + 1}`;
    this.#preparedNames.set(key, name);
    return [{kind: 'prepare', name, shape: prepared}];
  }

  #reset(): DatabaseCommand {
    this.#values.clear();
    this.#preparedNames.clear();
    return {kind: 'reset'};
  }
}

function shapeKey({access, shape}: PreparedStatement): string {
  return `${access} ${shape}`;
}
