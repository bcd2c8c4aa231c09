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
 * Writes laid over a row source, so that a transaction reads its own.
 *
 * Writes are kept as operations and run again at commit on the rows as they
 * are then; concurrent additions to a row are therefore not lost.
 */
export class WriteSet implements RowSource {
  readonly #base: RowSource;
  readonly #writes: Write[] = [];
  readonly #changes = new Map<string, Change>();

  constructor(base: RowSource) {
    this.#base = base;
  }

  /** Whether there is nothing to commit. */
  get empty(): boolean {
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

  /** Performs a write and returns the number of rows it touched. */
  write(write: Write): number {
    const change = this.#evaluate(write);
    if (change === undefined) return 0;
    this.#writes.push(write);
    this.#changes.set(changeKey(change.table, change.id), change);
    return 1;
  }

  /** The changes to commit, from the writes run on the rows as they are now. */
  rebase(): readonly Change[] {
    const fresh = new WriteSet(this.#base);
    for (const write of this.#writes) fresh.write(write);
    return [...fresh.#changes.values()];
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
