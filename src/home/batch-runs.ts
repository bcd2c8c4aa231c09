/** The batches that are running on a group's databases. */
import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import {
  TargetError,
  type AnswerObserver,
  type BatchOutcome,
  type TargetConnection,
} from '../targets/types.js';

/** Time between a cancel request and closing the connection. */
const CANCEL_GRACE_MS = 50;

/** One batch on one connection. */
export interface BatchRun {
  readonly sessionId: string;
  readonly databaseId: string;
  readonly connection: TargetConnection;
  readonly frames: Uint8Array;
  readonly observer: AnswerObserver;
  /** The caller's deadline, on the node's monotonic clock. */
  readonly deadlineAt: number;
  /** Aborts when the answer is no longer needed. */
  readonly signal?: AbortSignal;
  /** Time at which `onSlow` is called if the batch is still running. */
  readonly slowAt?: number;
  readonly onSlow?: () => void;
}

/** Runs batches and cancels them when their caller no longer waits. */
export class BatchRuns {
  readonly #clock: Clock;
  /** Running batches, each with its cancel requests in flight. */
  readonly #running = new Map<BatchRun, Promise<void>[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Runs a batch. If its caller stops waiting, cancels it at the database, to
   * save work, and closes the connection unless the batch ends soon, so that a
   * late answer is never taken for that of another request.
   *
   * @throws TargetError `lost` if the caller stopped waiting or the connection
   * was lost
   */
  async run(run: BatchRun): Promise<BatchOutcome> {
    const {connection, frames, observer, signal} = run;
    const cancels: Promise<void>[] = [];
    let abandonReason: string | undefined;
    const abandonRun = (reason: string) => {
      if (abandonReason !== undefined) return;
      abandonReason = reason;
      stopTimer();
      cancels.push(connection.cancel());
      stopTimer = startTimer(this.#clock, CANCEL_GRACE_MS, () =>
        connection.close(),
      );
    };
    const onAbort = () => abandonRun('its answer is not wanted any more');
    let stopTimer = this.#startTimers(run, abandonRun);
    signal?.addEventListener('abort', onAbort, {once: true});
    this.#running.set(run, cancels);
    try {
      const end = await connection.run(frames, {
        onStart: position => observer.onStart?.(position) ?? true,
        onFrames: part =>
          abandonReason === undefined ? observer.onFrames(part) : undefined,
      });
      if (abandonReason === undefined) return end;
    } catch (err) {
      if (abandonReason === undefined) throw err;
    } finally {
      stopTimer();
      signal?.removeEventListener('abort', onAbort);
      this.#running.delete(run);
      // A cancel request still in flight could cancel the next batch instead.
      if (connection.usable) await Promise.all(cancels);
    }
    throw new TargetError('lost', abandonReason ?? '');
  }

  /** Runs one timer at a time, as nearly all timers are cancelled unused. */
  #startTimers(
    {slowAt, onSlow, deadlineAt}: BatchRun,
    abandonRun: (reason: string) => void,
  ): () => void {
    const clock = this.#clock;
    const untilDeadline = () =>
      startTimer(clock, deadlineAt - clock.now(), () =>
        abandonRun('no answer came within the deadline'),
      );
    if (slowAt === undefined) return untilDeadline();
    let stop = startTimer(clock, slowAt - clock.now(), () => {
      stop = untilDeadline();
      onSlow?.();
    });
    return () => stop();
  }

  /** Requests the database to cancel a session's running batch. */
  cancel(sessionId: string): void {
    for (const [run, cancels] of this.#running) {
      if (run.sessionId === sessionId) cancels.push(run.connection.cancel());
    }
  }

  /** Closes the connections of all batches that run on a database. */
  abandon(databaseId: string): void {
    for (const run of this.#running.keys()) {
      if (run.databaseId === databaseId) run.connection.close();
    }
  }
}
