/** The idle connections to one PostgreSQL database. */
import {serialize} from 'pg-protocol';
import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import type {TargetConnection} from '../targets/types.js';

/** A connection idle for longer is checked with a round trip before use. */
const VALIDATE_AFTER_MS = 1_000;
const VALIDATE_TIMEOUT_MS = 300;
const IGNORE_ANSWER = {onFrames: () => {}};

interface IdleConnection {
  readonly connection: TargetConnection;
  readonly since: number;
}

/** A stack of idle connections, the most recently used on top. */
export class IdleConnections {
  readonly #clock: Clock;
  readonly #idle: IdleConnection[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#idle.length;
  }

  /** Adds a connection. */
  add(connection: TargetConnection): void {
    this.#idle.push({connection, since: this.#clock.now()});
  }

  /** Takes a connection that still answers; undefined if there is none. */
  async takeIdle(): Promise<TargetConnection | undefined> {
    for (;;) {
      const idle = this.#idle.pop();
      if (idle === undefined) return undefined;
      const {connection, since} = idle;
      if (!connection.usable) continue;
      if (this.#clock.now() - since < VALIDATE_AFTER_MS) return connection;
      if (await this.#isAlive(connection)) return connection;
      // Whatever broke this connection has probably broken the others too.
      this.closeAll();
    }
  }

  /** Closes every connection. */
  closeAll(): void {
    for (const {connection} of this.#idle.splice(0)) connection.close();
  }

  /** Checks a connection, which the network may have dropped unnoticed. */
  async #isAlive(connection: TargetConnection): Promise<boolean> {
    const cancel = startTimer(this.#clock, VALIDATE_TIMEOUT_MS, () =>
      connection.close(),
    );
    try {
      await connection.run(serialize.sync(), IGNORE_ANSWER);
      return connection.usable;
    } catch {
      return false;
    } finally {
      cancel();
    }
  }
}
