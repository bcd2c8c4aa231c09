/** State of one database, shared by its connections and its admin server. */
import {type ClientConnection, type ConnectionHost} from './connection.js';
import {GroupMember, startAsPrimary} from './member.js';
import type {DatabaseOptions} from './options.js';
import {PeerClient} from './peer-client.js';
import {FreezeGate} from './signal.js';
import {SqlError} from './sql-error.js';
import type {SeenCredentials} from './startup.js';
import {StatementRunner, type StatementCounts} from './statement-runner.js';

/** Connection and statement counts of a database since its start. */
export interface DatabaseCounts extends StatementCounts {
  /** Open connections, control connections not included. */
  readonly connections: number;
  readonly controlConnections: number;
  /** Highest number of concurrent connections so far. */
  readonly maxConnections: number;
  readonly refusedConnections: number;
}

/** One database without its network listeners. */
export class DatabaseCore implements ConnectionHost {
  readonly options: DatabaseOptions;
  readonly gate = new FreezeGate();
  readonly member: GroupMember;
  readonly runner: StatementRunner;
  readonly peers: PeerClient;
  readonly #open = new Map<ClientConnection, 'work' | 'control'>();
  readonly #seenCredentials = new Map<string, SeenCredentials>();
  #maxConnections = 0;
  #refusedConnections = 0;

  constructor(options: DatabaseOptions) {
    this.options = options;
    this.member = new GroupMember(options.lagMs, this.gate);
    this.runner = new StatementRunner(
      options.slots,
      options.serviceMs,
      this.gate,
    );
    this.peers = new PeerClient(options.id);
    if (options.primary) startAsPrimary(this.member);
  }

  recordCredentials(credentials: SeenCredentials): void {
    this.#seenCredentials.set(JSON.stringify(credentials), credentials);
  }

  /** Returns the distinct credentials that clients have presented. */
  seenCredentials(): readonly SeenCredentials[] {
    return [...this.#seenCredentials.values()];
  }

  admit(connection: ClientConnection, control: boolean): void {
    const {maxConnections, maxControlConnections} = this.options;
    const kind = control ? 'control' : 'work';
    const limit = control ? maxControlConnections : maxConnections;
    const open = this.#count(kind);
    if (open >= limit) {
      this.#refusedConnections++;
      throw new SqlError('53300', 'sorry, too many clients already', 'FATAL');
    }
    this.#open.set(connection, kind);
    if (!control) {
      this.#maxConnections = Math.max(this.#maxConnections, open + 1);
    }
  }

  /** Removes a closed connection from the count. */
  removeConnection(connection: ClientConnection): void {
    this.#open.delete(connection);
  }

  cancel(processId: number, secret: number): void {
    for (const connection of this.#open.keys()) {
      const matches = connection.processId === processId;
      if (matches && connection.secret === secret) connection.cancel();
    }
  }

  /** Stops all answers on the connections that are open now. */
  silenceConnections(): void {
    for (const connection of this.#open.keys()) connection.silence();
  }

  counts(): DatabaseCounts {
    return {
      ...this.runner.counts,
      connections: this.#count('work'),
      controlConnections: this.#count('control'),
      maxConnections: this.#maxConnections,
      refusedConnections: this.#refusedConnections,
    };
  }

  #count(wanted: 'work' | 'control'): number {
    return [...this.#open.values()].filter(kind => kind === wanted).length;
  }
}
