/** What one database consists of, shared by its connections and its HTTP side. */
import {type ClientConnection, type ConnectionHost} from './connection.js';
import {GroupMember, startAsPrimary} from './member.js';
import type {DatabaseOptions} from './options.js';
import {PeerClient} from './peer-client.js';
import {FreezeGate} from './signal.js';
import {SqlError} from './sql-error.js';
import type {SeenCredentials} from './startup.js';
import {StatementRunner, type StatementCounts} from './statement-runner.js';

/** What has happened at a database so far. */
export interface DatabaseCounts extends StatementCounts {
  /** Connections open now, control connections apart. */
  readonly connections: number;
  readonly controlConnections: number;
  readonly maxConnections: number;
  readonly refusedConnections: number;
}

/** One database without its listeners. */
export class DatabaseCore implements ConnectionHost {
  readonly options: DatabaseOptions;
  readonly gate = new FreezeGate();
  readonly member: GroupMember;
  readonly runner: StatementRunner;
  readonly peers: PeerClient;
  readonly #open = new Map<ClientConnection, 'work' | 'control'>();
  readonly #seen = new Map<string, SeenCredentials>();
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

  recordCredentials(seen: SeenCredentials): void {
    this.#seen.set(JSON.stringify(seen), seen);
  }

  seen(): readonly SeenCredentials[] {
    return [...this.#seen.values()];
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

  /** Forgets a connection that has closed. */
  leave(connection: ClientConnection): void {
    this.#open.delete(connection);
  }

  cancel(processId: number, secret: number): void {
    for (const connection of this.#open.keys()) {
      const matches = connection.processId === processId;
      if (matches && connection.secret === secret) connection.cancel();
    }
  }

  /** Leaves the open connections without answers for good. */
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
