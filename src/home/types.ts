/** Requests from entry nodes to a group's home, and their results. */
import type {DatabaseLoad} from '../load/types.js';
import type {Position} from '../session/position.js';
import type {TransactionStatus} from '../targets/types.js';
import {notRun, type NotRun, type Verdict} from '../verdict/verdict.js';

/**
 * Rank in the home's queues: 0 is the most urgent. On routes it is the rank of
 * the route's priority among those configured.
 */
export type Priority = number;

/** Fields of every request to a group's home, of any client protocol. */
export interface HomeRequest {
  /** The caller's session; unique across the fleet. */
  readonly sessionId: string;
  readonly group: string;
  readonly team: string;
  readonly kind: 'read' | 'write';
  readonly priority: Priority;
  /** Time left to the caller's deadline when this was sent, in milliseconds. */
  readonly deadlineMs: number;
  /** True if it commits, on its own or as the end of a transaction. */
  readonly commits: boolean;
  /** Id of the open transaction that it belongs to. */
  readonly pin: string | undefined;
  /** True if only databases in the home's own data centre may serve it. */
  readonly nearOnly?: boolean | undefined;
  /**
   * The work of a reader at its replica, which it found full when it passed the
   * read on. The home does not send the read there while that lasts.
   */
  readonly fullReplica?: DatabaseLoad | undefined;
}

/** Fields of every result of a group's home. */
export interface HomeResult {
  readonly verdict: Verdict;
  readonly transaction: TransactionStatus;
  /** Id of the open transaction; set unless `transaction` is idle. */
  readonly pin: string | undefined;
  /** Position in the group's log that the session has reached. */
  readonly position: Position | undefined;
  /** Set if a reader passes the read on because this replica is full. */
  readonly fullReplica?: DatabaseLoad | undefined;
}

/** A batch of statements to run on a group's databases. */
export interface ExecRequest extends HomeRequest {
  /** Log position of what the session wrote or read in this group, if known. */
  readonly token: Position | undefined;
  /** Maximum staleness of a read in milliseconds; 0 reads at the primary. */
  readonly staleMs: number;
  /** PostgreSQL frontend frames: a single Query, or ending in Sync. */
  readonly frames: Uint8Array;
}

/** The outcome of a batch, after its answer frames were sent as parts. */
export interface ExecResult extends HomeResult {
  /** True if the database answered the batch with an error. */
  readonly failed: boolean;
  /** Role of the database that ran it, for the metrics. */
  readonly servedBy: 'primary' | 'replica' | undefined;
}

/** Receives complete answer frames in order. */
export type PartSink = (frames: Uint8Array) => void | Promise<void>;

/** A batch at its home, and the receiver of its answer. */
export interface ExecAttempt {
  readonly req: ExecRequest;
  readonly sink: PartSink;
  /** The caller's deadline, on the node's monotonic clock. */
  readonly deadlineAt: number;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Aborts when the caller cancels the batch; ends only work not yet sent. */
  readonly cancelled: AbortSignal;
}

/** Runs batches on a database group. */
export interface GroupExecutor {
  /**
   * Runs one batch. Never rejects: the verdict holds any failure.
   * `signal` aborts when the caller disconnects.
   */
  execute(
    req: ExecRequest,
    sink: PartSink,
    signal: AbortSignal,
  ): Promise<ExecResult>;
  /** Rolls back a transaction whose caller has disconnected. */
  release(group: string, pin: string): void;
  /** Cancels a session's running batch, or removes it from the queue. */
  cancel(group: string, sessionId: string): void;
}

/** The verdict of a batch that was cancelled before it reached a database. */
export const CANCELLED: NotRun = notRun(
  'cancelled',
  'the statement was cancelled before it ran',
);

/** Creates the result of a batch that failed with a verdict. */
export function failedResult(
  verdict: Verdict,
  transaction: TransactionStatus = 'idle',
  pin?: string,
): ExecResult {
  return {
    verdict,
    transaction,
    pin,
    position: undefined,
    failed: true,
    servedBy: undefined,
  };
}
