/**
 * Chooses the node that serves a read from a replica in the caller's data
 * centre.
 *
 * Load pattern: most statements are reads that any fresh replica may serve,
 * their answers are most of the bytes, and callers, nodes and replicas are
 * spread over several data centres. If the group's home served all reads, most
 * answers would cross between data centres, many of them twice.
 *
 * There is one reader per group and data centre, so that one node holds the
 * replica's few connections, as the home does for the group.
 */
import type {Consistency} from '../catalog/types.js';

/** A node that may serve the read. */
export interface ReaderCandidate {
  readonly id: string;
  readonly dataCentre: string;
}

/** Input of {@link chooseNearbyReader}. */
export interface NearbyReaderInput<Node extends ReaderCandidate> {
  /** Whether it is a read or begins a read-only transaction. */
  readonly isRead: boolean;
  readonly consistency: Consistency;
  /** The data centre of the node that the caller is connected to. */
  readonly dataCentre: string;
  /** The group's home; undefined if it has none. */
  readonly home: Node | undefined;
  /** The nodes, in order of preference as readers for this data centre. */
  readonly readers: readonly Node[];
  /** Whether one of the group's replicas is in this data centre. */
  readonly hasReplica: boolean;
}

/**
 * Returns the reader to try before the group's home; undefined if the home is
 * as near, the data centre has no replica, or only the primary may serve the
 * statement.
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
