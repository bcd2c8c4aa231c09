/** What entries ask of a group's home, and what it answers. */
import type {Position} from '../session/position.js';
import type {TransactionStatus} from '../targets/types.js';
import {notRun, type NotRun, type Verdict} from '../verdict/verdict.js';

/** Scheduling class at the home's queues. */
export type Priority = 'urgent' | 'ordinary';

/** What every request to a group's home says, whatever its protocol. */
export interface HomeRequest {
  /** The caller's session; unique over the fleet. */
  readonly sessionId: string;
  readonly group: string;
  readonly team: string;
  readonly kind: 'read' | 'write';
  readonly priority: Priority;
  /** Milliseconds left to the caller's deadline when this was sent. */
  readonly deadlineMs: number;
  /** Whether it commits: on its own, or as the end of a transaction. */
  readonly commits: boolean;
  /** The transaction that it belongs to. */
  readonly pin: string | undefined;
  /** Whether only databases in the home's own data centre may serve it. */
  readonly nearOnly?: boolean | undefined;
}

/** What every answer of a group's home says. */
export interface HomeResult {
  readonly verdict: Verdict;
  readonly transaction: TransactionStatus;
  /** Names the open transaction; present while `transaction` is not idle. */
  readonly pin: string | undefined;
  /** Where the session now stands in the group's log. */
  readonly position: Position | undefined;
}

/** A batch of statements to run on a group's databases. */
export interface ExecRequest extends HomeRequest {
  /** What the session has written or seen in this group, if known. */
  readonly token: Position | undefined;
  /** How old the data of a read may be; 0 reads at the primary. */
  readonly staleMs: number;
  /** Frontend frames, ending in Sync or being one Query. */
  readonly frames: Uint8Array;
}

/** How a batch ended. Answer frames were sent as parts before. */
export interface ExecResult extends HomeResult {
  /** Whether the database answered the batch with an error. */
  readonly failed: boolean;
  /** The database that ran it, and its role, for the metrics. */
  readonly servedBy: 'primary' | 'replica' | undefined;
}

/** Receives whole answer frames in order. */
export type PartSink = (frames: Uint8Array) => void | Promise<void>;

/** A batch at its home and where its answer goes. */
export interface ExecAttempt {
  readonly req: ExecRequest;
  readonly sink: PartSink;
  /** When the caller gives up, on the node's monotonic clock. */
  readonly deadlineAt: number;
  /** Aborts when the caller is gone. */
  readonly signal: AbortSignal;
  /** Aborts when the caller cancels the batch; for what has not begun yet. */
  readonly cancelled: AbortSignal;
}

/** Runs batches on a database group. */
export interface GroupExecutor {
  /**
   * Runs one batch. Never rejects: every failure is a verdict.
   * `signal` aborts when the caller is gone.
   */
  execute(
    req: ExecRequest,
    sink: PartSink,
    signal: AbortSignal,
  ): Promise<ExecResult>;
  /** Rolls back a transaction whose caller is gone. */
  release(group: string, pin: string): void;
  /** Stops what the session runs, or takes it out of the queue. */
  cancel(group: string, sessionId: string): void;
}

/** The verdict of a batch that was cancelled before it reached a database. */
export const CANCELLED: NotRun = notRun(
  'cancelled',
  'the statement was cancelled before it ran',
);

/** A result for a batch that ended without running. */
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
