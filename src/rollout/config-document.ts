/** The operators' configuration: table, API keys, retired instances and edits. */
import type {KeyIndex, KeyRecord, WithdrawnKey} from './keys.js';
import {RowHistory, type RowChange} from './row-history.js';
import {
  EMPTY_TABLE,
  findRow,
  rowsEqual,
  type RowRef,
  type Table,
  type TableRow,
} from './table.js';

/** The store key that holds the whole configuration. */
export const CONFIG_KEY = 'zinnia/config';

/** Maximum number of stored edits, for the history and to resolve lost answers. */
export const MAX_EDITS = 64;
/** Maximum number of stored withdrawn keys; older ones are refused as unknown. */
export const MAX_WITHDRAWN_KEYS = 512;
/** Maximum number of stored retired instances. */
export const MAX_RETIRED = 1024;

const MAX_SUMMARY_LENGTH = 160;
const MAX_BY_LENGTH = 64;

/** One accepted edit. */
export interface EditRecord {
  readonly id: string;
  readonly version: number;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  readonly by: string;
  readonly summary: string;
}

/** A VM instance that lost its budget shares and may never spend again. */
export interface RetiredInstance {
  readonly instance: string;
  readonly atVersion: number;
}

/** A row to write or to remove. */
export type RowEdit =
  | {readonly kind: 'put'; readonly row: TableRow}
  | {readonly kind: 'remove'; readonly ref: RowRef};

/** The complete content of a document. */
export interface ConfigState {
  readonly version: number;
  readonly table: Table;
  readonly history: RowHistory;
  readonly keys: ReadonlyMap<string, KeyRecord>;
  readonly withdrawnKeys: ReadonlyMap<string, WithdrawnKey>;
  readonly retired: ReadonlyMap<string, RetiredInstance>;
  /** Oldest first. */
  readonly edits: readonly EditRecord[];
}

const EMPTY_STATE: ConfigState = {
  version: 0,
  table: EMPTY_TABLE,
  history: RowHistory.EMPTY,
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
 * document whose changes belong to `version + 1`, and `withEdit` completes the
 * edit by incrementing the version.
 */
export class ConfigDocument implements KeyIndex {
  readonly #state: ConfigState;

  constructor(state: ConfigState) {
    this.#state = state;
  }

  /** The configuration before any edit. */
  static get EMPTY(): ConfigDocument {
    return EMPTY_DOCUMENT;
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

  /** The complete content, for the codec. */
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

  /** The edit that created `version`, if it is still stored. */
  findEditAt(version: number): EditRecord | undefined {
    return this.#state.edits.find(edit => edit.version === version);
  }

  /** Whether every edit after `version` is still stored. */
  hasEditsSince(version: number): boolean {
    const oldest = this.#state.edits[0];
    return oldest === undefined || oldest.version <= version + 1;
  }

  /** The version that last wrote or removed a row. */
  rowChangedAt(ref: RowRef): number {
    return this.#state.history.changedAt(ref);
  }

  /** The table at an older version; undefined if its history was discarded. */
  tableAt(version: number): Table | undefined {
    return this.#state.history.tableAt(version, this.table);
  }

  /**
   * Writes and removes rows; edits that change nothing are skipped.
   *
   * @example
   * document.withRows([{kind: 'put', row}]).withEdit(edit);
   */
  withRows(edits: readonly RowEdit[]): ConfigDocument {
    const teams = new Map(this.table.teams);
    const groups = new Map(this.table.groups);
    const atVersion = this.version + 1;
    const changes: RowChange[] = [];
    for (const edit of edits) {
      const {kind, name} = resolveEditRef(edit);
      const before = findRow({teams, groups}, {kind, name});
      const wanted = edit.kind === 'put' ? edit.row : undefined;
      if (rowsEqual(before, wanted)) continue;
      changes.push({kind, name, atVersion, before});
      if (wanted?.kind === 'team') teams.set(name, wanted);
      else if (wanted?.kind === 'group') groups.set(name, wanted);
      else (kind === 'team' ? teams : groups).delete(name);
    }
    const table = {teams, groups};
    const history = this.#state.history.with(changes, table);
    return this.#with({table, history});
  }

  /** Adds a key. */
  withKey(record: KeyRecord): ConfigDocument {
    const keys = new Map(this.#state.keys);
    keys.set(record.id, record);
    return this.#with({keys});
  }

  /** Withdraws a key; returns the same document if there is no such key. */
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
      withdrawnKeys: retainLatest(withdrawn, MAX_WITHDRAWN_KEYS),
    });
  }

  /** Records that a VM instance lost its budget shares. */
  withRetired(instance: string): ConfigDocument {
    if (this.isRetired(instance)) return this;
    const retired = new Map(this.#state.retired);
    retired.set(instance, {instance, atVersion: this.version + 1});
    return this.#with({retired: retainLatest(retired, MAX_RETIRED)});
  }

  /** Completes an edit: increments the version and records the edit. */
  withEdit(edit: Omit<EditRecord, 'version'>): ConfigDocument {
    const version = this.version + 1;
    const record: EditRecord = {
      ...edit,
      version,
      by: edit.by.slice(0, MAX_BY_LENGTH),
      summary: edit.summary.slice(0, MAX_SUMMARY_LENGTH),
    };
    const edits = [...this.edits, record];
    return this.#with({version, edits: edits.slice(-MAX_EDITS)});
  }

  #with(changes: Partial<ConfigState>): ConfigDocument {
    return new ConfigDocument({...this.#state, ...changes});
  }
}

// Not a static field: in tsc's output for ES2022 its initialiser would use the
// class before it is defined.
const EMPTY_DOCUMENT = new ConfigDocument(EMPTY_STATE);

function retainLatest<Value>(
  entries: ReadonlyMap<string, Value>,
  max: number,
): ReadonlyMap<string, Value> {
  return new Map([...entries].slice(-max));
}
