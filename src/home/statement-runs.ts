/** The batches that run on a group's databases at this moment. */
import type {Clock} from '../platform/clock.js';
import type {
  AnswerObserver,
  BatchEnd,
  TargetConnection,
} from '../targets/types.js';

/** One batch on one connection. */
export interface StatementRun {
  readonly sessionId: string;
  readonly databaseId: string;
  readonly connection: TargetConnection;
  readonly frames: Uint8Array;
  readonly observer: AnswerObserver;
  /** When nobody waits any more, on the node's monotonic clock. */
  readonly deadlineAt: number;
}

/** Runs batches no longer than somebody waits for them. */
export class StatementRuns {
  readonly #clock: Clock;
  /** What runs, with the cancel requests on their way to each. */
  readonly #running = new Map<StatementRun, Promise<void>[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Runs a batch; past the deadline the connection is closed, so that an answer
   * nobody waits for can never meet another request.
   *
   * @throws TargetError `lost` when the deadline passed or the connection ended
   */
  async run(run: StatementRun): Promise<BatchEnd> {
    const finished = new AbortController();
    const leftMs = Math.max(0, run.deadlineAt - this.#clock.now());
    void this.#clock.sleep(leftMs, finished.signal).then(() => {
      if (!finished.signal.aborted) run.connection.close();
    });
    const cancels: Promise<void>[] = [];
    this.#running.set(run, cancels);
    try {
      return await run.connection.run(run.frames, run.observer);
    } finally {
      finished.abort();
      this.#running.delete(run);
      // A cancel request still on its way would stop the next batch instead.
      await Promise.all(cancels);
    }
  }

  /** Asks the database to stop what a session runs. */
  cancel(sessionId: string): void {
    for (const [run, cancels] of this.#running) {
      if (run.sessionId === sessionId) cancels.push(run.connection.cancel());
    }
  }

  /** Gives up what runs on a database that no longer answers. */
  abandon(databaseId: string): void {
    for (const run of this.#running.keys()) {
      if (run.databaseId === databaseId) run.connection.close();
    }
  }
}
