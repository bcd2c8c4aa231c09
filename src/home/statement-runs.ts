/** The batches that run on a group's databases at this moment. */
import type {Clock} from '../platform/clock.js';
import {startTimer} from '../platform/timer.js';
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
  readonly #running = new Set<StatementRun>();

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
    const leftMs = run.deadlineAt - this.#clock.now();
    const cancel = startTimer(this.#clock, leftMs, () =>
      run.connection.close(),
    );
    this.#running.add(run);
    try {
      return await run.connection.run(run.frames, run.observer);
    } finally {
      cancel();
      this.#running.delete(run);
    }
  }

  /** Asks the database to stop what a session runs. */
  cancel(sessionId: string): void {
    for (const run of this.#running) {
      if (run.sessionId === sessionId) void run.connection.cancel();
    }
  }

  /** Gives up what runs on a database that no longer answers. */
  abandon(databaseId: string): void {
    for (const run of this.#running) {
      if (run.databaseId === databaseId) run.connection.close();
    }
  }
}
