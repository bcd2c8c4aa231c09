/** A small pool of control connections to one database. */
import {TargetError, type TargetConnection} from './types.js';

/** Opens a connection, or rejects after `timeoutMs`. */
export type OpenConnection = (timeoutMs: number) => Promise<TargetConnection>;

/**
 * Runs tasks on at most `limit` connections, in the order of their calls, and
 * opens a connection when a task needs one.
 *
 * A connection on which a task timed out is closed: otherwise a connection
 * that no longer answers would block all later tasks.
 */
export class ControlConnectionPool {
  readonly #open: OpenConnection;
  readonly #limit: number;
  readonly #idle: TargetConnection[] = [];
  readonly #busy = new Set<TargetConnection>();
  readonly #queue: (() => void)[] = [];
  #acquired = 0;

  constructor(limit: number, open: OpenConnection) {
    this.#limit = limit;
    this.#open = open;
  }

  /** Runs a task; `timeoutMs` includes the wait for a connection. */
  async run<T>(
    timeoutMs: number,
    task: (connection: TargetConnection, remainingMs: number) => Promise<T>,
  ): Promise<T> {
    const deadlineMs = performance.now() + timeoutMs;
    const remainingMs = () => Math.max(1, deadlineMs - performance.now());
    await this.#acquire(timeoutMs);
    try {
      const connection = await this.#connect(remainingMs());
      return await this.#runTask(connection, remainingMs(), task);
    } finally {
      this.#release();
    }
  }

  /** Closes all connections; running tasks reject. */
  close(): void {
    for (const connection of [...this.#idle, ...this.#busy]) connection.close();
    this.#idle.length = 0;
  }

  async #runTask<T>(
    connection: TargetConnection,
    timeoutMs: number,
    task: (connection: TargetConnection, remainingMs: number) => Promise<T>,
  ): Promise<T> {
    let expired = false;
    const timer = setTimeout(() => {
      expired = true;
      connection.close();
    }, timeoutMs);
    this.#busy.add(connection);
    try {
      return await task(connection, timeoutMs);
    } catch (err) {
      if (!expired) throw err;
      throw new TargetError(
        'lost',
        `the database did not answer within ${Math.round(timeoutMs)} ms; the connection was closed`,
      );
    } finally {
      clearTimeout(timer);
      this.#busy.delete(connection);
      if (connection.usable) this.#idle.push(connection);
    }
  }

  async #connect(timeoutMs: number): Promise<TargetConnection> {
    for (;;) {
      const connection = this.#idle.pop();
      if (connection === undefined) return await this.#open(timeoutMs);
      if (connection.usable) return connection;
    }
  }

  #acquire(timeoutMs: number): Promise<void> {
    if (this.#acquired < this.#limit) {
      this.#acquired++;
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      const grant = () => {
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(() => {
        this.#queue.splice(this.#queue.indexOf(grant), 1);
        reject(
          new TargetError(
            'notSent',
            `all ${this.#limit} connections stayed busy for ${timeoutMs} ms`,
          ),
        );
      }, timeoutMs);
      this.#queue.push(grant);
    });
  }

  #release(): void {
    const next = this.#queue.shift();
    if (next === undefined) this.#acquired--;
    else next();
  }
}
