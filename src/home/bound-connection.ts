/** A database connection of one team and what it is set up for. */
import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import type {Position} from '../session/position.js';
import type {StatementConnection} from '../statements/connection.js';
import type {
  CallerStatement,
  DatabaseCommand,
  DatabaseReply,
  DatabaseState,
  PreparedShape,
} from '../statements/types.js';
import {TargetError, type TransactionStatus} from '../targets/types.js';
import type {LaneConnection} from './lane.js';

/** The values of a session by name, in the order in which they were set. */
export type SessionValues = Readonly<Record<string, string>>;

/**
 * Knows which session values and prepared statements a connection holds, and
 * brings it in line with a session before that session's statement runs.
 *
 * @example
 * await connection.prepareFor(values, statement.prepared, 500);
 * const [reply] = await connection.run([connection.commandFor(statement)], 500);
 */
export class BoundConnection implements LaneConnection {
  readonly team: string;
  readonly #clock: Clock;
  readonly #connection: StatementConnection;
  readonly #values = new Map<string, string>();
  readonly #names = new Map<string, string>();
  /** When it last answered, on the node's monotonic clock. */
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
   * Asks the database for its state; undefined while it is too busy to say.
   *
   * @throws TargetError `notSent` or `lost`
   */
  askState(): Promise<DatabaseState | undefined> {
    return this.#connection.askState();
  }

  onClose(listener: () => void): void {
    this.#connection.onClose(listener);
  }

  /** Whether it holds exactly these values. */
  holds(values: SessionValues): boolean {
    const wanted = Object.entries(values);
    if (wanted.length !== this.#values.size) return false;
    return wanted.every(([name, value]) => this.#values.get(name) === value);
  }

  /** Whether it holds no values at all. */
  get isBlank(): boolean {
    return this.#values.size === 0;
  }

  /**
   * Sets it up for a session and its statement; sends nothing if it is.
   *
   * @throws TargetError `notSent` if the database refused a part of it
   */
  async prepareFor(
    values: SessionValues,
    prepared: PreparedShape | undefined,
    timeoutMs: number,
  ): Promise<void> {
    const commands = [
      ...this.#alignValues(values),
      ...this.#alignPrepared(prepared),
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

  /** The command that runs a statement here, once it is set up for it. */
  commandFor(statement: CallerStatement, after?: Position): DatabaseCommand {
    const {prepared} = statement;
    const preparedName = prepared && this.#names.get(nameKey(prepared));
    return {kind: 'run', statement, preparedName, after};
  }

  /**
   * Runs commands; closes the connection if they are not answered in time, so
   * that a late answer can't meet another request.
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

  /** Whether it still answers; it holds nothing afterwards. */
  async isAlive(timeoutMs: number): Promise<boolean> {
    try {
      const [reply] = await this.run([this.#reset()], timeoutMs);
      return reply?.kind === 'done' && this.usable;
    } catch {
      return false;
    }
  }

  #alignValues(values: SessionValues): readonly DatabaseCommand[] {
    const commands: DatabaseCommand[] = [];
    const isSurplus = (name: string) => !Object.hasOwn(values, name);
    if ([...this.#values.keys()].some(isSurplus)) commands.push(this.#reset());
    for (const [name, value] of Object.entries(values)) {
      if (this.#values.get(name) === value) continue;
      this.#values.set(name, value);
      commands.push({kind: 'setValue', name, value});
    }
    return commands;
  }

  #alignPrepared(
    prepared: PreparedShape | undefined,
  ): readonly DatabaseCommand[] {
    if (prepared === undefined) return [];
    const key = nameKey(prepared);
    if (this.#names.has(key)) return [];
    const name = `p${this.#names.size + 1}`;
    this.#names.set(key, name);
    return [{kind: 'prepare', name, shape: prepared}];
  }

  #reset(): DatabaseCommand {
    this.#values.clear();
    this.#names.clear();
    return {kind: 'reset'};
  }
}

function nameKey({access, shape}: PreparedShape): string {
  return `${access} ${shape}`;
}
