/** Runs one simple query and gathers its rows. */
import {serialize} from 'pg-protocol';
import {
  readErrorFields,
  splitFrames,
  type ErrorFields,
  type Frame,
} from './frames.js';
import {TargetError, type TargetConnection} from './types.js';

/** A row by its columns' names; null stands for SQL's null. */
export type TextRow = Readonly<Record<string, string | null>>;

const FIELD_COUNT_OFFSET = 5;
const FIRST_FIELD_OFFSET = 7;
/** Bytes that follow a column's name in RowDescription. */
const COLUMN_ATTRIBUTES_BYTES = 18;
const NULL_LENGTH = -1;

/**
 * Runs a query whose answer is small. An ErrorResponse rejects with a
 * `TargetError` of kind `refused` that carries the SQLSTATE.
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
  return readRows(chunks);
}

function readRows(chunks: readonly Uint8Array[]): readonly TextRow[] {
  const rows: TextRow[] = [];
  let columns: readonly string[] = [];
  let failure: ErrorFields | undefined;
  for (const frame of splitFrames(Buffer.concat(chunks))) {
    if (frame.type === 'T') columns = readColumns(frame);
    if (frame.type === 'D') rows.push(readRow(frame, columns));
    if (frame.type === 'E') failure = readErrorFields(frame.bytes);
  }
  if (failure === undefined) return rows;
  throw new TargetError('refused', failure.message, failure.code);
}

function readColumns({bytes}: Frame): readonly string[] {
  const names: string[] = [];
  const count = bytes.readInt16BE(FIELD_COUNT_OFFSET);
  let at = FIRST_FIELD_OFFSET;
  while (names.length < count) {
    const end = bytes.indexOf(0, at);
    names.push(bytes.toString('utf8', at, end));
    at = end + 1 + COLUMN_ATTRIBUTES_BYTES;
  }
  return names;
}

function readRow({bytes}: Frame, columns: readonly string[]): TextRow {
  const row: Record<string, string | null> = {};
  let at = FIRST_FIELD_OFFSET;
  for (const column of columns) {
    const length = bytes.readInt32BE(at);
    at += 4;
    if (length === NULL_LENGTH) {
      row[column] = null;
      continue;
    }
    row[column] = bytes.toString('utf8', at, at + length);
    at += length;
  }
  return row;
}
