/** The uncommitted writes of one transaction. */
import {SqlError} from './sql-error.js';
import type {Change, Row, RowSource} from './tables.js';

/** A write with its operands resolved. */
export type Write =
  | {
      readonly kind: 'insert';
      readonly table: string;
      readonly row: Row;
      readonly ignoreConflict: boolean;
    }
  | {
      readonly kind: 'add' | 'set';
      readonly table: string;
      readonly id: string;
      readonly value: number;
    }
  | {readonly kind: 'delete'; readonly table: string; readonly id: string};

/**
 * Overlays writes on a row source, so that a transaction reads its own writes.
 *
 * The writes are operations that are evaluated again at commit on the rows of
 * that time, so concurrent increments of a row are not lost.
 */
export class WriteSet implements RowSource {
  readonly #base: RowSource;
  readonly #writes: Write[] = [];
  readonly #changes = new Map<string, Change>();

  constructor(base: RowSource) {
    this.#base = base;
  }

  /** True if there is nothing to commit. */
  get isEmpty(): boolean {
    return this.#writes.length === 0;
  }

  get(table: string, id: string): Row | undefined {
    const change = this.#changes.get(changeKey(table, id));
    if (change !== undefined) return change.row ?? undefined;
    return this.#base.get(table, id);
  }

  *rows(table: string): Iterable<Row> {
    for (const row of this.#base.rows(table)) {
      if (!this.#changes.has(changeKey(table, row.id))) yield row;
    }
    for (const change of this.#changes.values()) {
      if (change.table === table && change.row !== null) yield change.row;
    }
  }

  /** Evaluates a write and returns the number of affected rows. */
  write(write: Write): number {
    const change = this.#evaluate(write);
    if (change === undefined) return 0;
    this.#writes.push(write);
    this.#changes.set(changeKey(change.table, change.id), change);
    return 1;
  }

  /** Evaluates all writes on the current rows and returns the changes. */
  rebase(): readonly Change[] {
    const rebased = new WriteSet(this.#base);
    for (const write of this.#writes) rebased.write(write);
    return [...rebased.#changes.values()];
  }

  #evaluate(write: Write): Change | undefined {
    const {table} = write;
    if (write.kind === 'insert') return this.#evaluateInsert(write);
    const {id} = write;
    const current = this.get(table, id);
    if (current === undefined) return undefined;
    if (write.kind === 'delete') return {table, id, row: null};
    const base = write.kind === 'add' ? current.value : 0;
    return {table, id, row: {...current, value: base + write.value}};
  }

  #evaluateInsert(write: Extract<Write, {kind: 'insert'}>): Change | undefined {
    const {table, row} = write;
    if (this.get(table, row.id) === undefined) return {table, id: row.id, row};
    if (write.ignoreConflict) return undefined;
    throw new SqlError(
      '23505',
      `duplicate key value violates unique constraint "${table}_pkey"`,
    );
  }
}

function changeKey(table: string, id: string): string {
  return `${table}\0${id}`;
}
