/** Runs one batch for a session: class, admission, execution, answer. */
import {randomUUID} from 'node:crypto';
import type {Admission} from '../admission/types.js';
import {failedResult, type ExecResult} from '../home/types.js';
import type {Classification, Statement} from '../routing/statement.js';
import type {Position} from '../session/position.js';
import type {StatementKind} from '../telemetry/metrics.js';
import type {TransactionStatus} from '../targets/types.js';
import {notRun, type NotRun} from '../verdict/verdict.js';
import type {Authority, SessionDeps} from './types.js';
import type {SessionParameters} from './session-parameters.js';

/** A batch that the session wants to run on its group. */
export interface RunRequest {
  readonly frames: Uint8Array;
  readonly classification: Classification;
  /** Statements that it executes, for the team's rate. */
  readonly statements: number;
  readonly arrivedAt: number;
  readonly sink: (frames: Uint8Array) => void | Promise<void>;
  readonly signal: AbortSignal;
}

/** The part of a session that reaches the group: its open transaction. */
export class StatementRunner {
  /** Names the session over the whole fleet. */
  readonly sessionId = randomUUID();
  readonly #deps: SessionDeps;
  readonly #authority: Authority;
  readonly #parameters: SessionParameters;
  #pin: string | undefined;
  #transaction: TransactionStatus = 'idle';
  #isBroken = false;

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
   * Whether the transaction was rolled back before the caller ended it. Its
   * remaining statements must not run outside it.
   */
  get isBroken(): boolean {
    return this.#isBroken;
  }

  /** Runs a batch; every failure is in the result's verdict. */
  async run(req: RunRequest): Promise<ExecResult> {
    const wasOpen = this.#transaction !== 'idle';
    const kind = this.#kindOf(req.classification);
    const sampleKind = this.#sampleKindOf(req.classification);
    const result = await this.#admitAndExecute(req);
    this.#transaction = result.transaction;
    this.#pin = result.pin;
    const isLost = wasOpen && result.pin === undefined;
    if (isLost && result.verdict.kind !== 'done' && !hasEnd(req)) {
      this.breakTransaction();
    }
    if (result.position !== undefined) {
      this.#remember(result.position, kind);
    }
    this.#observe(req, sampleKind, result);
    return result;
  }

  /** Rolls an open transaction back and keeps it failed until its end. */
  breakTransaction(): void {
    this.abandon();
    this.#isBroken = true;
    this.#transaction = 'failed';
  }

  /** Forgets a broken transaction at the caller's COMMIT or ROLLBACK. */
  endBroken(): void {
    this.#isBroken = false;
    this.#transaction = 'idle';
  }

  /** Rolls back whatever the session left open. */
  abandon(): void {
    if (this.#pin === undefined) return;
    this.#deps.executor.release(this.#authority.group, this.#pin);
    this.#pin = undefined;
  }

  /** Asks the database to stop the running statement. */
  cancel(): void {
    this.#deps.executor.cancel(this.#authority.group, this.sessionId);
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
        priority: rules.priority(kind, this.#parameters.priority),
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
   * Counts the batch against the team's rate. A BEGIN pays for its own end as
   * well, so that no COMMIT or ROLLBACK is ever refused.
   */
  async #admit(
    req: RunRequest,
    deadlineAt: number,
  ): Promise<NotRun | undefined> {
    const cost = admissionCost(req, this.#transaction);
    for (let paid = 0; paid < cost; paid++) {
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
    // A batch may execute a portal that an earlier one has bound.
    if (statements.length === 0) return true;
    return statements.some(({kind}) => kind === 'commit');
  }

  /**
   * The token follows what the session wrote. What a read saw counts only for
   * a session of whose past nothing was known: each read at the primary would
   * otherwise keep the session there for as long as others write.
   */
  #remember(position: Position, kind: 'read' | 'write'): void {
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

/** A batch that only describes counts as one. */
function countStatements({statements}: RunRequest): number {
  return Math.max(1, statements);
}

function endsTransaction({kind}: Statement): boolean {
  return kind === 'commit' || kind === 'rollback';
}

/** Whether a batch would have ended the transaction itself. */
function hasEnd({classification}: RunRequest): boolean {
  return classification.statements.some(endsTransaction);
}
