/** The port to one database connection. */
import type {Position} from '../session/position.js';

/** How a target call failed: `notSent` is known not to have reached it. */
export type TargetFailureKind = 'notSent' | 'lost' | 'refused';

/** A failed call to a database. */
export class TargetError extends Error {
  constructor(
    readonly kind: TargetFailureKind,
    message: string,
    /** The database's own SQLSTATE where it sent one. */
    readonly code?: string,
  ) {
    super(message);
    this.name = 'TargetError';
  }
}

/** Transaction status as ReadyForQuery reports it. */
export type TransactionStatus = 'idle' | 'open' | 'failed';

/** How a batch ended. */
export interface BatchEnd {
  readonly transaction: TransactionStatus;
  /** The log position that the database reported with this batch, if any. */
  readonly position: Position | undefined;
  /** Whether the batch was answered by an ErrorResponse. */
  readonly failed: boolean;
}

/** Observes an answer as it arrives. */
export interface AnswerObserver {
  /**
   * Called once before the first frame of the answer, with the position at
   * which the database runs the batch; returning false abandons the answer.
   */
  onStart?(position: Position | undefined): boolean;
  /** Called with whole frames, in order; ReadyForQuery is not passed on. */
  onFrames(frames: Uint8Array): void | Promise<void>;
}

/** One connection to a database, used for one batch at a time. */
export interface TargetConnection {
  /** False once closed or once an answer was abandoned. */
  readonly usable: boolean;
  readonly transaction: TransactionStatus;
  /**
   * Sends a batch of frontend frames that ends in Sync or is one Query, and
   * streams the answer up to ReadyForQuery.
   */
  run(frames: Uint8Array, observer: AnswerObserver): Promise<BatchEnd>;
  /** Asks the database to stop what this connection runs. */
  cancel(): Promise<void>;
  close(): void;
}
