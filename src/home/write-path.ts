/** Runs writes and transactions at the primary and awaits acknowledgement. */
import {ackVerdict, type AckMode} from '../groups/acknowledgement.js';
import {comparePositions, type Position} from '../session/position.js';
import {TargetError, type BatchOutcome} from '../targets/types.js';
import {isRetryable} from '../verdict/retry.js';
import {
  DONE,
  mayHaveRun,
  notRun,
  type NotRun,
  type Verdict,
} from '../verdict/verdict.js';
import {WriteAnswer} from './answers.js';
import type {Slot} from './database-pool.js';
import type {GroupDatabases} from './group-databases.js';
import type {PgOpenTransactions} from './pg-open-transactions.js';
import type {WriteGate} from './write-gate.js';
import {
  CANCELLED,
  failedResult,
  type ExecAttempt,
  type ExecResult,
} from './types.js';

/** How long to wait for a change before the primary is looked up again. */
const PRIMARY_POLL_MS = 50;
/** Retry delay while no majority of the databases answers. */
const NO_MAJORITY_RETRY_MS = 2_000;
/** Retry delay while open transactions hold the connections. */
const TRANSACTION_RETRY_MS = 50;
/** Minimum time left for another attempt. */
const MIN_ATTEMPT_MS = 5;

/** Options of a write path. */
export interface WritePathOptions {
  readonly databases: GroupDatabases;
  readonly transactions: PgOpenTransactions;
  readonly gate: WriteGate;
  readonly ackMode: () => AckMode;
}

/** A batch that has run on the primary. */
interface CompletedBatch {
  readonly slot: Slot;
  readonly databaseId: string;
  readonly answer: WriteAnswer;
  readonly end: BatchOutcome;
}

/** Runs writes on a group's primary. */
export class WritePath {
  readonly #options: WritePathOptions;

  constructor(options: WritePathOptions) {
    this.#options = options;
  }

  /**
   * Runs a batch outside a transaction. Waits for a primary within the deadline
   * and retries until a database has received the batch. Never rejects.
   */
  async run(attempt: ExecAttempt): Promise<ExecResult> {
    const {databases, gate} = this.#options;
    for (;;) {
      const refusal = this.#earlyRefusal(attempt);
      if (refusal !== undefined) return failedResult(refusal);
      const leave = await gate.enter(attempt.deadlineAt);
      try {
        const result = await this.#tryPrimary(attempt);
        if (result !== undefined) return result;
      } finally {
        leave();
      }
      await databases.waitForChange(PRIMARY_POLL_MS, attempt.signal);
    }
  }

  /** Runs a batch of an open transaction. Never rejects. */
  async runPinned(attempt: ExecAttempt, pin: string): Promise<ExecResult> {
    const {transactions, gate} = this.#options;
    const leave = await gate.enterPinned(attempt.deadlineAt);
    const pinned = transactions.take(pin);
    if (pinned === undefined) {
      leave();
      return failedResult(rolledBackVerdict('it is not known'));
    }
    const answer = new WriteAnswer(attempt.sink);
    const {slot, databaseId} = pinned;
    try {
      const end = await this.#runOn(databaseId, slot, answer, attempt);
      if (answer.refused) {
        slot.release();
        return failedResult(rolledBackVerdict(`${databaseId} lost its term`));
      }
      return await this.#finish(attempt, {slot, databaseId, answer, end}, pin);
    } catch (err) {
      slot.release();
      if (attempt.req.commits)
        return failedResult(lostVerdict(err, databaseId));
      return failedResult(rolledBackVerdict(errorMessage(err)));
    } finally {
      leave();
    }
  }

  /** Returns the refusal if another attempt is pointless. */
  #earlyRefusal({
    deadlineAt,
    signal,
    cancelled,
  }: ExecAttempt): NotRun | undefined {
    const {databases} = this.#options;
    const {name} = databases.spec;
    if (signal.aborted) return notRun('noPrimary', 'the caller is gone');
    if (cancelled.aborted) return CANCELLED;
    if (databases.hasLostMajority) {
      const message = `too few databases of group ${name} answer`;
      return notRun('noPrimary', message, NO_MAJORITY_RETRY_MS);
    }
    const leftMs = deadlineAt - databases.clock.now();
    if (leftMs >= MIN_ATTEMPT_MS) return undefined;
    const message = `group ${name} got no primary in time`;
    return notRun('noPrimary', message, PRIMARY_POLL_MS);
  }

  /** Tries once; undefined if the batch did not run and may be retried. */
  async #tryPrimary(attempt: ExecAttempt): Promise<ExecResult | undefined> {
    const {databases} = this.#options;
    const {req, deadlineAt, cancelled} = attempt;
    const databaseId = databases.view().primaryId;
    const pool = databaseId ? databases.pool(databaseId) : undefined;
    if (databaseId === undefined || pool === undefined) return undefined;
    const {team, priority} = req;
    const acquired = await pool.acquire({
      team,
      priority,
      deadlineAt,
      cancelled,
    });
    if (acquired.kind === 'refused') {
      const {verdict} = acquired;
      const isFinal = !isRetryable(verdict, false);
      return isFinal ? failedResult(verdict) : undefined;
    }
    const {slot} = acquired;
    const answer = new WriteAnswer(attempt.sink);
    const sentAt = databases.clock.now();
    try {
      const end = await this.#runOn(databaseId, slot, answer, attempt);
      if (answer.refused) {
        slot.release();
        void databases.monitor.refreshNow();
        return undefined;
      }
      if (end.position) {
        databases.reads.recordPosition(databaseId, end.position, sentAt);
      }
      const ran = {slot, databaseId, answer, end};
      if (onlyOpenedTransaction(answer.startPosition, end) && !pool.mayPin) {
        this.#options.transactions.rollBack(slot);
        return failedResult(tooManyTransactionsVerdict(databaseId));
      }
      return await this.#finish(attempt, ran, undefined);
    } catch (err) {
      slot.release();
      if (err instanceof TargetError && err.kind === 'notSent')
        return undefined;
      return failedResult(lostVerdict(err, databaseId));
    }
  }

  #runOn(
    databaseId: string,
    slot: Slot,
    answer: WriteAnswer,
    {req, deadlineAt}: ExecAttempt,
  ): Promise<BatchOutcome> {
    return this.#options.databases.runs.run({
      sessionId: req.sessionId,
      databaseId,
      connection: slot.connection,
      frames: req.frames,
      observer: answer,
      deadlineAt,
    });
  }

  /** Awaits acknowledgement of commits; keeps a transaction that is open. */
  async #finish(
    attempt: ExecAttempt,
    ran: CompletedBatch,
    oldPin: string | undefined,
  ): Promise<ExecResult> {
    const {slot, databaseId, answer, end} = ran;
    const pin = this.#keepOrReleaseSlot(attempt, ran, oldPin);
    const verdict = needsAck(answer.startPosition, end)
      ? await this.#acknowledge(attempt, databaseId, end.position)
      : DONE;
    if (verdict.kind !== 'done') {
      if (pin !== undefined) this.#options.transactions.release(pin);
      return failedResult(verdict);
    }
    await answer.flush();
    return {
      verdict,
      transaction: pin === undefined ? 'idle' : slot.connection.transaction,
      pin,
      position: end.position,
      failed: end.failed,
      servedBy: 'primary',
    };
  }

  /** Keeps the connection of an open transaction, or else releases it. */
  #keepOrReleaseSlot(
    {req}: ExecAttempt,
    {slot, databaseId, end}: CompletedBatch,
    oldPin: string | undefined,
  ): string | undefined {
    if (end.transaction === 'idle') {
      slot.release();
      return undefined;
    }
    slot.pin();
    const {transactions} = this.#options;
    return transactions.add(
      {slot, databaseId, sessionId: req.sessionId},
      oldPin,
    );
  }

  async #acknowledge(
    {deadlineAt}: ExecAttempt,
    primaryId: string,
    position: Position | undefined,
  ): Promise<Verdict> {
    const {databases, ackMode} = this.#options;
    if (position === undefined) {
      return mayHaveRun('termChanged', `${primaryId} reported no position`);
    }
    const timeoutMs = Math.max(1, deadlineAt - databases.clock.now());
    const ack = ackMode();
    const write = {primaryId, position, ack, timeoutMs};
    return ackVerdict(await databases.tracker.acknowledge(write));
  }
}

/**
 * True if the batch reports what a later primary could contradict: a commit, or
 * a write that found nothing to change.
 */
function needsAck(start: Position | undefined, end: BatchOutcome): boolean {
  if (end.position === undefined) return end.transaction === 'idle';
  const committed =
    start === undefined || comparePositions(end.position, start) !== 0;
  return committed || (end.transaction === 'idle' && !end.failed);
}

/** True if the batch opened a transaction and committed nothing. */
function onlyOpenedTransaction(
  start: Position | undefined,
  end: BatchOutcome,
): boolean {
  if (end.transaction === 'idle') return false;
  if (start === undefined || end.position === undefined) return false;
  return comparePositions(end.position, start) === 0;
}

function tooManyTransactionsVerdict(databaseId: string): NotRun {
  return notRun(
    'overloaded',
    `${databaseId} has as many open transactions as its connections allow`,
    TRANSACTION_RETRY_MS,
  );
}

function lostVerdict(err: unknown, databaseId: string): Verdict {
  return mayHaveRun(
    'targetLost',
    `database ${databaseId}: ${errorMessage(err)}`,
  );
}

function rolledBackVerdict(reason: string): Verdict {
  return notRun(
    'targetUnavailable',
    `the transaction was rolled back: ${reason}; begin it again`,
    0,
  );
}

function errorMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
