/** In-memory tables and the row changes that the log replays. */

/** A row; all tables have the same columns. */
export interface Row {
  readonly id: string;
  readonly team: string;
  readonly value: number;
}

/** A row's new state; `row` is null for a deletion. */
export interface Change {
  readonly table: string;
  readonly id: string;
  readonly row: Row | null;
}

/** Read access to tables. */
export interface RowSource {
  get(table: string, id: string): Row | undefined;
  rows(table: string): Iterable<Row>;
}

/** The tables of one database; a table is created by its first write. */
export class Tables implements RowSource {
  readonly #tables = new Map<string, Map<string, Row>>();

  get(table: string, id: string): Row | undefined {
    return this.#tables.get(table)?.get(id);
  }

  rows(table: string): Iterable<Row> {
    return this.#tables.get(table)?.values() ?? [];
  }

  /** Applies the changes of one log entry. */
  apply(changes: readonly Change[]): void {
    for (const {table, id, row} of changes) {
      const rows = this.#tables.get(table) ?? new Map<string, Row>();
      this.#tables.set(table, rows);
      if (row === null) rows.delete(id);
      else rows.set(id, row);
    }
  }

  clear(): void {
    this.#tables.clear();
  }
}
