/** Decides which replicas can lead without the loss of an acknowledged commit. */
import {comparePositions, type Position} from '../session/position.js';

/** What is known of the log of a database. */
export interface KnownLog {
  readonly id: string;
  /** Whether the database may be promoted. */
  readonly mayLead: boolean;
  /** The log ends here or later; undefined if nothing is known of it. */
  readonly atLeast: Position | undefined;
  /** Whether the log ends exactly there. */
  readonly isExact: boolean;
}

/**
 * Returns the databases whose log has every acknowledged commit, the most
 * advanced first.
 *
 * The primary acknowledges a commit once `syncReplicas` replicas have received
 * it, and logs of one line are prefixes of one another. So a commit that a
 * database lacks was received by that many others, each of which has more than
 * it. Where fewer others may have more, there is no such commit. A database that
 * didn't report its position may have anything above what its answers showed.
 *
 * @example
 * findSafeLeaders([{id: 'b', mayLead: true, atLeast: end, isExact: true}], 1);
 */
export function findSafeLeaders(
  replicas: readonly KnownLog[],
  syncReplicas: number,
): readonly string[] {
  return replicas
    .flatMap(({id, mayLead, atLeast}) =>
      mayLead && atLeast !== undefined ? [{id, atLeast}] : [],
    )
    .filter(({id, atLeast}) => {
      const others = replicas.filter(other => other.id !== id);
      const ahead = others.filter(other => mayExceed(other, atLeast));
      return ahead.length < syncReplicas;
    })
    .toSorted((a, b) => comparePositions(b.atLeast, a.atLeast))
    .map(({id}) => id);
}

function mayExceed({atLeast, isExact}: KnownLog, position: Position): boolean {
  if (atLeast === undefined || !isExact) return true;
  return comparePositions(atLeast, position) > 0;
}
