/** Validation errors of the operators' table. */

/** One validation error: where it is, what is wrong and how to fix it. */
export interface TableFault {
  /** Line of the file, from 1; absent if the row wasn't read from a file. */
  readonly line?: number;
  /** The row, such as `team assessors`. */
  readonly row: string;
  readonly column: string;
  readonly value: string;
  readonly problem: string;
  readonly remedy: string;
}

/**
 * Formats a fault as one line of text.
 *
 * @example
 * formatFault(fault);
 * // 'line 3, team lab, column rate: "x" is not a number; give ...'
 */
export function formatFault(fault: TableFault): string {
  const line = fault.line === undefined ? '' : `line ${fault.line}, `;
  const location = `${line}${fault.row}, column ${fault.column}`;
  return `${location}: ${JSON.stringify(fault.value)} ${fault.problem}; ${fault.remedy}`;
}

/** The table is invalid; lists every fault found in it. */
export class TableError extends Error {
  constructor(readonly faults: readonly TableFault[]) {
    super(faults.map(formatFault).join('\n'));
    this.name = 'TableError';
  }
}
