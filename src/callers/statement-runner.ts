/** Admits and executes a session's batches and tracks its transaction. */
import {randomUUID} from 'node:crypto';
import type {Admission} from '../admission/types.js';
import {failedResult, type ExecResult} from '../home/types.js';
import type {Classification, Statement} from '../routing/statement.js';
import type {Position} from '../session/position.js';
import type {StatementKind} from '../telemetry/statement-metrics.js';
import type {TransactionStatus} from '../targets/types.js';
import {notRun, type NotRun} from '../verdict/verdict.js';
import type {Authority, SessionDeps} from './types.js';
import {PRIORITIES} from './priority-class.js';
import type {SessionParameters} from './session-parameters.js';

/** A batch to run on the session's database group. */
export interface RunRequest {
  readonly frames: Uint8Array;
  readonly classification: Classification;
  /** Number of executed statements, which count against the team's rate. */
  readonly statements: number;
  readonly arrivedAt: number;
  readonly sink: (frames: Uint8Array) => void | Promise<void>;
  readonly signal: AbortSignal;
}

/** Runs batches on the session's group and holds its transaction state. */
export class StatementRunner {
  /** Unique among all sessions at all nodes. */
  readonly sessionId = randomUUID();
  readonly #deps: SessionDeps;
  readonly #authority: Authority;
  readonly #parameters: SessionParameters;
  #pin: string | undefined;
  #transaction: TransactionStatus = 'idle';
  #isAborted = false;

  constructor(
    deps: SessionDeps,
    authority: Authority,
    parameters: SessionParameters,
  ) {
    this.#deps = deps;
    this.#authority = authority;
    this.#parameters = parameters;
  }

  get transaction(): TransactionStatus {
    return this.#transaction;
  }

  /**
   * True if the transaction was rolled back before the caller ended it. Until
   * the caller does, its statements are refused: they must not run outside it.
   */
  get isAborted(): boolean {
    return this.#isAborted;
  }

  /** Runs a batch; a failure is returned as the verdict of the result. */
  async run(req: RunRequest): Promise<ExecResult> {
    const wasOpen = this.#transaction !== 'idle';
    const kind = this.#kindOf(req.classification);
    const sampleKind = this.#sampleKindOf(req.classification);
    const result = await this.#admitAndExecute(req);
    this.#transaction = result.transaction;
    this.#pin = result.pin;
    if (result.verdict.kind !== 'done') this.#endAfterFailure(req, wasOpen);
    if (result.position !== undefined) {
      this.#updateToken(result.position, kind);
    }
    this.#observe(req, sampleKind, result);
    return result;
  }

  /** Rolls back an open transaction; it stays `failed` until the caller ends it. */
  abortTransaction(): void {
    this.releaseTransaction();
    this.#isAborted = true;
    this.#transaction = 'failed';
  }

  /** Ends an aborted transaction at the caller's COMMIT or ROLLBACK. */
  endAbortedTransaction(): void {
    this.#isAborted = false;
    this.#transaction = 'idle';
  }

  /** Requests the rollback of the transaction at its home, if one is open. */
  releaseTransaction(): void {
    if (this.#pin === undefined) return;
    this.#deps.executor.release(this.#authority.group, this.#pin);
    this.#pin = undefined;
  }

  /** Cancels the session's running statement. */
  cancel(): void {
    this.#deps.executor.cancel(this.#authority.group, this.sessionId);
  }

  /**
   * Leaves no transaction open behind an error, as PostgreSQL does: what follows
   * would run inside it without the caller's knowledge.
   */
  #endAfterFailure(req: RunRequest, wasOpen: boolean): void {
    if (wasOpen && !includesTransactionEnd(req)) return this.abortTransaction();
    this.releaseTransaction();
    this.#transaction = 'idle';
  }

  async #admitAndExecute(req: RunRequest): Promise<ExecResult> {
    const deadlineAt = req.arrivedAt + this.#parameters.deadlineMs;
    const refusal =
      this.#deps.access.recheck(this.#authority) ??
      (await this.#admit(req, deadlineAt));
    if (refusal !== undefined) {
      return failedResult(refusal, this.#transaction, this.#pin);
    }
    const {team, group} = this.#authority;
    const rules = this.#deps.access.rules(this.#authority);
    const kind = this.#kindOf(req.classification);
    return this.#deps.executor.execute(
      {
        sessionId: this.sessionId,
        group,
        team,
        kind,
        priority: PRIORITIES[rules.priority(kind, this.#parameters.priority)],
        deadlineMs: Math.max(1, deadlineAt - this.#deps.clock.now()),
        token: this.#parameters.token.at(group),
        staleMs: rules.staleMs,
        frames: req.frames,
        commits: this.#commits(req.classification),
        pin: this.#pin,
      },
      req.sink,
      req.signal,
    );
  }

  /**
   * Takes tokens for the batch from the team's rate. A BEGIN costs one more,
   * for the end of its transaction: COMMIT and ROLLBACK are never refused.
   */
  async #admit(
    req: RunRequest,
    deadlineAt: number,
  ): Promise<NotRun | undefined> {
    const cost = admissionCost(req, this.#transaction);
    for (let taken = 0; taken < cost; taken++) {
      const admission = await this.#deps.admission.admit(
        this.#authority.team,
        deadlineAt,
      );
      if (admission.kind === 'refused') {
        return budgetRefusal(this.#authority.team, admission);
      }
    }
    return undefined;
  }

  #kindOf(classification: Classification): 'read' | 'write' {
    const isRead = classification.strictest.kind === 'read';
    return isRead && this.#transaction === 'idle' ? 'read' : 'write';
  }

  #commits({statements}: Classification): boolean {
    if (this.#transaction === 'idle') return true;
    // The batch may execute a portal bound by an earlier one.
    if (statements.length === 0) return true;
    return statements.some(({kind}) => kind === 'commit');
  }

  /**
   * Advances the session token to the position of a write. The position of a
   * read is stored only if the token has none for the group: otherwise each
   * read at the primary would keep the session there while others write.
   */
  #updateToken(position: Position, kind: 'read' | 'write'): void {
    const {group} = this.#authority;
    if (kind === 'read' && this.#parameters.token.at(group)) return;
    this.#parameters.token = this.#parameters.token.with(group, position);
  }

  #sampleKindOf(classification: Classification): StatementKind {
    const opens = classification.statements.some(({kind}) => kind === 'begin');
    if (opens || this.#transaction !== 'idle') return 'transaction';
    return this.#kindOf(classification);
  }

  #observe(req: RunRequest, kind: StatementKind, result: ExecResult): void {
    this.#deps.observe({
      team: this.#authority.team,
      group: this.#authority.group,
      kind,
      statements: countStatements(req),
      verdict: result.verdict,
      elapsedMs: this.#deps.clock.now() - req.arrivedAt,
      servedBy: result.servedBy,
    });
  }
}

function budgetRefusal(
  team: string,
  {reason, retryAfterMs}: Admission & {kind: 'refused'},
): NotRun {
  if (reason === 'overRate') {
    return notRun('rateLimited', `team ${team} is over its rate`, retryAfterMs);
  }
  const message = `the budget of team ${team} can't be reached`;
  return notRun('budgetUnavailable', message, retryAfterMs);
}

function admissionCost(
  req: RunRequest,
  transaction: TransactionStatus,
): number {
  const {statements} = req.classification;
  if (transaction !== 'idle' && statements.every(endsTransaction)) return 0;
  const begins = statements.filter(({kind}) => kind === 'begin').length;
  return countStatements(req) + begins;
}

/** A batch without Execute, such as one with only Describe, counts as one. */
function countStatements({statements}: RunRequest): number {
  return Math.max(1, statements);
}

function endsTransaction({kind}: Statement): boolean {
  return kind === 'commit' || kind === 'rollback';
}

/** True if a batch includes a COMMIT or ROLLBACK. */
function includesTransactionEnd({classification}: RunRequest): boolean {
  return classification.statements.some(endsTransaction);
}
