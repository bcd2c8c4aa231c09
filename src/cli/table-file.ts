/** Reads the table from a CSV file. */
import {readFile, stat} from 'node:fs/promises';
import {MAX_FILE_BYTES, parseTableCsv} from '../rollout/table-csv.js';
import type {Table} from '../rollout/table.js';
import {CommandError} from './context.js';

/** Reads and parses a table file; errors say how to fix the input. */
export async function readTableFile(path: string): Promise<Table> {
  try {
    const {size} = await stat(path);
    if (size > MAX_FILE_BYTES) throw createSizeError(path, size);
    return parseTableCsv(await readFile(path, 'utf8'));
  } catch (err) {
    if (!isFileError(err)) throw err;
    throw new CommandError(`${err.message}; give the path of a CSV file`);
  }
}

function createSizeError(path: string, size: number): CommandError {
  return new CommandError(
    `${path} has ${size} bytes, over the limit of ${MAX_FILE_BYTES}; remove rows that are no longer used`,
  );
}

function isFileError(err: unknown): err is NodeJS.ErrnoException {
  return err instanceof Error && 'syscall' in err;
}
