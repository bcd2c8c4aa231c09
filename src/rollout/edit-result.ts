/** Results of an edit and their description for operators. */
import {formatRowRef, type RowRef} from './table.js';

/** Another edit has changed the same row since the base version. */
export interface EditConflict {
  readonly kind: 'conflict';
  readonly row: RowRef;
  /** The version in which the other edit changed it. */
  readonly version: number;
  readonly yours: string;
  readonly theirs: string;
}

/** The result of an edit. */
export type EditResult =
  /** Stored; `repeated` if an earlier attempt had already stored it. */
  | {
      readonly kind: 'applied';
      readonly version: number;
      readonly repeated: boolean;
    }
  /** The configuration already has the wanted content. */
  | {readonly kind: 'unchanged'; readonly version: number}
  | EditConflict
  /** The change itself is not allowed. */
  | {readonly kind: 'refused'; readonly reason: string}
  /** Not applied: the store was unreachable, or other edits always came first. */
  | {readonly kind: 'unreachable'; readonly reason: string}
  /** Unknown whether the edit was applied. */
  | {
      readonly kind: 'unsettled';
      readonly editId: string;
      readonly reason: string;
    };

/**
 * Describes the result of an edit and what the operator should do next.
 *
 * @example
 * describeEditResult({kind: 'applied', version: 42, repeated: false});
 * // 'accepted as version 42'
 */
export function describeEditResult(result: EditResult): string {
  switch (result.kind) {
    case 'applied':
      return `accepted as version ${result.version}`;
    case 'unchanged':
      return `nothing to change, version ${result.version} already says so`;
    case 'conflict':
      return describeConflict(result);
    case 'refused':
      return result.reason;
    case 'unreachable':
      return `not applied: ${result.reason}; repeat the command`;
    case 'unsettled':
      return (
        `edit ${result.editId} may have been applied: ${result.reason}; look ` +
        'for it with zinnia table history and compare zinnia table get ' +
        'before you repeat it'
      );
  }
}

function describeConflict(conflict: EditConflict): string {
  const {row, yours, theirs, version} = conflict;
  const isOwn = yours === theirs;
  const remedy = isOwn ? '' : `agree with ${theirs} and `;
  return (
    `${formatRowRef(row)}: the edit of ${yours} was not applied, because ` +
    `${isOwn ? 'an earlier edit of yours' : theirs} changed the same row in ` +
    `version ${version}; read the table again with zinnia table get, ` +
    `${remedy}repeat the edit on it`
  );
}
