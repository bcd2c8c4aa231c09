/** Repeats a read until a database serves it or there is no hope left. */
import {isRetryable, type RetryBudget} from '../verdict/retry.js';
import {mayHaveRun, notRun} from '../verdict/verdict.js';
import type {GroupDatabases} from './group-databases.js';
import type {ReadOutcome, ReadPath} from './read-path.js';
import {ReadRace, type ReadEntrant} from './read-race.js';
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

/** What the loop is built from. */
export interface ReadLoopOptions {
  readonly databases: GroupDatabases;
  readonly path: ReadPath;
  readonly retries: RetryBudget;
}

/** One read and its tries. */
interface Read extends ExecAttempt {
  readonly race: ReadRace;
}

/**
 * Serves reads on one group.
 *
 * A connection can go silent without a sign, and a read can just be slow. A
 * read without an answer for a part of its time is therefore hedged: it starts
 * at another database, or on another connection, while the first try goes on.
 */
export class ReadLoop {
  readonly #options: ReadLoopOptions;

  constructor(options: ReadLoopOptions) {
    this.#options = options;
  }

  /** Serves one read. Never rejects. */
  async run(attempt: ExecAttempt): Promise<ExecResult> {
    const race = new ReadRace(attempt.sink);
    const read = {...attempt, race};
    this.#options.retries.deposit();
    const hedges: Promise<ExecResult>[] = [];
    const onSlow = (databaseId: string) => {
      if (hedges.length > 0 || !this.#mayHedge(read)) return;
      const avoid = new Set([databaseId]);
      hedges.push(this.#tryUntilFinal(read, race.enter(), avoid, () => {}));
    };
    const first = race.enter();
    const result = await this.#tryUntilFinal(read, first, new Set(), onSlow);
    const [hedge] = hedges;
    if (hedge === undefined || race.winner === first) return result;
    const other = await hedge;
    if (race.winner !== undefined) return other;
    return other.verdict.kind === 'mayHaveRun' ? other : result;
  }

  #mayHedge({signal, cancelled, race}: Read): boolean {
    if (signal.aborted || cancelled.aborted || race.winner !== undefined)
      return false;
    return this.#options.retries.tryWithdraw();
  }

  async #tryUntilFinal(
    read: Read,
    entrant: ReadEntrant,
    avoid: Set<string>,
    onSlow: (databaseId: string) => void,
  ): Promise<ExecResult> {
    const {databases, path} = this.#options;
    const attempt = {...read, avoid, onSlow, ...entrant};
    let lost: ExecResult | undefined;
    try {
      for (;;) {
        const outcome = await path.attempt(attempt);
        if (outcome.result.verdict.kind === 'done') return outcome.result;
        if (outcome.forwarded) return failedResult(brokenOff());
        if (outcome.lost) lost = outcome.result;
        const final = this.#finalResult(outcome, read, entrant);
        // An earlier try may have run, whatever became of the last one.
        if (final !== undefined) return lost ?? final;
        if (outcome.databaseId !== undefined) {
          avoid.add(outcome.databaseId);
          continue;
        }
        avoid.clear();
        await databases.waitForChange(CHANGE_WAIT_MS, read.signal);
      }
    } finally {
      read.race.leave(entrant);
    }
  }

  /** The result if another try is not allowed or of no use. */
  #finalResult(
    outcome: ReadOutcome,
    {deadlineAt, signal, cancelled, race}: Read,
    entrant: ReadEntrant,
  ): ExecResult | undefined {
    const {databases, retries} = this.#options;
    const {result, lost, databaseId} = outcome;
    if (cancelled.aborted) {
      const {kind} = result.verdict;
      return kind === 'notRun' ? failedResult(CANCELLED) : result;
    }
    if (signal.aborted || !isRetryable(result.verdict, true)) return result;
    if (deadlineAt - databases.clock.now() < MIN_ATTEMPT_MS) return result;
    if (entrant.signal.aborted) return result;
    // The other entrant is the next try.
    if (databaseId !== undefined && race.isContested) return result;
    if (databases.isHopeless && databaseId === undefined) {
      const message = `too few databases of group ${databases.spec.name} answer`;
      return failedResult(notRun('noPrimary', message, HOPELESS_RETRY_MS));
    }
    // What reached no database adds no load, and a replica that falls short
    // is left at once: neither is counted.
    if (lost && !retries.tryWithdraw()) return result;
    return undefined;
  }
}

function brokenOff() {
  return mayHaveRun('targetLost', 'the answer to the read broke off');
}
