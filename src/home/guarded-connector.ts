/**
 * Keeps every request away from a database that may not be used any more.
 *
 * The decisions where statements go are made earlier and give better answers.
 * This is the last check before a request is sent, for work that was placed
 * before the database was closed: statements that waited for a slot, several
 * round trips of one statement, state queries and new connections.
 */
import type {
  DatabaseAddress,
  StatementConnection,
  StatementConnector,
} from '../statements/connection.js';
import {TargetError} from '../targets/types.js';

/** Returns how long a database may still be used; Infinity without a limit. */
export type RemainingUse = () => number;

/**
 * Wraps a connector so that nothing is sent once the remaining time is 0. An
 * attempt to connect ends by then as well.
 *
 * @example
 * const guarded = guardConnector(connector, () => closesInMs(entry.dataCentre));
 */
export function guardConnector(
  connector: StatementConnector,
  remainingMs: RemainingUse,
): StatementConnector {
  return {
    async connect(database: DatabaseAddress, team: string, timeoutMs: number) {
      assertUsable(remainingMs);
      const withinMs = Math.min(timeoutMs, remainingMs());
      const opened = await connector.connect(database, team, withinMs);
      return new GuardedConnection(opened, remainingMs);
    },
  };
}

/** A connection that sends nothing once its database is closed. */
class GuardedConnection implements StatementConnection {
  readonly #connection: StatementConnection;
  readonly #remainingMs: RemainingUse;

  constructor(connection: StatementConnection, remainingMs: RemainingUse) {
    this.#connection = connection;
    this.#remainingMs = remainingMs;
  }

  get usable() {
    return this.#connection.usable;
  }

  get transaction() {
    return this.#connection.transaction;
  }

  async run(commands: Parameters<StatementConnection['run']>[0]) {
    assertUsable(this.#remainingMs);
    return this.#connection.run(commands);
  }

  async queryState() {
    assertUsable(this.#remainingMs);
    return this.#connection.queryState();
  }

  async stepDown(term: number) {
    assertUsable(this.#remainingMs);
    return this.#connection.stepDown(term);
  }

  close(): void {
    this.#connection.close();
  }

  onClose(listener: () => void): void {
    this.#connection.onClose(listener);
  }
}

/** @throws TargetError `notSent` if the time is over */
function assertUsable(remainingMs: RemainingUse): void {
  if (remainingMs() > 0) return;
  throw new TargetError('notSent', 'its data centre is evacuated');
}
