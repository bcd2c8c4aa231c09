/** Stand-in for a replicated database that speaks the PostgreSQL protocol. */
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {createAdminServer} from './admin-server.js';
import {ClientConnection} from './connection.js';
import {DatabaseCore} from './core.js';
import type {GroupMember} from './member.js';
import {
  DEFAULT_DATABASE_OPTIONS,
  type DatabaseOptions,
  type PeerAddress,
} from './options.js';
import {ReplicationFollower} from './replication-follower.js';

export {DEFAULT_DATABASE_OPTIONS} from './options.js';
export type {DatabaseOptions, PeerAddress} from './options.js';

/** A running database. */
export interface Database {
  readonly id: string;
  readonly port: number;
  readonly adminPort: number;
  readonly member: GroupMember;
  /** Starts replication with these peers, if the options named none. */
  follow(peers: readonly PeerAddress[]): void;
  /**
   * Closes every connection and discards all data, as killing a process does.
   */
  close(): Promise<void>;
}

/**
 * Starts a database on the ports of its options, or on free ports.
 *
 * @example
 * const database = await createDatabase({id: 'db1', primary: true});
 */
export async function createDatabase(
  overrides: Partial<DatabaseOptions> = {},
): Promise<Database> {
  const options = {...DEFAULT_DATABASE_OPTIONS, ...overrides};
  const core = new DatabaseCore(options);
  const sockets = new Set<net.Socket>();
  const server = createConnectionServer(core, sockets);
  const admin = createAdminServer(core);
  const follower = new ReplicationFollower(
    core.member,
    core.peers,
    core.gate,
    options.linkMs,
  );
  const port = await listen(server, options.host, options.port);
  const adminPort = await listen(admin, options.host, options.adminPort);
  if (options.peers.length > 0) follower.start(options.peers);
  return {
    id: options.id,
    port,
    adminPort,
    member: core.member,
    follow: peers => follower.start(peers),
    close: async () => {
      follower.stop();
      core.peers.close();
      core.member.close();
      core.gate.release();
      for (const socket of sockets) socket.destroy();
      admin.closeAllConnections();
      await Promise.all([closeServer(server), closeServer(admin)]);
    },
  };
}

/**
 * Starts a group of databases in this process; the first is the primary.
 *
 * @example
 * const [primary, replica] = await createDatabaseGroup(2, {lagMs: 20});
 */
export async function createDatabaseGroup(
  size: number,
  overrides: Partial<DatabaseOptions> = {},
): Promise<readonly Database[]> {
  const databases: Database[] = [];
  for (let index = 0; index < size; index++) {
    const id = `${overrides.id ?? 'db'}${index + 1}`;
    databases.push(
      await createDatabase({...overrides, id, primary: index === 0}),
    );
  }
  for (const database of databases) {
    const others = databases.filter(other => other !== database);
    database.follow(
      others.map(({id, adminPort}) => ({id, host: '127.0.0.1', adminPort})),
    );
  }
  return databases;
}

function createConnectionServer(
  core: DatabaseCore,
  sockets: Set<net.Socket>,
): net.Server {
  let lastProcessId = 0;
  return net.createServer({noDelay: true}, socket => {
    const connection = new ClientConnection(core, socket, ++lastProcessId);
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => {
      sockets.delete(socket);
      core.removeConnection(connection);
    });
    void connection.serve();
  });
}

function listen(server: net.Server, host: string, port: number) {
  return new Promise<number>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

function closeServer(server: net.Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
