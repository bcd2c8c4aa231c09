/**
 * A place in the history of the platform's store.
 *
 * The store may be restored from a copy that is some seconds old. It then loses
 * the latest changes, gives their revisions out again and raises its era.
 */
export interface StorePosition {
  /** Number of restores; 0 for a store that doesn't count them. */
  readonly era: number;
  /** Revision of a change; rises within an era. */
  readonly revision: number;
}

/** The position before every change. */
export const HISTORY_START: StorePosition = {era: 0, revision: 0};

/** Sort comparator: the earlier position first. */
export function compareStorePositions(
  a: StorePosition,
  b: StorePosition,
): number {
  return a.era - b.era || a.revision - b.revision;
}
