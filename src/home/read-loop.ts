/** Retries and hedges a read until a database serves it or none can. */
import {isRetryable, type RetryBudget} from '../verdict/retry.js';
import {mayHaveRun, notRun} from '../verdict/verdict.js';
import type {GroupDatabases} from './group-databases.js';
import type {ReadOutcome, ReadPath} from './read-path.js';
import {HedgedRead, type HedgedTry} from './hedged-read.js';
import {
  CANCELLED,
  failedResult,
  type ExecAttempt,
  type ExecResult,
} from './types.js';

/** How long to wait for a change before all databases are tried again. */
const CHANGE_WAIT_MS = 50;
/** Retry delay while no majority of the databases answers. */
const NO_MAJORITY_RETRY_MS = 2_000;
/** Minimum time left for another try. */
const MIN_ATTEMPT_MS = 5;

/** Options of a read loop. */
export interface ReadLoopOptions {
  readonly databases: GroupDatabases;
  readonly path: ReadPath;
  readonly retries: RetryBudget;
}

/** One read and its concurrent tries. */
interface HedgedAttempt extends ExecAttempt {
  readonly hedged: HedgedRead;
}

/**
 * Runs reads on one group.
 *
 * A silent connection can't be told from a slow read. A read that is still
 * unanswered after a share of its time is therefore hedged: a second try starts
 * at another database or on another connection while the first one continues.
 */
export class ReadLoop {
  readonly #options: ReadLoopOptions;

  constructor(options: ReadLoopOptions) {
    this.#options = options;
  }

  /** Runs one read. Never rejects. */
  async run(attempt: ExecAttempt): Promise<ExecResult> {
    const hedged = new HedgedRead(attempt.sink);
    const read = {...attempt, hedged};
    this.#options.retries.deposit();
    const hedges: Promise<ExecResult>[] = [];
    const onSlow = (databaseId: string) => {
      if (hedges.length > 0 || !this.#mayHedge(read)) return;
      const avoid = new Set([databaseId]);
      hedges.push(this.#tryUntilFinal(read, hedged.start(), avoid, () => {}));
    };
    const first = hedged.start();
    const result = await this.#tryUntilFinal(read, first, new Set(), onSlow);
    const [hedge] = hedges;
    if (hedge === undefined || hedged.winner === first) return result;
    const other = await hedge;
    if (hedged.winner !== undefined) return other;
    return other.verdict.kind === 'mayHaveRun' ? other : result;
  }

  #mayHedge({signal, cancelled, hedged}: HedgedAttempt): boolean {
    if (signal.aborted || cancelled.aborted || hedged.winner !== undefined)
      return false;
    return this.#options.retries.tryWithdraw();
  }

  async #tryUntilFinal(
    read: HedgedAttempt,
    currentTry: HedgedTry,
    avoid: Set<string>,
    onSlow: (databaseId: string) => void,
  ): Promise<ExecResult> {
    const {databases, path} = this.#options;
    const attempt = {...read, avoid, onSlow, ...currentTry};
    let lost: ExecResult | undefined;
    try {
      for (;;) {
        const outcome = await path.attempt(attempt);
        if (outcome.result.verdict.kind === 'done') return outcome.result;
        if (outcome.forwarded) return failedResult(cutOffVerdict());
        if (outcome.lost) lost = outcome.result;
        const final = this.#finalResult(outcome, read, currentTry);
        // An earlier try may have run even if the last one was refused.
        if (final !== undefined) return lost ?? final;
        if (outcome.databaseId !== undefined) {
          avoid.add(outcome.databaseId);
          continue;
        }
        avoid.clear();
        await databases.waitForChange(CHANGE_WAIT_MS, read.signal);
      }
    } finally {
      read.hedged.finish(currentTry);
    }
  }

  /** Returns the result if another try is not allowed or pointless. */
  #finalResult(
    outcome: ReadOutcome,
    {deadlineAt, signal, cancelled, hedged}: HedgedAttempt,
    currentTry: HedgedTry,
  ): ExecResult | undefined {
    const {databases, retries} = this.#options;
    const {result, lost, databaseId} = outcome;
    if (cancelled.aborted) {
      const {kind} = result.verdict;
      return kind === 'notRun' ? failedResult(CANCELLED) : result;
    }
    if (signal.aborted || !isRetryable(result.verdict, true)) return result;
    if (deadlineAt - databases.clock.now() < MIN_ATTEMPT_MS) return result;
    if (currentTry.signal.aborted) return result;
    // The concurrent try takes the place of a retry.
    if (databaseId !== undefined && hedged.hasSeveralTries) return result;
    if (databases.hasLostMajority && databaseId === undefined) {
      const message = `too few databases of group ${databases.spec.name} answer`;
      return failedResult(notRun('noPrimary', message, NO_MAJORITY_RETRY_MS));
    }
    // A try that reached no database added no load, and a lagging replica
    // refuses at once: neither counts against the retry budget.
    if (lost && !retries.tryWithdraw()) return result;
    return undefined;
  }
}

function cutOffVerdict() {
  return mayHaveRun('targetLost', 'the answer to the read broke off');
}
