/**
 * Decides whether a database's announcement is newer than what is known of it.
 *
 * The store's positions don't suffice: after a restore from a copy it may repeat
 * an announcement that has been superseded.
 */
import type {StorePosition} from '../infra/store-position.js';
import type {AnnouncedDatabase} from './types.js';

/** Why an announcement is not used. */
export type StaleReason =
  /** The same process has announced something later. */
  | 'olderReport'
  /** The announcement is of an earlier process under the same id. */
  | 'earlierProcess'
  /** The same process has announced that it drains, which is final. */
  | 'drainIsFinal';

/** An announcement with the position at which the store reported it. */
export interface PlacedAnnouncement {
  readonly entry: AnnouncedDatabase;
  readonly at: StorePosition;
}

/** The last announcement of a database that was used. */
export interface LastAnnouncement extends PlacedAnnouncement {
  /** Whether the store has removed the entry since. */
  readonly isGone: boolean;
  /** A later announcement that was not used, if it was the last one. */
  readonly refused?: AnnouncedDatabase | undefined;
}

/**
 * Returns why `offered` does not supersede the last announcement of the same
 * database; undefined if it does.
 *
 * @example
 * const reason = findStaleReason(last, {entry, at});
 * if (reason !== undefined) keep(last);
 */
export function findStaleReason(
  last: LastAnnouncement,
  {entry, at}: PlacedAnnouncement,
): StaleReason | undefined {
  const known = last.entry;
  const mayBeFromCopy = at.era > last.at.era;
  if (entry.startedAt !== known.startedAt) {
    // Within an era the store's order decides: a start time may be set back
    // with the clock. A copy may hold the entry of an earlier process.
    const isEarlier = (entry.startedAt ?? 0) < (known.startedAt ?? 0);
    if (!mayBeFromCopy || !isEarlier) return undefined;
    return isContinued(last.refused, entry) ? undefined : 'earlierProcess';
  }
  const isRepeated = entry.sequence === known.sequence;
  if (isRepeated && mayBeFromCopy && last.isGone) return 'olderReport';
  if (entry.sequence < known.sequence) {
    // Another writer may have set the sequence too high. A report that a store
    // carries out late is followed by a later one than is known, not by its own.
    const isResumed = !mayBeFromCopy && isContinued(last.refused, entry);
    if (!isResumed) return 'olderReport';
  }
  if (known.isDraining && !entry.isDraining) return 'drainIsFinal';
  return undefined;
}

/** Whether the sender of a refused announcement goes on from its sequence. */
function isContinued(
  refused: AnnouncedDatabase | undefined,
  {startedAt, sequence}: AnnouncedDatabase,
): boolean {
  const isSameProcess = refused?.startedAt === startedAt;
  return isSameProcess && sequence > (refused?.sequence ?? Infinity);
}
