/** Interface of a database connection that uses the PostgreSQL protocol. */
import type {Position} from '../session/position.js';

/**
 * `notSent`: the call did not reach the database; `lost`: it may have run and
 * its outcome is unknown; `refused`: the database returned an error.
 */
export type TargetFailureKind = 'notSent' | 'lost' | 'refused';

/** A failed call to a database. */
export class TargetError extends Error {
  constructor(
    readonly kind: TargetFailureKind,
    message: string,
    /** The error code that the database sent, if any; in PostgreSQL an SQLSTATE. */
    readonly code?: string,
  ) {
    super(message);
    this.name = 'TargetError';
  }
}

/** Transaction status of a session, as in ReadyForQuery. */
export type TransactionStatus = 'idle' | 'open' | 'failed';

/** The outcome of a batch, known at its ReadyForQuery. */
export interface BatchOutcome {
  readonly transaction: TransactionStatus;
  /** The log position that the database reported with the answer, if any. */
  readonly position: Position | undefined;
  /** True if the answer included an ErrorResponse. */
  readonly failed: boolean;
}

/** Receives an answer while it arrives. */
export interface AnswerObserver {
  /**
   * Called once before the first frame, with the log position at which the
   * database runs the batch. Return false to abandon the answer.
   */
  onStart?(position: Position | undefined): boolean;
  /** Called with whole frames in order, without ReadyForQuery. */
  onFrames(frames: Uint8Array): void | Promise<void>;
}

/** A connection to a database that runs one batch at a time. */
export interface TargetConnection {
  /** False after the connection was closed, also by an abandoned answer. */
  readonly usable: boolean;
  readonly transaction: TransactionStatus;
  /**
   * Sends frontend frames, either one Query or a batch that ends with Sync, and
   * streams the answer to the observer until ReadyForQuery.
   */
  run(frames: Uint8Array, observer: AnswerObserver): Promise<BatchOutcome>;
  /** Sends a CancelRequest for the batch that this connection runs. */
  cancel(): Promise<void>;
  close(): void;
}
