/** Repeats a read until a database serves it or there is no hope left. */
import {isRetryable, type RetryBudget} from '../verdict/retry.js';
import {mayHaveRun, notRun} from '../verdict/verdict.js';
import type {GroupDatabases} from './group-databases.js';
import type {ReadOutcome, ReadPath} from './read-path.js';
import {
  CANCELLED,
  failedResult,
  type ExecAttempt,
  type ExecResult,
} from './types.js';

/** How long to wait before the databases are looked at again. */
const CHANGE_WAIT_MS = 50;
/** When to come back while no majority of the databases answers. */
const HOPELESS_RETRY_MS = 2_000;
/** The least time in which a read can still succeed. */
const MIN_ATTEMPT_MS = 5;
/**
 * The part of the time left that a first try may run. A connection can go
 * silent without a sign; what is left then is for another database.
 */
const FIRST_ATTEMPT_SHARE = 0.4;

/** What the loop is built from. */
export interface ReadLoopOptions {
  readonly databases: GroupDatabases;
  readonly path: ReadPath;
  readonly retries: RetryBudget;
}

/** Serves reads on one group. */
export class ReadLoop {
  readonly #options: ReadLoopOptions;

  constructor(options: ReadLoopOptions) {
    this.#options = options;
  }

  /** Serves one read. Never rejects. */
  async run(read: ExecAttempt): Promise<ExecResult> {
    const {databases, path, retries} = this.#options;
    const avoid = new Set<string>();
    retries.deposit();
    for (let share = FIRST_ATTEMPT_SHARE; ; share = 1) {
      const outcome = await path.attempt({...read, runShare: share, avoid});
      if (outcome.result.verdict.kind === 'done') return outcome.result;
      if (outcome.forwarded) return failedResult(brokenOff());
      const final = this.#finalResult(outcome, read);
      if (final !== undefined) return final;
      if (outcome.databaseId !== undefined) {
        avoid.add(outcome.databaseId);
        continue;
      }
      avoid.clear();
      await databases.waitForChange(CHANGE_WAIT_MS, read.signal);
    }
  }

  /** The result if another try is not allowed or of no use. */
  #finalResult(
    outcome: ReadOutcome,
    {deadlineAt, signal, cancelled}: ExecAttempt,
  ): ExecResult | undefined {
    const {databases, retries} = this.#options;
    const {result, sent} = outcome;
    const {verdict} = result;
    if (cancelled.aborted) {
      return verdict.kind === 'notRun' ? failedResult(CANCELLED) : result;
    }
    if (signal.aborted || !isRetryable(verdict, true)) return result;
    if (deadlineAt - databases.clock.now() < MIN_ATTEMPT_MS) return result;
    if (databases.isHopeless && outcome.databaseId === undefined) {
      const message = `too few databases of group ${databases.spec.name} answer`;
      return failedResult(notRun('noPrimary', message, HOPELESS_RETRY_MS));
    }
    // What never reached a database adds no load, so it is not counted.
    if (sent && !retries.tryWithdraw()) return result;
    return undefined;
  }
}

function brokenOff() {
  return mayHaveRun('targetLost', 'the answer to the read broke off');
}
