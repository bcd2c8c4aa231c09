/** Three-way merge of a whole edited table with the current configuration. */
import {diffTables, isInTable} from './changes.js';
import type {ConfigDocument, RowEdit} from './config-document.js';
import type {Table} from './table.js';

/** The edits to apply, or the reason why there are none. */
export type ApplyPlan =
  | {
      readonly kind: 'plan';
      readonly edits: readonly RowEdit[];
      readonly baseVersion: number;
    }
  | {readonly kind: 'refused'; readonly reason: string};

/**
 * Computes the operator's row edits: the difference between the table at the
 * base version and the wanted table. Rows that only others have changed since
 * are left unchanged.
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
