/** Formatting of table edits as a diff. */
import {resolveEditRef, type RowEdit} from '../rollout/config-document.js';
import {CSV_COLUMNS, formatCells} from '../rollout/table-cells.js';
import {
  findRow,
  formatRowRef,
  type Table,
  type TableRow,
} from '../rollout/table.js';

/**
 * Formats an edit as a diff line against the current table.
 *
 * @example
 * formatRowEdit(table, edit); // '~ group claims: old 100 -> 80, new 0 -> 20'
 */
export function formatRowEdit(table: Table, edit: RowEdit): string {
  const ref = resolveEditRef(edit);
  const current = findRow(table, ref);
  if (edit.kind === 'remove') return `- ${formatRowRef(ref)}`;
  if (current === undefined) {
    return `+ ${formatRowRef(ref)}: ${formatNewCells(edit.row)}`;
  }
  return `~ ${formatRowRef(ref)}: ${formatChangedCells(current, edit.row)}`;
}

function formatNewCells(row: TableRow): string {
  const cells = formatCells(row);
  return CSV_COLUMNS.filter(column => column !== 'kind' && column !== 'name')
    .filter(column => cells[column] !== undefined)
    .map(column => `${column}=${cells[column]}`)
    .join(' ');
}

function formatChangedCells(from: TableRow, to: TableRow): string {
  const before = formatCells(from);
  const after = formatCells(to);
  return CSV_COLUMNS.filter(column => before[column] !== after[column])
    .map(
      column =>
        `${column} ${before[column] ?? 'blank'} -> ${after[column] ?? 'blank'}`,
    )
    .join(', ');
}
