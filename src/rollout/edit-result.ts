/** What became of an edit. */
import {formatRowRef, type RowRef} from './table.js';

/** Another edit changed the same row since the base version. */
export interface EditConflict {
  readonly kind: 'conflict';
  readonly row: RowRef;
  /** The version in which the other edit changed it. */
  readonly version: number;
  readonly yours: string;
  readonly theirs: string;
}

/** What became of an edit. */
export type EditResult =
  /** In the store; `repeated` if an earlier try had already put it there. */
  | {
      readonly kind: 'applied';
      readonly version: number;
      readonly repeated: boolean;
    }
  /** The configuration already says this. */
  | {readonly kind: 'unchanged'; readonly version: number}
  | EditConflict
  /** The change itself is not allowed. */
  | {readonly kind: 'refused'; readonly reason: string}
  /** Not applied: the store could not be reached, or the race was never won. */
  | {readonly kind: 'unreachable'; readonly reason: string}
  /** It can't be told whether the edit was applied. */
  | {
      readonly kind: 'unsettled';
      readonly editId: string;
      readonly reason: string;
    };

/**
 * Says what became of an edit and what to do next.
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
