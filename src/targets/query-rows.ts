/** Runs a simple query and collects its rows. */
import {serialize} from 'pg-protocol';
import {
  FRAME_HEADER_BYTES,
  readErrorFields,
  splitFrames,
  type ErrorFields,
} from './frames.js';
import {TargetError, type TargetConnection} from './types.js';

/** A row's text values by column name; null is SQL NULL. */
export type TextRow = Readonly<Record<string, string | null>>;

const FIELD_COUNT_OFFSET = FRAME_HEADER_BYTES;
const FIRST_FIELD_OFFSET = FIELD_COUNT_OFFSET + 2;
const LENGTH_BYTES = 4;
/** Bytes that follow a column's name in RowDescription. */
const COLUMN_ATTRIBUTES_BYTES = 18;
const NULL_LENGTH = -1;

/**
 * Runs a simple query with a small result, which is held in memory.
 *
 * @throws TargetError `refused` with the SQLSTATE of an ErrorResponse
 *
 * @example
 * const [row] = await queryRows(connection, 'SELECT current_user');
 */
export async function queryRows(
  connection: TargetConnection,
  sql: string,
): Promise<readonly TextRow[]> {
  const chunks: Uint8Array[] = [];
  await connection.run(serialize.query(sql), {
    onFrames: frames => void chunks.push(frames),
  });
  return readRows(Buffer.concat(chunks));
}

/** Returns the column names of a RowDescription frame. */
export function readColumns(frame: Buffer): readonly string[] {
  const names: string[] = [];
  const count = frame.readInt16BE(FIELD_COUNT_OFFSET);
  let at = FIRST_FIELD_OFFSET;
  while (names.length < count) {
    const end = frame.indexOf(0, at);
    names.push(frame.toString('utf8', at, end));
    at = end + 1 + COLUMN_ATTRIBUTES_BYTES;
  }
  return names;
}

/** Returns the values of a DataRow frame in text format. */
export function readValues(frame: Buffer): readonly (string | null)[] {
  const values: (string | null)[] = [];
  const count = frame.readInt16BE(FIELD_COUNT_OFFSET);
  let at = FIRST_FIELD_OFFSET;
  while (values.length < count) {
    const length = frame.readInt32BE(at);
    at += LENGTH_BYTES;
    const isNull = length === NULL_LENGTH;
    values.push(isNull ? null : frame.toString('utf8', at, at + length));
    if (!isNull) at += length;
  }
  return values;
}

function readRows(frames: Uint8Array): readonly TextRow[] {
  const rows: TextRow[] = [];
  let columns: readonly string[] = [];
  let failure: ErrorFields | undefined;
  for (const {type, bytes} of splitFrames(frames)) {
    if (type === 'T') columns = readColumns(bytes);
    if (type === 'D') rows.push(toRow(columns, readValues(bytes)));
    if (type === 'E') failure = readErrorFields(bytes);
  }
  if (failure === undefined) return rows;
  throw new TargetError('refused', failure.message, failure.code);
}

function toRow(
  columns: readonly string[],
  values: readonly (string | null)[],
): TextRow {
  return Object.fromEntries(
    columns.map((column, index) => [column, values[index] ?? null]),
  );
}
