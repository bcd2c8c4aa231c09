/** Runs reads at a replica that is fresh enough, or at the primary. */
import type {ProviderWeights, ReadChoice} from '../routing/replica-choice.js';
import type {Position} from '../session/position.js';
import {TargetError} from '../targets/types.js';
import {DONE, mayHaveRun, notRun, type Verdict} from '../verdict/verdict.js';
import {ReadAnswer} from './answers.js';
import type {GroupDatabases} from './group-databases.js';
import {failedResult, type ExecAttempt, type ExecResult} from './types.js';

const PRIMARY_RETRY_MS = 200;
/** A read is slow after this share of the time left when it got its slot. */
const SLOW_AFTER_SHARE = 0.4;

/** Options of a read path. */
export interface ReadPathOptions {
  readonly databases: GroupDatabases;
  readonly weights: () => ProviderWeights;
  /** How long a read may wait for a replica before it uses the primary. */
  readonly maxWaitMs: number;
}

/** One read, the databases to avoid and the receiver of its answer. */
export interface ReadAttempt extends ExecAttempt {
  /** Databases that have already failed this read. */
  readonly avoid: ReadonlySet<string>;
  /** Aborts when the answer is no longer needed. */
  readonly signal: AbortSignal;
  /** Called when the read is slow and no part of its answer was forwarded. */
  readonly onSlow: (databaseId: string) => void;
}

/** The outcome of one attempt, and the database to avoid next. */
export interface ReadOutcome {
  readonly result: ExecResult;
  readonly databaseId: string | undefined;
  /** True if the read was sent and its answer was lost. */
  readonly lost: boolean;
  /** True if the caller has received a part of the answer. */
  readonly forwarded: boolean;
}

/** Chooses a database for a read and runs it there. */
export class ReadPath {
  readonly #options: ReadPathOptions;

  constructor(options: ReadPathOptions) {
    this.#options = options;
  }

  /** Tries a read at one database. Never rejects. */
  async attempt(attempt: ReadAttempt): Promise<ReadOutcome> {
    const {databases} = this.#options;
    let choice = this.#choose(attempt, this.#options.maxWaitMs);
    if (choice.kind === 'wait') {
      await databases.clock.sleep(choice.expectedMs);
      const again = this.#choose(attempt, 0);
      choice =
        again.kind === 'primary'
          ? {kind: 'replica', databaseId: choice.databaseId}
          : again;
    }
    if (choice.kind === 'none' || choice.kind === 'wait') {
      const message = `group ${databases.spec.name} has no database for this read`;
      const reason = choice.kind === 'none' ? choice.reason : 'staleReplicas';
      return failed(notRun(reason, message, PRIMARY_RETRY_MS));
    }
    return this.#runAt(attempt, choice.databaseId, choice.kind);
  }

  #choose(attempt: ReadAttempt, maxWaitMs: number): ReadChoice {
    const {databases, weights} = this.#options;
    const {req, avoid} = attempt;
    return databases.reads.choose({
      sessionId: req.sessionId,
      position: req.token,
      staleMs: req.staleMs,
      weights: weights(),
      maxWaitMs,
      avoid,
    });
  }

  async #runAt(
    attempt: ReadAttempt,
    databaseId: string,
    role: 'primary' | 'replica',
  ): Promise<ReadOutcome> {
    const {databases} = this.#options;
    const {req, deadlineAt, cancelled} = attempt;
    const answer = new ReadAnswer(
      req.token,
      attempt.sink,
      position =>
        role === 'primary' ||
        databases.reads.maxAgeMsAt(databaseId, position) <= req.staleMs,
    );
    const pool = databases.pool(databaseId);
    const {team, priority} = req;
    const acquired = await pool?.acquire({
      team,
      priority,
      deadlineAt,
      cancelled,
    });
    if (acquired === undefined)
      return failed(goneVerdict(databaseId), databaseId);
    if (acquired.kind === 'refused')
      return failed(acquired.verdict, databaseId);
    const {slot} = acquired;
    if (attempt.signal.aborted) {
      slot.release();
      return failed(alreadyAnsweredVerdict(), databaseId);
    }
    const termCheck =
      role === 'primary'
        ? this.#confirmTerm(databaseId, deadlineAt)
        : undefined;
    const now = databases.clock.now();
    try {
      const end = await databases.runs.run({
        sessionId: req.sessionId,
        databaseId,
        connection: slot.connection,
        frames: req.frames,
        observer: answer,
        deadlineAt,
        signal: attempt.signal,
        slowAt: now + (deadlineAt - now) * SLOW_AFTER_SHARE,
        onSlow: () => {
          if (!answer.forwarded) attempt.onSlow(databaseId);
        },
      });
      if (answer.stale) {
        return failed(staleVerdict(databaseId), databaseId);
      }
      const verdict = (await termCheck) ?? DONE;
      if (verdict.kind === 'done') await answer.flush();
      return {
        databaseId,
        lost: false,
        forwarded: answer.forwarded,
        result: {
          verdict,
          transaction: 'idle',
          pin: undefined,
          position: answer.position,
          failed: end.failed,
          servedBy: role,
        },
      };
    } catch (err) {
      const verdict = lostVerdict(err, databaseId);
      const lost = verdict.kind === 'mayHaveRun';
      const {forwarded} = answer;
      return {...failed(verdict, databaseId), lost, forwarded};
    } finally {
      slot.release();
    }
  }

  /**
   * Proves that no newer primary existed when the read arrived. Runs in
   * parallel with the read, as any confirmation after its arrival is enough.
   */
  async #confirmTerm(
    primaryId: string,
    deadlineAt: number,
  ): Promise<Verdict | undefined> {
    const {databases} = this.#options;
    const {term} = databases.view();
    const position: Position = {term, offset: 0};
    const timeoutMs = Math.max(1, deadlineAt - databases.clock.now());
    const ack = await databases.tracker.acknowledge({
      primaryId,
      position,
      ack: 'primary',
      timeoutMs,
    });
    if (ack.kind === 'acknowledged') return undefined;
    return notRun(
      'noPrimary',
      `database ${primaryId} is no longer known to lead its group`,
      PRIMARY_RETRY_MS,
    );
  }
}

function failed(verdict: Verdict, databaseId?: string): ReadOutcome {
  return {
    result: failedResult(verdict),
    databaseId,
    lost: false,
    forwarded: false,
  };
}

function goneVerdict(databaseId: string): Verdict {
  return notRun(
    'targetUnavailable',
    `database ${databaseId} left the group`,
    0,
  );
}

function alreadyAnsweredVerdict(): Verdict {
  return notRun('targetUnavailable', 'another try answered the read', 0);
}

function staleVerdict(databaseId: string): Verdict {
  return notRun(
    'staleReplicas',
    `database ${databaseId} does not show what the session has written`,
    0,
  );
}

function lostVerdict(err: unknown, databaseId: string): Verdict {
  const message = `database ${databaseId}: ${err instanceof Error ? err.message : String(err)}`;
  const notSent = err instanceof TargetError && err.kind !== 'lost';
  return notSent
    ? notRun('targetUnavailable', message, 0)
    : mayHaveRun('targetLost', message);
}
