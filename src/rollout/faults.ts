/** What is wrong with a cell or a row of the operators' table. */

/** One fault, with enough to find and mend it. */
export interface TableFault {
  /** Line of the file, from 1; absent for a row that came from no file. */
  readonly line?: number;
  /** The row, such as `team assessors`. */
  readonly row: string;
  readonly column: string;
  readonly value: string;
  readonly problem: string;
  readonly remedy: string;
}

/**
 * Writes one fault as a line of text.
 *
 * @example
 * formatFault(fault);
 * // 'line 3, team lab, column rate: "x" is not a number; give ...'
 */
export function formatFault(fault: TableFault): string {
  const line = fault.line === undefined ? '' : `line ${fault.line}, `;
  const place = `${line}${fault.row}, column ${fault.column}`;
  return `${place}: ${JSON.stringify(fault.value)} ${fault.problem}; ${fault.remedy}`;
}

/** A table that was refused, with every fault found in it. */
export class TableError extends Error {
  constructor(readonly faults: readonly TableFault[]) {
    super(faults.map(formatFault).join('\n'));
    this.name = 'TableError';
  }
}
