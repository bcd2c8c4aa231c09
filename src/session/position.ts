/**
 * A position in a database group's log (log sequence number): the term of the
 * entry and its offset.
 *
 * Positions are ordered by term first. A promoted database writes an entry of
 * its new term before it accepts work, so a position of a newer term covers
 * every acknowledged write of older terms.
 */
export interface Position {
  /** The term of the entry; 0 before the first term. */
  readonly term: number;
  /** The entry's offset in the log; offsets increase within a term. */
  readonly offset: number;
}

/** The position before any write. */
export const START_POSITION: Position = {term: 0, offset: 0};

/**
 * Compares two positions; returns a negative number, zero or a positive number,
 * like a sort comparator.
 *
 * @example
 * comparePositions({term: 2, offset: 1}, {term: 1, offset: 9}) > 0;
 */
export function comparePositions(a: Position, b: Position): number {
  return a.term - b.term || a.offset - b.offset;
}

/** Whether `have` includes everything up to `wanted`. */
export function covers(have: Position, wanted: Position): boolean {
  return comparePositions(have, wanted) >= 0;
}

/** Returns the later of two positions. */
export function laterPosition(a: Position, b: Position): Position {
  return comparePositions(a, b) >= 0 ? a : b;
}

/**
 * Formats a position as `term/offset`.
 *
 * @example
 * formatPosition({term: 3, offset: 1042}) === '3/1042';
 */
export function formatPosition(position: Position): string {
  return `${position.term}/${position.offset}`;
}

/** Parses `term/offset`; undefined if the text is not a position. */
export function parsePosition(text: string): Position | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text);
  if (match === null) return undefined;
  return {term: Number(match[1]), offset: Number(match[2])};
}
