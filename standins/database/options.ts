/** Settings of one stand-in database. */

/** Another database of the same group. */
export interface PeerAddress {
  readonly id: string;
  readonly host: string;
  /** The peer's admin port, which also serves replication. */
  readonly adminPort: number;
}

/** Settings of one database. */
export interface DatabaseOptions {
  readonly id: string;
  readonly host: string;
  /** 0 selects a free port; so does 0 for `adminPort`. */
  readonly port: number;
  readonly adminPort: number;
  readonly peers: readonly PeerAddress[];
  /** True if the database starts as the primary of term 1. */
  readonly primary: boolean;
  /** Maximum number of statements that run concurrently. */
  readonly slots: number;
  /** Maximum number of connections, control connections not included. */
  readonly maxConnections: number;
  /** Maximum number of connections to the database `platform`. */
  readonly maxControlConnections: number;
  /** Delay before a new connection is ready. */
  readonly connectCostMs: number;
  /**
   * Replica lag: time from the commit of an entry until a replica applies it.
   */
  readonly lagMs: number;
  /** Replication delay before a replica stores the entries it received. */
  readonly linkMs: number;
  /** Time that each statement occupies its slot. */
  readonly serviceMs: number;
  readonly nodeUser: string;
  readonly nodePassword: string;
}

/** Defaults for settings that are not given. */
export const DEFAULT_DATABASE_OPTIONS: DatabaseOptions = {
  id: 'db1',
  host: '127.0.0.1',
  port: 0,
  adminPort: 0,
  peers: [],
  primary: false,
  slots: 2,
  maxConnections: 16,
  maxControlConnections: 8,
  connectCostMs: 12,
  lagMs: 10,
  linkMs: 1,
  serviceMs: 1,
  nodeUser: 'zinnia',
  nodePassword: 'zinnia',
};

/**
 * Parses a list of peers of the form `id@host:adminPort,...`.
 *
 * @example
 * parsePeers('db2@127.0.0.1:7102,db3@127.0.0.1:7103');
 */
export function parsePeers(text: string): readonly PeerAddress[] {
  return text
    .split(',')
    .filter(part => part !== '')
    .map(part => {
      const match = /^([^@]+)@([^:]+):(\d+)$/.exec(part.trim());
      if (match === null) {
        throw new Error(`peer "${part}" is not of the form id@host:port`);
      }
      return {
        id: match[1] ?? '',
        host: match[2] ?? '',
        adminPort: Number(match[3]),
      };
    });
}
