/** The operators' configuration: the table, the keys and the latest edits. */
import type {KeyIndex, KeyRecord, WithdrawnKey} from './keys.js';
import {
  EMPTY_TABLE,
  findRow,
  formatRowRef,
  rowsEqual,
  type RowRef,
  type Table,
  type TableRow,
} from './table.js';

/** The store key that holds the whole configuration. */
export const CONFIG_KEY = 'zinnia/config';

/** Edits remembered for history and for settling lost answers. */
export const MAX_EDITS = 64;
/** Removed rows remembered, to recognise a stale base version. */
export const MAX_REMOVED_ROWS = 512;
/** Withdrawn keys remembered; older ones are refused as unknown. */
export const MAX_WITHDRAWN_KEYS = 512;
/** Retired instances remembered. */
export const MAX_RETIRED = 1024;

const MAX_SUMMARY_LENGTH = 160;

/** One accepted edit. */
export interface EditRecord {
  readonly id: string;
  readonly version: number;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  readonly by: string;
  readonly summary: string;
}

/** A row that was removed, and the version that removed it. */
export interface RemovedRow extends RowRef {
  readonly atVersion: number;
}

/** A VM instance that lost its budget shares for good. */
export interface RetiredInstance {
  readonly instance: string;
  readonly atVersion: number;
}

/** A row to write or to remove. */
export type RowEdit =
  | {readonly kind: 'put'; readonly row: TableRow}
  | {readonly kind: 'remove'; readonly ref: RowRef};

/** Everything that a document holds. */
export interface ConfigState {
  readonly version: number;
  readonly table: Table;
  /** The version that last changed each row, by `formatRowRef`. */
  readonly rowVersions: ReadonlyMap<string, number>;
  readonly removedRows: readonly RemovedRow[];
  readonly keys: ReadonlyMap<string, KeyRecord>;
  readonly withdrawnKeys: ReadonlyMap<string, WithdrawnKey>;
  readonly retired: ReadonlyMap<string, RetiredInstance>;
  /** Oldest first. */
  readonly edits: readonly EditRecord[];
}

const EMPTY_STATE: ConfigState = {
  version: 0,
  table: EMPTY_TABLE,
  rowVersions: new Map(),
  removedRows: [],
  keys: new Map(),
  withdrawnKeys: new Map(),
  retired: new Map(),
  edits: [],
};

/** The row that an edit writes or removes. */
export function resolveEditRef(edit: RowEdit): RowRef {
  return edit.kind === 'put' ? edit.row : edit.ref;
}

/**
 * The configuration at one version. Immutable: the `with` methods return a new
 * document whose changes count for `version + 1`, and `withEdit` closes the
 * edit by raising the version.
 */
export class ConfigDocument implements KeyIndex {
  /** The configuration before any edit. */
  static readonly EMPTY = new ConfigDocument(EMPTY_STATE);

  readonly #state: ConfigState;

  constructor(state: ConfigState) {
    this.#state = state;
  }

  get version(): number {
    return this.#state.version;
  }

  get table(): Table {
    return this.#state.table;
  }

  get keys(): readonly KeyRecord[] {
    return [...this.#state.keys.values()];
  }

  get retired(): readonly RetiredInstance[] {
    return [...this.#state.retired.values()];
  }

  /** The latest edits, oldest first. */
  get edits(): readonly EditRecord[] {
    return this.#state.edits;
  }

  /** Everything the document holds, for its codec. */
  get state(): ConfigState {
    return this.#state;
  }

  findKey(id: string): KeyRecord | undefined {
    return this.#state.keys.get(id);
  }

  findWithdrawnKey(id: string): WithdrawnKey | undefined {
    return this.#state.withdrawnKeys.get(id);
  }

  isRetired(instance: string): boolean {
    return this.#state.retired.has(instance);
  }

  findEdit(id: string): EditRecord | undefined {
    return this.#state.edits.find(edit => edit.id === id);
  }

  /** The edit that made `version`, if it is still remembered. */
  findEditAt(version: number): EditRecord | undefined {
    return this.#state.edits.find(edit => edit.version === version);
  }

  /** Whether every edit after `version` is still remembered. */
  remembersSince(version: number): boolean {
    const oldest = this.#state.edits[0];
    return oldest === undefined || oldest.version <= version + 1;
  }

  /** The version that last wrote or removed a row; 0 if none is known. */
  rowChangedAt(ref: RowRef): number {
    const written = this.#state.rowVersions.get(formatRowRef(ref));
    if (written !== undefined) return written;
    const removed = this.#state.removedRows.filter(
      row => row.kind === ref.kind && row.name === ref.name,
    );
    return removed.at(-1)?.atVersion ?? this.#forgottenRemovalVersion();
  }

  /**
   * Writes and removes rows; an edit that changes nothing is left out.
   *
   * @example
   * document.withRows([{kind: 'put', row}]).withEdit(edit);
   */
  withRows(edits: readonly RowEdit[]): ConfigDocument {
    const teams = new Map(this.table.teams);
    const groups = new Map(this.table.groups);
    const rowVersions = new Map(this.#state.rowVersions);
    const removed = [...this.#state.removedRows];
    const next = this.version + 1;
    for (const edit of edits) {
      const ref = resolveEditRef(edit);
      const current = findRow({teams, groups}, ref);
      const wanted = edit.kind === 'put' ? edit.row : undefined;
      if (rowsEqual(current, wanted)) continue;
      if (wanted === undefined) {
        (ref.kind === 'team' ? teams : groups).delete(ref.name);
        rowVersions.delete(formatRowRef(ref));
        removed.push({kind: ref.kind, name: ref.name, atVersion: next});
        continue;
      }
      if (wanted.kind === 'team') teams.set(wanted.name, wanted);
      else groups.set(wanted.name, wanted);
      rowVersions.set(formatRowRef(ref), next);
    }
    return this.#with({
      table: {teams, groups},
      rowVersions,
      removedRows: removed.slice(-MAX_REMOVED_ROWS),
    });
  }

  /** Adds a key. */
  withKey(record: KeyRecord): ConfigDocument {
    const keys = new Map(this.#state.keys);
    keys.set(record.id, record);
    return this.#with({keys});
  }

  /** Withdraws a key; unchanged if there is no such key. */
  withoutKey(id: string): ConfigDocument {
    const record = this.findKey(id);
    if (record === undefined) return this;
    const keys = new Map(this.#state.keys);
    keys.delete(id);
    const withdrawn = new Map(this.#state.withdrawnKeys);
    const {team} = record;
    withdrawn.set(id, {id, team, atVersion: this.version + 1});
    return this.#with({
      keys,
      withdrawnKeys: keepLatest(withdrawn, MAX_WITHDRAWN_KEYS),
    });
  }

  /** Records that a VM instance lost its budget shares. */
  withRetired(instance: string): ConfigDocument {
    if (this.isRetired(instance)) return this;
    const retired = new Map(this.#state.retired);
    retired.set(instance, {instance, atVersion: this.version + 1});
    return this.#with({retired: keepLatest(retired, MAX_RETIRED)});
  }

  /** Accepts an edit: raises the version by one and records it. */
  withEdit(edit: Omit<EditRecord, 'version'>): ConfigDocument {
    const version = this.version + 1;
    const summary = edit.summary.slice(0, MAX_SUMMARY_LENGTH);
    const edits = [...this.edits, {...edit, summary, version}];
    return this.#with({version, edits: edits.slice(-MAX_EDITS)});
  }

  #with(changes: Partial<ConfigState>): ConfigDocument {
    return new ConfigDocument({...this.#state, ...changes});
  }

  /** Below this version a row's removal may no longer be remembered. */
  #forgottenRemovalVersion(): number {
    const {removedRows} = this.#state;
    if (removedRows.length < MAX_REMOVED_ROWS) return 0;
    return (removedRows[0]?.atVersion ?? 1) - 1;
  }
}

function keepLatest<Value>(
  entries: ReadonlyMap<string, Value>,
  max: number,
): ReadonlyMap<string, Value> {
  return new Map([...entries].slice(-max));
}
