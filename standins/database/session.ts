/** Executes the statements of one connection and tracks its transaction. */
import type {Position} from '../../src/session/position.js';
import {runControl} from './control.js';
import type {GroupMember} from './member.js';
import type {Result} from './result.js';
import {readRows, resolveWrite, resolveText} from './statements.js';
import {SqlError} from './sql-error.js';
import type {Statement} from './sql.js';
import type {StatementRunner} from './statement-runner.js';
import {WriteSet} from './write-set.js';

/** An open transaction. */
interface Transaction {
  readonly writes: WriteSet;
  /** Term of the primary when the transaction began; undefined on a replica. */
  readonly term: number | undefined;
  /** True if BEGIN opened it; false for the implicit transaction of a batch. */
  explicit: boolean;
  failed: boolean;
}

/** Transaction status in ReadyForQuery: idle, in transaction or failed. */
export type TransactionCode = 'I' | 'T' | 'E';

/** A statement's result and the position at which it ran. */
export interface ExecutedStatement {
  readonly result: Result;
  readonly position: Position;
}

/** The session of one connection. */
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

  /** Position that a read would include now. */
  get position(): Position {
    return this.#member.applied;
  }

  get transactionCode(): TransactionCode {
    if (this.#transaction === undefined || !this.#transaction.explicit) {
      return 'I';
    }
    return this.#transaction.failed ? 'E' : 'T';
  }

  /** Executes a statement; an error also fails the transaction. */
  async execute(
    statement: Statement,
    parameters: readonly (string | null)[],
    signal: AbortSignal,
  ): Promise<ExecutedStatement> {
    try {
      return await this.#execute(statement, parameters, signal);
    } catch (err) {
      this.fail();
      // A failed COMMIT also ends its transaction.
      if (statement.kind === 'commit') this.#transaction = undefined;
      throw err;
    }
  }

  /** Marks an explicit transaction as failed; discards an implicit one. */
  fail(): void {
    if (this.#transaction?.explicit) this.#transaction.failed = true;
    else this.#transaction = undefined;
  }

  /**
   * Ends a batch: commits its implicit transaction. Returns the position of the
   * last commit of the batch, if any.
   */
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
  ): Promise<ExecutedStatement> {
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
            ? 1000 * Number(resolveText(statement.seconds, parameters))
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

  /**
   * Returns the open transaction or begins one. Throws SqlError 25006 on a
   * replica unless `allowReplica`.
   */
  #begin(allowReplica: boolean): Transaction {
    const {role, term, fencedTerm, rows} = this.#member;
    const isPrimary = role === 'primary' && fencedTerm <= term;
    if (!isPrimary && !allowReplica) {
      throw new SqlError('25006', 'cannot write on a replica');
    }
    this.#transaction ??= {
      writes: new WriteSet(rows),
      term: isPrimary ? term : undefined,
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
    if (transaction !== undefined && !transaction.writes.isEmpty) {
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
