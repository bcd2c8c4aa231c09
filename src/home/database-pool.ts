/** A pool of connections to one PostgreSQL database, shared by all teams. */
import type {TargetConnection} from '../targets/types.js';
import {IdleConnections} from './idle-connections.js';
import {
  ConnectionPool,
  type ConnectionSource,
  type ConnectionPoolOptions,
  type SlotRequest,
} from './connection-pool.js';

export type {Slot, SlotRequest, SlotResult} from './connection-pool.js';

/** Options of a database pool. */
export interface DatabasePoolOptions extends Omit<
  ConnectionPoolOptions<TargetConnection, SlotRequest>,
  'source'
> {
  readonly connect: () => Promise<TargetConnection>;
}

/**
 * A pool whose connections serve any team and session.
 *
 * @example
 * const pool = new DatabasePool({clock, spec, connect, connectionLimit, ...});
 * await pool.warmUp();
 */
export class DatabasePool extends ConnectionPool<
  TargetConnection,
  SlotRequest
> {
  readonly #connect: () => Promise<TargetConnection>;

  constructor(options: DatabasePoolOptions) {
    const {connect} = options;
    super({...options, source: new SharedConnections(options)});
    this.#connect = connect;
  }

  /** Opens connections ahead of their use; ignores failures. */
  async warmUp(): Promise<void> {
    const missing = this.concurrency - this.connections;
    const opened = await Promise.allSettled(
      Array.from({length: Math.max(0, missing)}, this.#connect),
    );
    for (const result of opened) {
      if (result.status === 'fulfilled') this.returnConnection(result.value);
    }
  }
}

/** Serves any request with any idle connection. */
class SharedConnections
  extends IdleConnections
  implements ConnectionSource<TargetConnection, SlotRequest>
{
  readonly #connect: () => Promise<TargetConnection>;

  constructor({clock, connect}: DatabasePoolOptions) {
    super(clock);
    this.#connect = connect;
  }

  async take(): Promise<TargetConnection> {
    return (await this.takeIdle()) ?? (await this.#connect());
  }
}
