/** When each row last changed, and what the latest changes replaced. */
import {
  findRow,
  formatRowRef,
  type RowRef,
  type Table,
  type TableRow,
} from './table.js';

/** Row changes remembered; a base version before them is refused. */
export const MAX_ROW_CHANGES = 512;

/** One change of one row. */
export interface RowChange extends RowRef {
  readonly atVersion: number;
  /** What the row said before; undefined if there was none. */
  readonly before: TableRow | undefined;
}

/**
 * The history of a table's rows. It lets an edit made on an older version of
 * the table be merged with the edits since.
 */
export class RowHistory {
  /** The history of a table without rows. */
  static readonly EMPTY = new RowHistory(new Map(), []);

  /**
   * @param versions the version that last wrote each row, by `formatRowRef`
   * @param changes the latest changes, oldest first
   */
  constructor(
    readonly versions: ReadonlyMap<string, number>,
    readonly changes: readonly RowChange[],
  ) {}

  /**
   * The version that last wrote or removed a row. For a row that is absent
   * without a remembered removal, the latest version that may have removed it.
   */
  changedAt(ref: RowRef): number {
    const written = this.versions.get(formatRowRef(ref));
    if (written !== undefined) return written;
    const change = this.changes.findLast(
      ({kind, name}) => kind === ref.kind && name === ref.name,
    );
    return change?.atVersion ?? this.#forgottenVersion();
  }

  /** Records changes of rows, made in one version, with what they replaced. */
  with(changes: readonly RowChange[], table: Table): RowHistory {
    const versions = new Map(this.versions);
    for (const change of changes) {
      const isPresent = findRow(table, change) !== undefined;
      if (isPresent) versions.set(formatRowRef(change), change.atVersion);
      else versions.delete(formatRowRef(change));
    }
    const latest = [...this.changes, ...changes].slice(-MAX_ROW_CHANGES);
    return new RowHistory(versions, latest);
  }

  /** The table at an older version; undefined if that is forgotten. */
  tableAt(version: number, current: Table): Table | undefined {
    if (version < this.#forgottenVersion()) return undefined;
    const teams = new Map(current.teams);
    const groups = new Map(current.groups);
    for (const change of this.changes.toReversed()) {
      if (change.atVersion <= version) break;
      const {before} = change;
      if (before?.kind === 'team') teams.set(before.name, before);
      else if (before?.kind === 'group') groups.set(before.name, before);
      else (change.kind === 'team' ? teams : groups).delete(change.name);
    }
    return {teams, groups};
  }

  /** The latest version whose changes may no longer be remembered in full. */
  #forgottenVersion(): number {
    if (this.changes.length < MAX_ROW_CHANGES) return 0;
    return this.changes[0]?.atVersion ?? 0;
  }
}
