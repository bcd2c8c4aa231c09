/** A caller's session, independent of the protocol it uses. */
import {randomBytes} from 'node:crypto';
import type {Route} from '../catalog/types.js';
import type {SessionValues} from '../home/team-connection.js';
import type {HomeForwarder} from '../home/home-forwarder.js';
import {
  failedStatement,
  type StatementRequest,
  type StatementResult,
} from '../home/statement-request.js';
import type {Priority} from '../home/types.js';
import type {Clock} from '../infra/clock.js';
import {laterPosition, type Position} from '../session/position.js';
import type {
  CallerStatement,
  PreparedStatement,
  SessionCommand,
  StatementOutput,
} from '../statements/types.js';
import type {TransactionStatus} from '../targets/types.js';
import type {Logger} from '../telemetry/log.js';
import type {FinishedStatement} from '../telemetry/node-metrics.js';
import {
  mayHaveRun,
  notRun,
  type NotRun,
  type Verdict,
} from '../verdict/verdict.js';
import type {AccessDecision, AccessGate, Credentials} from './access.js';

/** 48 bits keep the sessions of several days distinct in the logs. */
const SESSION_ID_BYTES = 6;
/** Maximum number of values, and of prepared statements, of one session. */
const MAX_SESSION_ENTRIES = 1_000;

const ROLLED_BACK = notRun(
  'targetUnavailable',
  'the transaction has been rolled back; begin it again',
  0,
);
const FAILED = notRun(
  'badRequest',
  'the transaction has failed; end it by ROLLBACK',
);
const GIVEN_UP = mayHaveRun(
  'homeLost',
  'this node shut down while the statement ran',
);

/** The outcome of one command, for the caller. */
export type SessionReply =
  | {
      readonly kind: 'answered';
      readonly output: StatementOutput;
      readonly transaction: TransactionStatus;
    }
  /** Completed without a database. */
  | {readonly kind: 'local'; readonly transaction: TransactionStatus}
  | {
      readonly kind: 'failed';
      readonly verdict: Exclude<Verdict, {kind: 'done'}>;
      readonly transaction: TransactionStatus;
      /** Whether the session must end. */
      readonly isFinal: boolean;
    };

/** Dependencies of a session. */
export interface SessionContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly access: AccessGate;
  readonly forwarder: Pick<
    HomeForwarder<StatementRequest, StatementResult, never>,
    'execute'
  >;
  /** Requests the rollback of a transaction at its home. */
  readonly release: (group: string, pin: string) => void;
  /** Records a finished statement in the metrics. */
  readonly observe: (end: FinishedStatement) => void;
  /** Rank of a route's priority among those configured. */
  readonly priorityOf: (route: Route) => Priority;
  /** Refuses new work while the node shuts down; undefined if it is served. */
  readonly refuse?: () => NotRun | undefined;
}

/** The caller's open transaction. */
interface Transaction {
  readonly readOnly: boolean;
  readonly route: Route;
  readonly team: string;
  /** Its id at the home; undefined until its first statement has run. */
  pin: string | undefined;
  /** Total run time of its statements, without the time between them. */
  spentMs: number;
  isFailed: boolean;
  /** Whether it failed between two statements, and no reply has said so yet. */
  isUnreported: boolean;
}

/**
 * Holds the state of a session and runs its commands sequentially.
 *
 * A transaction begins at a database with its first statement. Session values
 * and prepared statements are stored here and set up on a database connection
 * when a statement needs them, so any connection can serve the session.
 *
 * @example
 * const session = new StatementSession(ctx, {database: 'claims', key});
 * const reply = await session.run(command, signal);
 */
export class StatementSession {
  readonly id = randomBytes(SESSION_ID_BYTES).toString('hex');
  readonly #ctx: SessionContext;
  readonly #credentials: Credentials;
  readonly #prepared = new Map<string, PreparedStatement>();
  readonly #positions = new Map<string, Position>();
  #values: SessionValues = {};
  #transaction: Transaction | undefined;
  /** Ends the wait for the running statement. */
  #giveUp: (() => void) | undefined;

  constructor(ctx: SessionContext, credentials: Credentials) {
    this.#ctx = ctx;
    this.#credentials = credentials;
  }

  get transaction(): TransactionStatus {
    if (this.#transaction === undefined) return 'idle';
    return this.#transaction.isFailed ? 'failed' : 'open';
  }

  /** Runs one command. Never rejects. */
  async run(
    command: SessionCommand,
    signal: AbortSignal,
  ): Promise<SessionReply> {
    const open = this.#transaction;
    if (open?.isFailed && !endsTransaction(command)) {
      const verdict = open.isUnreported ? ROLLED_BACK : FAILED;
      open.isUnreported = false;
      return this.#failed(verdict);
    }
    const refusal = this.#refusalOf(command);
    if (refusal !== undefined) return this.#refuseToStart(refusal, command);
    switch (command.kind) {
      case 'run':
        return this.#run(command.statement, signal);
      case 'execute':
        return this.#execute(command, signal);
      case 'begin':
        return this.#begin(command.readOnly);
      case 'rollback':
        return this.#rollBack();
      case 'setValue':
        return this.#setValue(command.name, command.value);
      case 'prepare':
        return this.#prepare(command.name, command.shape);
      case 'deallocate':
        this.#prepared.delete(command.name);
        return this.#local();
      case 'invalid':
        return this.#failed(notRun('badRequest', command.message));
    }
  }

  /** Rolls back an open transaction after the caller has disconnected. */
  end(): void {
    this.#releasePin();
    this.#transaction = undefined;
  }

  /** Rolls back an open transaction; the caller's next command reports it. */
  abortTransaction(): void {
    if (this.#transaction === undefined || this.#transaction.isFailed) return;
    this.#failTransaction();
    this.#transaction.isUnreported = true;
  }

  #failTransaction(): void {
    this.#releasePin();
    if (this.#transaction !== undefined) this.#transaction.isFailed = true;
  }

  /**
   * Answers the running statement as unknown, since the node stops before it
   * ends. Its late outcome is ignored.
   */
  giveUp(): void {
    this.#giveUp?.();
  }

  /** The refusal of a command that would start work while the node stops. */
  #refusalOf(command: SessionCommand): NotRun | undefined {
    const isEnd =
      this.#transaction !== undefined && command.kind === 'rollback';
    if (isEnd || this.#transaction?.isFailed) return undefined;
    return this.#ctx.refuse?.();
  }

  /** Refuses a command, and rolls back the transaction that is open. */
  #refuseToStart(refusal: NotRun, command: SessionCommand): SessionReply {
    if (this.#transaction === undefined) {
      return {...this.#failed(refusal), isFinal: true};
    }
    this.#failTransaction();
    if (endsTransaction(command)) return this.#refuseCommit();
    const message = `the transaction was rolled back: ${refusal.message}`;
    return this.#failed(notRun('targetUnavailable', message, 0));
  }

  #begin(readOnly: boolean): SessionReply {
    if (this.#transaction !== undefined) {
      return this.#failed(
        notRun('badRequest', 'a transaction is open; end it first'),
      );
    }
    const access = this.#ctx.access.check(this.#credentials);
    if (access.kind === 'refused') return this.#refuse(access, undefined);
    const {route, team} = access;
    this.#transaction = {
      readOnly,
      route,
      team,
      pin: undefined,
      spentMs: 0,
      isFailed: false,
      isUnreported: false,
    };
    return this.#local();
  }

  #rollBack(): SessionReply {
    if (this.#transaction === undefined) {
      return this.#failed(notRun('badRequest', 'no transaction is open'));
    }
    this.#releasePin();
    this.#transaction = undefined;
    return this.#local();
  }

  #setValue(name: string, value: string): SessionReply {
    const isNew = !Object.hasOwn(this.#values, name);
    if (isNew && Object.keys(this.#values).length >= MAX_SESSION_ENTRIES) {
      return this.#failed(notRun('badRequest', 'too many session values'));
    }
    this.#values = {...this.#values, [name]: value};
    return this.#local();
  }

  #prepare(name: string, shape: PreparedStatement): SessionReply {
    if (
      !this.#prepared.has(name) &&
      this.#prepared.size >= MAX_SESSION_ENTRIES
    ) {
      return this.#failed(notRun('badRequest', 'too many prepared statements'));
    }
    this.#prepared.set(name, shape);
    return this.#local();
  }

  async #execute(
    command: SessionCommand & {kind: 'execute'},
    signal: AbortSignal,
  ): Promise<SessionReply> {
    const prepared = this.#prepared.get(command.name);
    if (prepared === undefined) {
      const message = `prepared statement "${command.name}" does not exist`;
      return this.#failed(notRun('badRequest', message));
    }
    const {requestId, args: text} = command;
    const {access} = prepared;
    return this.#run({requestId, access, text, prepared}, signal);
  }

  async #run(
    statement: CallerStatement,
    signal: AbortSignal,
  ): Promise<SessionReply> {
    const open = this.#transaction;
    if (statement.access === 'commit' && (!open || open.isFailed)) {
      return this.#refuseCommit();
    }
    const access = this.#ctx.access.check(this.#credentials);
    if (access.kind === 'refused') {
      return this.#refuse(access, statement.requestId);
    }
    const startedAt = this.#ctx.clock.now();
    const req = this.#requestFor(
      statement,
      open?.route ?? access.route,
      access.team,
    );
    const result = await this.#executeOrGiveUp(req, signal);
    if (open !== undefined) open.spentMs += this.#ctx.clock.now() - startedAt;
    return this.#finish(req, result, startedAt);
  }

  #executeOrGiveUp(
    req: StatementRequest,
    signal: AbortSignal,
  ): Promise<StatementResult> {
    return new Promise((resolve, reject) => {
      this.#giveUp = () => resolve(failedStatement(GIVEN_UP));
      this.#ctx.forwarder.execute(req, () => {}, signal).then(resolve, reject);
    });
  }

  #requestFor(
    statement: CallerStatement,
    route: Route,
    team: string,
  ): StatementRequest {
    const open = this.#transaction;
    const isOpening = open !== undefined && open.pin === undefined;
    const opens = open?.readOnly ? 'readOnly' : 'readWrite';
    const isRead = statement.access === 'read' && open === undefined;
    return {
      sessionId: this.id,
      group: route.group,
      team,
      kind: isRead ? 'read' : 'write',
      priority: this.#ctx.priorityOf(route),
      deadlineMs: route.timeoutMs,
      commits: open === undefined || statement.access === 'commit',
      pin: open?.pin,
      statement,
      consistency: route.consistency,
      maxStalenessMs: route.maxStalenessMs,
      latencyGoalMs: Math.max(0, route.latencyGoalMs - (open?.spentMs ?? 0)),
      position: this.#positions.get(route.group),
      values: this.#values,
      opens: isOpening ? opens : undefined,
    };
  }

  #finish(
    req: StatementRequest,
    result: StatementResult,
    startedAt: number,
  ): SessionReply {
    const open = this.#transaction;
    const {position, output} = result;
    const verdict = this.#verdictForCaller(req, result.verdict);
    if (position !== undefined) {
      const known = this.#positions.get(req.group);
      this.#positions.set(
        req.group,
        known === undefined ? position : laterPosition(known, position),
      );
    }
    if (open !== undefined) {
      open.pin = result.pin;
      const isEnded = req.statement.access === 'commit';
      if (isEnded) this.#transaction = undefined;
      else if (result.pin === undefined) open.isFailed = true;
    }
    const failure =
      verdict.kind === 'done' ? output?.error?.code : verdict.reason;
    this.#ctx.observe({
      group: req.group,
      kind: req.statement.access === 'read' ? 'read' : 'write',
      outcome: failure ?? 'done',
      elapsedMs: this.#ctx.clock.now() - startedAt,
    });
    if (verdict.kind === 'done' && output !== undefined) {
      if (output.error !== undefined)
        this.#logFailure(req, output.error.code, startedAt);
      return {kind: 'answered', output, transaction: this.transaction};
    }
    if (verdict.kind === 'done') {
      return this.#failed(notRun('badRequest', 'the home gave no answer'));
    }
    this.#logFailure(req, verdict.reason, startedAt, verdict.message);
    return this.#failed(verdict);
  }

  /**
   * Reports an unknown outcome before COMMIT as rolled back: only a COMMIT,
   * which only this session sends, makes a transaction's statements last.
   */
  #verdictForCaller(req: StatementRequest, verdict: Verdict): Verdict {
    if (verdict.kind !== 'mayHaveRun' || req.commits) return verdict;
    const message = `the transaction was rolled back: ${verdict.message}; begin it again`;
    return notRun('homeUnavailable', message, 0);
  }

  /** Refuses a COMMIT without a transaction, or of one already rolled back. */
  #refuseCommit(): SessionReply {
    const wasFailed = this.#transaction !== undefined;
    this.#transaction = undefined;
    const verdict = wasFailed
      ? ROLLED_BACK
      : notRun('badRequest', 'no transaction is open');
    return this.#failed(verdict);
  }

  /** Reports a failed access check and rolls back the open transaction. */
  #refuse(
    {verdict, basis}: AccessDecision & {kind: 'refused'},
    request: string | undefined,
  ): SessionReply {
    const {log} = this.#ctx;
    this.#failTransaction();
    log.info('accessRefused', {
      request,
      session: this.id,
      database: this.#credentials.database,
      reason: verdict.reason,
      message: verdict.message,
      ...basis,
    });
    // After `cutOff` the caller may find a node with a proven configuration.
    const isFinal =
      verdict.reason === 'notAuthorised' || verdict.reason === 'cutOff';
    return {
      kind: 'failed',
      verdict,
      transaction: this.transaction,
      isFinal,
    };
  }

  #logFailure(
    req: StatementRequest,
    outcome: string,
    startedAt: number,
    message?: string,
  ): void {
    this.#ctx.log.info('statementFailed', {
      request: req.statement.requestId,
      session: this.id,
      group: req.group,
      team: req.team,
      outcome,
      message,
      tookMs: Math.round(this.#ctx.clock.now() - startedAt),
    });
  }

  #releasePin(): void {
    const open = this.#transaction;
    if (open?.pin === undefined) return;
    this.#ctx.release(open.route.group, open.pin);
    open.pin = undefined;
  }

  #local(): SessionReply {
    return {kind: 'local', transaction: this.transaction};
  }

  #failed(
    verdict: Exclude<Verdict, {kind: 'done'}>,
  ): SessionReply & {kind: 'failed'} {
    return {
      kind: 'failed',
      verdict,
      transaction: this.transaction,
      isFinal: false,
    };
  }
}

function endsTransaction(command: SessionCommand): boolean {
  if (command.kind === 'rollback') return true;
  return command.kind === 'run' && command.statement.access === 'commit';
}
