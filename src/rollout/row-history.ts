/** The version at which each row last changed, and the latest replaced rows. */
import {
  findRow,
  formatRowRef,
  type RowRef,
  type Table,
  type TableRow,
} from './table.js';

/** Maximum number of stored row changes; an older base version is refused. */
export const MAX_ROW_CHANGES = 512;

/** One change of one row. */
export interface RowChange extends RowRef {
  readonly atVersion: number;
  /** The replaced row; undefined if there was none. */
  readonly before: TableRow | undefined;
}

/**
 * The history of a table's rows, for merging an edit made on an older version
 * with the edits since then.
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
   * The version that last wrote or removed a row. For an absent row whose
   * removal isn't stored, the latest version that may have removed it.
   */
  changedAt(ref: RowRef): number {
    const written = this.versions.get(formatRowRef(ref));
    if (written !== undefined) return written;
    const change = this.changes.findLast(
      ({kind, name}) => kind === ref.kind && name === ref.name,
    );
    return change?.atVersion ?? this.#lastIncompleteVersion();
  }

  /** Adds the row changes of one version. */
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

  /** The table at an older version; undefined if its history was discarded. */
  tableAt(version: number, current: Table): Table | undefined {
    if (version < this.#lastIncompleteVersion()) return undefined;
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

  /** The latest version whose changes may have been discarded in part. */
  #lastIncompleteVersion(): number {
    if (this.changes.length < MAX_ROW_CHANGES) return 0;
    return this.changes[0]?.atVersion ?? 0;
  }
}
