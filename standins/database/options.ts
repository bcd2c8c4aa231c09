/** Settings of one database of the stand-in. */

/** Another database of the same group. */
export interface PeerAddress {
  readonly id: string;
  readonly host: string;
  /** The peer's admin port, over which replication runs. */
  readonly adminPort: number;
}

/** Settings of one database. */
export interface DatabaseOptions {
  readonly id: string;
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
  readonly adminPort: number;
  readonly peers: readonly PeerAddress[];
  /** Whether it starts as the primary of term 1. */
  readonly primary: boolean;
  /** Statements it executes at the same time. */
  readonly slots: number;
  readonly maxConnections: number;
  /** Connections to the database `platform`, accepted on top. */
  readonly maxControlConnections: number;
  readonly connectCostMs: number;
  /** How long after its commit a replica shows an entry to reads. */
  readonly lagMs: number;
  /** How long an entry takes to become durable on a replica. */
  readonly linkMs: number;
  /** How long each statement occupies a slot. */
  readonly serviceMs: number;
  readonly nodeUser: string;
  readonly nodePassword: string;
}

/** The settings used where a caller gives none. */
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
 * Reads `id@host:adminPort,...`.
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
