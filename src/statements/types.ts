/** Protocol-independent caller commands, database commands and replies. */
import type {Position} from '../session/position.js';
import type {TransactionStatus} from '../targets/types.js';

/** A caller's prepared statement without its name. */
export interface PreparedStatement {
  readonly access: 'read' | 'write';
  /** The prepared text, opaque to the proxy; arguments follow on execution. */
  readonly shape: string;
}

/** A caller's statement, forwarded to the database unchanged. */
export interface CallerStatement {
  /** The caller's request id, forwarded to the database. */
  readonly requestId: string;
  readonly access: 'read' | 'write' | 'commit';
  /** The statement text, or only the arguments if `prepared` is set. */
  readonly text: string;
  readonly prepared?: PreparedStatement | undefined;
}

/** A command from a caller to its session. */
export type SessionCommand =
  | {readonly kind: 'run'; readonly statement: CallerStatement}
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  | {readonly kind: 'rollback'}
  | {readonly kind: 'setValue'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly shape: PreparedStatement;
    }
  | {
      readonly kind: 'execute';
      readonly requestId: string;
      readonly name: string;
      readonly args: string;
    }
  | {readonly kind: 'deallocate'; readonly name: string}
  | {readonly kind: 'invalid'; readonly message: string};

/** A command sent to a database on one connection. */
export type DatabaseCommand =
  | {
      readonly kind: 'begin';
      readonly readOnly: boolean;
      /** Fails with `lagging` unless the database's log includes this position. */
      readonly after?: Position | undefined;
    }
  | {
      readonly kind: 'run';
      readonly statement: CallerStatement;
      /** The prepared statement's name on this connection. */
      readonly preparedName?: string | undefined;
      readonly after?: Position | undefined;
    }
  | {readonly kind: 'rollback'}
  | {readonly kind: 'setValue'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly shape: PreparedStatement;
    }
  /** Drops session values and prepared statements. */
  | {readonly kind: 'reset'};

/** The reason for which a database refused or failed a command. */
export type DatabaseErrorCode =
  /** No slot was free; nothing ran. */
  | 'busy'
  /** No statement is prepared under the name; nothing ran. */
  | 'unknownName'
  /** The database's log does not include the given position; nothing ran. */
  | 'lagging'
  /** The database is not the primary; nothing ran. */
  | 'notLeader'
  /** The connection reached another database than intended. */
  | 'misrouted'
  /** The database has reached its connection limit. */
  | 'tooManyConnections'
  /** The command ran and failed. */
  | 'failed'
  /** The command timed out while it ran. */
  | 'timeout'
  /** A code unknown to this version; the command may have run. */
  | 'other';

/** A database's reply to one command. */
export type DatabaseReply =
  | {
      readonly kind: 'done';
      readonly rows: readonly string[];
      /** The database's signature of the result. */
      readonly signature: string;
      readonly transaction: TransactionStatus;
      /** The last log position visible to reads. */
      readonly position: Position | undefined;
    }
  | {
      readonly kind: 'error';
      readonly code: DatabaseErrorCode;
      readonly detail: string;
      readonly transaction: TransactionStatus;
      readonly position: Position | undefined;
    };

/** A database's own report of its role, term and log. */
export interface DatabaseState {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  /** Position of the last entry in its log. */
  readonly received: Position;
}

/** The result of a statement, returned to the caller. */
export interface StatementOutput {
  readonly rows: readonly string[];
  readonly signature: string;
  /** The error that the database returned, if any. */
  readonly error?:
    {readonly code: DatabaseErrorCode; readonly detail: string} | undefined;
}
