/** Reads and writes the operators' table as CSV. */
import {CsvError, parse} from 'csv-parse/sync';
import {MAX_DOCUMENT_BYTES, encodeDocument} from './config-codec.js';
import {ConfigDocument} from './config-document.js';
import {TableError, type TableFault} from './faults.js';
import {
  CSV_COLUMNS,
  formatCells,
  isCsvColumn,
  parseCells,
  csvColumnOf,
} from './table-cells.js';
import {
  createTable,
  listRows,
  type RowInput,
  type Table,
  type TableRow,
} from './table.js';

/** Maximum size of a file. */
export const MAX_FILE_BYTES = 1024 * 1024;

interface CsvRecord {
  readonly info: {readonly lines: number};
  readonly record: readonly string[];
}

/**
 * Parses a table, or throws a {@link TableError} that lists every fault with
 * its line and column.
 *
 * @example
 * const table = parseTableCsv(readFileSync('table.csv', 'utf8'));
 */
export function parseTableCsv(text: string): Table {
  const bytes = Buffer.byteLength(text);
  if (bytes > MAX_FILE_BYTES) {
    throw createFileError(
      `${bytes} bytes`,
      `is over the limit of ${MAX_FILE_BYTES} bytes`,
      'remove rows that are no longer used',
    );
  }
  const [header, ...records] = readRecords(text);
  checkHeader(header?.record ?? []);
  const table = parseRecords(header?.record ?? [], records);
  checkDocumentSize(table);
  return table;
}

/**
 * Formats a table; {@link parseTableCsv} parses the result to the same table.
 *
 * @example
 * formatTableCsv(document.table);
 * // 'kind,name,old,new,...\ngroup,claims,100,0,...\n'
 */
export function formatTableCsv(table: Table): string {
  const lines = listRows(table).map(row => formatRecord(row).join(','));
  return [CSV_COLUMNS.join(','), ...lines, ''].join('\n');
}

/** Throws if a document with only this table would exceed the store's limit. */
function checkDocumentSize(table: Table): void {
  const edits = listRows(table).map(row => ({kind: 'put', row}) as const);
  const text = encodeDocument(ConfigDocument.EMPTY.withRows(edits));
  const bytes = Buffer.byteLength(text);
  if (bytes <= MAX_DOCUMENT_BYTES) return;
  throw createFileError(
    `${bytes} bytes`,
    `is what the table takes in the store, over its limit of ${MAX_DOCUMENT_BYTES} bytes`,
    'remove rows that are no longer used',
  );
}

function formatRecord(row: TableRow): readonly string[] {
  const cells = formatCells(row);
  return CSV_COLUMNS.map(column => cells[column] ?? '');
}

function readRecords(text: string): readonly CsvRecord[] {
  try {
    return parse(text, {
      bom: true,
      info: true,
      relax_column_count: true,
      skip_empty_lines: true,
      trim: true,
    }) as unknown as readonly CsvRecord[];
  } catch (err) {
    if (!(err instanceof CsvError)) throw err;
    throw createFileError(
      err.message,
      'is not a CSV file',
      'save the table as comma-separated values',
    );
  }
}

function checkHeader(header: readonly string[]): void {
  const unknown = header.filter(name => !isCsvColumn(name));
  const missing = CSV_COLUMNS.filter(name => !header.includes(name));
  const repeated = header.filter((name, at) => header.indexOf(name) !== at);
  const remedy = `let the first line be ${CSV_COLUMNS.join(',')}`;
  const faults = [
    ...unknown.map(name => createHeaderFault(name, 'is no column', remedy)),
    ...missing.map(name => createHeaderFault(name, 'is missing', remedy)),
    ...repeated.map(name => createHeaderFault(name, 'stands twice', remedy)),
  ];
  if (faults.length > 0) throw new TableError(faults);
}

function parseRecords(
  header: readonly string[],
  records: readonly CsvRecord[],
): Table {
  const faults: TableFault[] = [];
  const inputs: RowInput[] = [];
  for (const {info, record} of records) {
    if (record.every(cell => cell === '')) continue;
    if (record.length !== header.length) {
      faults.push(createLengthFault(info.lines, record, header.length));
      continue;
    }
    const cells = Object.fromEntries(
      header.map((column, index) => [column, record[index] ?? '']),
    );
    inputs.push({cells: parseCells(cells), line: info.lines});
  }
  return createTableWithFaults(inputs, faults);
}

/** Creates the table, or throws faults of the rows and of the file's format. */
function createTableWithFaults(
  inputs: readonly RowInput[],
  formatFaults: readonly TableFault[],
): Table {
  try {
    const table = createTable(inputs);
    if (formatFaults.length === 0) return table;
    throw new TableError([]);
  } catch (err) {
    if (!(err instanceof TableError)) throw err;
    const rowFaults = err.faults.map(fault => ({
      ...fault,
      column: csvColumnOf(fault.column),
    }));
    const faults = [...formatFaults, ...rowFaults];
    throw new TableError(faults.sort((a, b) => lineOf(a) - lineOf(b)));
  }
}

function lineOf(fault: TableFault): number {
  return fault.line ?? 0;
}

function createHeaderFault(
  column: string,
  problem: string,
  remedy: string,
): TableFault {
  return {line: 1, row: 'header', column, value: column, problem, remedy};
}

function createLengthFault(
  line: number,
  record: readonly string[],
  expected: number,
): TableFault {
  return {
    line,
    row: `${record[0] ?? ''} ${record[1] ?? ''}`,
    column: CSV_COLUMNS.at(-1) ?? '',
    value: record.join(','),
    problem: `has ${record.length} cells, not ${expected}`,
    remedy: 'give one cell for each column; leave a cell blank for its default',
  };
}

function createFileError(
  value: string,
  problem: string,
  remedy: string,
): TableError {
  return new TableError([{row: 'file', column: 'all', value, problem, remedy}]);
}
