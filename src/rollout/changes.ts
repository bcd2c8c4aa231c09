/** Changes of the configuration and how each is applied to a document. */
import {
  resolveEditRef,
  type ConfigDocument,
  type RowEdit,
} from './config-document.js';
import type {KeyRecord} from './keys.js';
import {
  findRow,
  formatRowRef,
  listRows,
  rowsEqual,
  type RowRef,
  type Table,
} from './table.js';

/** A change of more rows is summarised by its number of edits. */
const MAX_NAMED_EDITS = 4;

/** Writes and removes rows, checked against the version that the operator saw. */
export interface RowsChange {
  readonly kind: 'rows';
  readonly edits: readonly RowEdit[];
  /** Defaults to the first version that the editor reads. */
  readonly baseVersion?: number;
}

/** A change of the configuration. */
export type Change =
  | RowsChange
  | {readonly kind: 'grantKey'; readonly key: KeyRecord}
  | {readonly kind: 'withdrawKey'; readonly keyId: string}
  | {readonly kind: 'retire'; readonly instance: string};

/** Result of applying a change to a document. */
export type ChangeResult =
  | {readonly kind: 'changed'; readonly document: ConfigDocument}
  | {readonly kind: 'unchanged'}
  | {readonly kind: 'conflict'; readonly row: RowRef; readonly version: number}
  | {readonly kind: 'refused'; readonly message: string};

/**
 * Applies a change to a document. `baseVersion` is the version that the
 * operator saw: a row that was changed since then is a conflict, unless it
 * already has the wanted content.
 */
export function applyChange(
  document: ConfigDocument,
  change: Change,
  baseVersion: number,
): ChangeResult {
  switch (change.kind) {
    case 'rows':
      return applyRows(document, change.edits, baseVersion);
    case 'grantKey':
      return applyGrant(document, change.key);
    case 'withdrawKey':
      return applyWithdrawal(document, change.keyId);
    case 'retire':
      return document.isRetired(change.instance)
        ? {kind: 'unchanged'}
        : {kind: 'changed', document: document.withRetired(change.instance)};
  }
}

/**
 * The edits that turn one table into another.
 *
 * @example
 * diffTables(document.table, parseTableCsv(text));
 */
export function diffTables(from: Table, to: Table): readonly RowEdit[] {
  const puts = listRows(to)
    .filter(row => !rowsEqual(findRow(from, row), row))
    .map(row => ({kind: 'put', row}) as const);
  const removals = listRows(from)
    .filter(row => findRow(to, row) === undefined)
    .map(row => ({
      kind: 'remove' as const,
      ref: {kind: row.kind, name: row.name},
    }));
  return [...puts, ...removals];
}

/** Whether a table already contains the result of an edit. */
export function isInTable(table: Table, edit: RowEdit): boolean {
  const wanted = edit.kind === 'put' ? edit.row : undefined;
  return rowsEqual(findRow(table, resolveEditRef(edit)), wanted);
}

/** Summarises a change for the edit history. */
export function summarizeChange(change: Change): string {
  switch (change.kind) {
    case 'rows':
      return change.edits.length > MAX_NAMED_EDITS
        ? countEdits(change.edits)
        : change.edits.map(summarizeEdit).join(', ');
    case 'grantKey':
      return `grant key ${change.key.id} to ${change.key.team}`;
    case 'withdrawKey':
      return `withdraw key ${change.keyId}`;
    case 'retire':
      return `retire ${change.instance}`;
  }
}

function countEdits(edits: readonly RowEdit[]): string {
  const puts = edits.filter(edit => edit.kind === 'put').length;
  return `set ${puts} rows, remove ${edits.length - puts} rows`;
}

function summarizeEdit(edit: RowEdit): string {
  const verb = edit.kind === 'put' ? 'set' : 'remove';
  return `${verb} ${formatRowRef(resolveEditRef(edit))}`;
}

function applyRows(
  document: ConfigDocument,
  edits: readonly RowEdit[],
  baseVersion: number,
): ChangeResult {
  const pending = edits.filter(edit => !isInTable(document.table, edit));
  if (pending.length === 0) return {kind: 'unchanged'};
  for (const edit of pending) {
    const row = resolveEditRef(edit);
    const version = document.rowChangedAt(row);
    if (version > baseVersion) return {kind: 'conflict', row, version};
    if (edit.kind === 'remove' && teamHasKeys(document, row)) {
      return {kind: 'refused', message: formatKeysLeftMessage(row)};
    }
  }
  return {kind: 'changed', document: document.withRows(pending)};
}

function teamHasKeys(document: ConfigDocument, row: RowRef): boolean {
  if (row.kind !== 'team') return false;
  return document.keys.some(key => key.team === row.name);
}

function formatKeysLeftMessage(row: RowRef): string {
  return `${formatRowRef(row)} still has keys; withdraw them first, see zinnia key list`;
}

function applyGrant(document: ConfigDocument, key: KeyRecord): ChangeResult {
  if (document.findWithdrawnKey(key.id) !== undefined) {
    const message = `key ${key.id} was withdrawn; grant a new key`;
    return {kind: 'refused', message};
  }
  if (document.findKey(key.id) !== undefined) return {kind: 'unchanged'};
  if (!document.table.teams.has(key.team)) {
    const message = `there is no team ${key.team}; add its row with zinnia table set team ${key.team} rate=... burst=...`;
    return {kind: 'refused', message};
  }
  return {kind: 'changed', document: document.withKey(key)};
}

function applyWithdrawal(
  document: ConfigDocument,
  keyId: string,
): ChangeResult {
  if (document.findKey(keyId) !== undefined) {
    return {kind: 'changed', document: document.withoutKey(keyId)};
  }
  if (document.findWithdrawnKey(keyId) !== undefined) {
    return {kind: 'unchanged'};
  }
  const message = `there is no key ${keyId}; see zinnia key list`;
  return {kind: 'refused', message};
}
