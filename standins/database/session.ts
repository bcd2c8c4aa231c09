/** One connection's statements and transaction. */
import type {Position} from '../../src/session/position.js';
import {runControl} from './control.js';
import type {GroupMember} from './member.js';
import type {Result} from './result.js';
import {readRows, resolveWrite, textOf} from './statements.js';
import {SqlError} from './sql-error.js';
import type {Statement} from './sql.js';
import type {StatementRunner} from './statement-runner.js';
import {WriteSet} from './write-set.js';

/** An open transaction. */
interface Transaction {
  readonly writes: WriteSet;
  /** The term this database led when it began; undefined on a replica. */
  readonly term: number | undefined;
  /** Whether BEGIN opened it, rather than a statement of its own. */
  explicit: boolean;
  failed: boolean;
}

/** The transaction status that ReadyForQuery shows. */
export type TransactionCode = 'I' | 'T' | 'E';

/** A statement's result and the position at which it ran. */
export interface Executed {
  readonly result: Result;
  readonly position: Position;
}

/** One connection's session. */
export class Session {
  readonly #member: GroupMember;
  readonly #runner: StatementRunner;
  readonly #user: string;
  readonly #control: boolean;
  #transaction: Transaction | undefined;
  #committed: Position | undefined;

  constructor(
    member: GroupMember,
    runner: StatementRunner,
    user: string,
    control: boolean,
  ) {
    this.#member = member;
    this.#runner = runner;
    this.#user = user;
    this.#control = control;
  }

  /** The position at which a read would run now. */
  get position(): Position {
    return this.#member.applied;
  }

  get transactionCode(): TransactionCode {
    if (this.#transaction === undefined || !this.#transaction.explicit) {
      return 'I';
    }
    return this.#transaction.failed ? 'E' : 'T';
  }

  /** Runs a statement; a failure also fails the transaction. */
  async execute(
    statement: Statement,
    parameters: readonly (string | null)[],
    signal: AbortSignal,
  ): Promise<Executed> {
    try {
      return await this.#execute(statement, parameters, signal);
    } catch (err) {
      this.fail();
      // A COMMIT ends its transaction also when it fails.
      if (statement.kind === 'commit') this.#transaction = undefined;
      throw err;
    }
  }

  /** Marks the transaction as failed, as any error in it does. */
  fail(): void {
    if (this.#transaction?.explicit) this.#transaction.failed = true;
    else this.#transaction = undefined;
  }

  /** Commits what ran outside an explicit transaction; the batch ends here. */
  endBatch(): Position | undefined {
    const transaction = this.#transaction;
    if (transaction !== undefined && !transaction.explicit) this.#commit();
    const committed = this.#committed;
    this.#committed = undefined;
    return committed;
  }

  async #execute(
    statement: Statement,
    parameters: readonly (string | null)[],
    signal: AbortSignal,
  ): Promise<Executed> {
    this.#checkTransaction(statement);
    switch (statement.kind) {
      case 'status':
      case 'fence':
      case 'promote':
      case 'confirm': {
        if (!this.#control) {
          throw new SqlError('42501', 'connect to the database "platform"');
        }
        const result = await runControl(this.#member, statement);
        return {result, position: this.#member.applied};
      }
      default: {
        const sleepMs =
          statement.kind === 'sleep'
            ? 1000 * Number(textOf(statement.seconds, parameters))
            : 0;
        return this.#runner.run(sleepMs, signal, () => {
          this.#checkTransaction(statement);
          const position = this.#member.applied;
          return {result: this.#evaluate(statement, parameters), position};
        });
      }
    }
  }

  #evaluate(
    statement: Statement,
    parameters: readonly (string | null)[],
  ): Result {
    switch (statement.kind) {
      case 'begin':
        this.#begin(true).explicit = true;
        return {tag: 'BEGIN'};
      case 'commit':
        return this.#transaction?.failed ? this.#rollback() : this.#commit();
      case 'rollback':
        return this.#rollback();
      case 'insert':
      case 'update':
      case 'delete': {
        const {writes} = this.#begin(false);
        const count = writes.write(resolveWrite(statement, parameters));
        const verb = statement.kind.toUpperCase();
        return {tag: `${verb}${verb === 'INSERT' ? ' 0' : ''} ${count}`};
      }
      default: {
        const source = this.#transaction?.writes ?? this.#member.rows;
        return readRows(statement, parameters, source, this.#user);
      }
    }
  }

  /** The open transaction, or a new one; writes need a primary. */
  #begin(mayRead: boolean): Transaction {
    const {role, term, fencedTerm, rows} = this.#member;
    const leads = role === 'primary' && fencedTerm <= term;
    if (!leads && !mayRead) {
      throw new SqlError('25006', 'cannot write on a replica');
    }
    this.#transaction ??= {
      writes: new WriteSet(rows),
      term: leads ? term : undefined,
      explicit: false,
      failed: false,
    };
    return this.#transaction;
  }

  #checkTransaction(statement: Statement): void {
    const transaction = this.#transaction;
    if (transaction === undefined || statement.kind === 'rollback') return;
    if (transaction.failed) {
      if (statement.kind === 'commit') return;
      throw new SqlError(
        '25P02',
        'current transaction is aborted, commands ignored until end of transaction block',
      );
    }
    if (transaction.term !== undefined) {
      this.#member.checkPrimary(transaction.term);
    }
  }

  #commit(): Result {
    const transaction = this.#transaction;
    this.#transaction = undefined;
    if (transaction !== undefined && !transaction.writes.empty) {
      this.#committed = this.#member.commit(
        transaction.term ?? 0,
        transaction.writes,
      );
    }
    return {tag: 'COMMIT'};
  }

  #rollback(): Result {
    this.#transaction = undefined;
    return {tag: 'ROLLBACK'};
  }
}
