/** Maps the cells of the operators' CSV file to row properties and back. */
import type {TableRow} from './table.js';

/** Columns of the file, in order, and the row property of each. */
const COLUMNS = {
  kind: 'kind',
  name: 'name',
  old: 'oldWeight',
  new: 'newWeight',
  rate: 'rate',
  burst: 'burst',
  stale_ms: 'staleMs',
  ack: 'ack',
  urgent: 'urgent',
  open: 'open',
  priority: 'priority',
} as const;

/** A column of the file. */
export type CsvColumn = keyof typeof COLUMNS;

/** The columns of the file, in order. */
export const CSV_COLUMNS = Object.keys(COLUMNS) as readonly CsvColumn[];

const NUMBER_PATTERN = /^-?\d+(\.\d+)?$/;
const BOOLEANS: ReadonlyMap<string, boolean> = new Map([
  ['true', true],
  ['false', false],
]);

/** Formats a row as cells of the file, by column. */
export function formatCells(
  row: TableRow,
): Readonly<Partial<Record<CsvColumn, string>>> {
  const properties = row as unknown as Readonly<Record<string, unknown>>;
  const cells = CSV_COLUMNS.map(column => [
    column,
    properties[COLUMNS[column]],
  ]).filter(([, value]) => value !== undefined);
  return Object.fromEntries(
    cells.map(([column, value]) => [column, String(value)]),
  );
}

/**
 * Converts cells of the file to row properties; blank cells are left out.
 *
 * @example
 * parseCells({kind: 'team', name: 'lab', stale_ms: '500'});
 * // {kind: 'team', name: 'lab', staleMs: 500}
 */
export function parseCells(
  cells: Readonly<Partial<Record<CsvColumn, string>>>,
): Readonly<Record<string, unknown>> {
  const properties: Record<string, unknown> = {};
  for (const column of CSV_COLUMNS) {
    const cell = (cells[column] ?? '').trim();
    if (cell === '') continue;
    properties[COLUMNS[column]] = parseCell(column, cell);
  }
  return properties;
}

/** The column of a row property, for messages. */
export function csvColumnOf(property: string): string {
  const column = CSV_COLUMNS.find(name => COLUMNS[name] === property);
  return column ?? property;
}

/** Whether a name is a column of the file. */
export function isCsvColumn(name: string): name is CsvColumn {
  return Object.hasOwn(COLUMNS, name);
}

function parseCell(column: CsvColumn, cell: string): unknown {
  if (column === 'kind' || column === 'name') return cell;
  if (column === 'open') return BOOLEANS.get(cell) ?? cell;
  return NUMBER_PATTERN.test(cell) ? Number(cell) : cell;
}
