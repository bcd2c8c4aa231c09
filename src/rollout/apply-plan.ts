/** Merges a whole table, edited on an older version, with the current one. */
import {diffTables, isInTable} from './changes.js';
import type {ConfigDocument, RowEdit} from './config-document.js';
import type {Table} from './table.js';

/** The edits that a whole table stands for. */
export type ApplyPlan =
  | {
      readonly kind: 'plan';
      readonly edits: readonly RowEdit[];
      readonly baseVersion: number;
    }
  | {readonly kind: 'refused'; readonly reason: string};

/**
 * Finds the rows that the operator changed since the base version: the
 * difference between the table at that version and the wanted one. Rows that
 * only others have changed since are left alone.
 *
 * @example
 * const plan = planApply(document, parseTableCsv(text), 41);
 */
export function planApply(
  document: ConfigDocument,
  wanted: Table,
  baseVersion: number = document.version,
): ApplyPlan {
  if (baseVersion > document.version) {
    const reason =
      `base version ${baseVersion} does not exist, the latest is ` +
      `${document.version}; give the version that zinnia table get printed`;
    return {kind: 'refused', reason};
  }
  const base = document.tableAt(baseVersion);
  if (base === undefined) {
    const reason =
      `base version ${baseVersion} is too old to merge with version ` +
      `${document.version}; read the table again and repeat your changes in it`;
    return {kind: 'refused', reason};
  }
  const edits = diffTables(base, wanted).filter(
    edit => !isInTable(document.table, edit),
  );
  return {kind: 'plan', edits, baseVersion};
}
