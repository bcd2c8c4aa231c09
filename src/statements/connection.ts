/** Interfaces to open and use database connections, whatever the protocol. */
import type {TransactionStatus} from '../targets/types.js';
import type {DatabaseCommand, DatabaseReply, DatabaseState} from './types.js';

/** A database connection of one team, used for one task at a time. */
export interface StatementConnection {
  /** False once the connection is closed. */
  readonly usable: boolean;
  readonly transaction: TransactionStatus;
  /**
   * Sends all commands at once (pipelined); resolves to the replies in order.
   *
   * @throws TargetError `notSent` or `lost`
   */
  run(commands: readonly DatabaseCommand[]): Promise<readonly DatabaseReply[]>;
  /**
   * Requests the database's state; undefined if it has no free slot for that.
   *
   * @throws TargetError `notSent` or `lost`
   */
  queryState(): Promise<DatabaseState | undefined>;
  /**
   * Makes the database a replica if it leads a lower term; returns its state
   * after that, undefined if it has no free slot for that.
   *
   * @throws TargetError `notSent` or `lost`
   */
  stepDown(term: number): Promise<DatabaseState | undefined>;
  close(): void;
  /** Calls `listener` once, when the connection is closed. */
  onClose(listener: () => void): void;
}

/** A database's network address and the identity expected there. */
export interface DatabaseAddress {
  readonly id: string;
  readonly group: string;
  readonly host: string;
  readonly port: number;
}

/** Opens database connections. */
export interface StatementConnector {
  /**
   * Opens a connection for `team` to the given database.
   *
   * @throws TargetError `notSent`, or `refused` with the database's code
   */
  connect(
    database: DatabaseAddress,
    team: string,
    timeoutMs: number,
  ): Promise<StatementConnection>;
}
