/**
 * Chooses the node that serves a read from a replica in the caller's data
 * centre.
 *
 * Load pattern: most statements are reads that any fresh replica may serve,
 * their answers are the bulk of the bytes, and callers, nodes and replicas lie
 * in several data centres. Where one home served them all, most answers would
 * cross between data centres, many of them twice.
 *
 * One reader a group and data centre keeps the replica's few connections in
 * one place, as the home does for the group.
 */
import type {Consistency} from '../catalog/types.js';

/** A node that may be a reader. */
export interface ReaderCandidate {
  readonly id: string;
  readonly dataCentre: string;
}

/** What the choice depends on. */
export interface NearbyReaderInput<Node extends ReaderCandidate> {
  /** Whether the statement only reads: on its own, or opening a transaction. */
  readonly isRead: boolean;
  readonly consistency: Consistency;
  /** The data centre of the node that the caller is connected to. */
  readonly dataCentre: string;
  /** The group's home; undefined while there is none. */
  readonly home: Node | undefined;
  /** The nodes in order of preference as readers of this data centre. */
  readonly readers: readonly Node[];
  /** Whether one of the group's replicas is in this data centre. */
  readonly hasReplica: boolean;
}

/**
 * The reader to ask before the group's home; undefined where the home is as
 * near, or where only the primary may serve.
 *
 * @example
 * const reader = chooseNearbyReader({isRead, consistency, dataCentre, ...});
 * const first = reader ?? home;
 */
export function chooseNearbyReader<Node extends ReaderCandidate>(
  input: NearbyReaderInput<Node>,
): Node | undefined {
  const {isRead, consistency, dataCentre, home, hasReplica} = input;
  if (!isRead || consistency === 'primary' || !hasReplica) return undefined;
  if (home === undefined || home.dataCentre === dataCentre) return undefined;
  const [reader] = input.readers;
  return reader?.dataCentre === dataCentre ? reader : undefined;
}
