/** One caller's session: a task that reads, runs and answers, in order. */
import type {Duplex} from 'node:stream';
import {toErrorFields} from '../verdict/sqlstate.js';
import {notRun, type Verdict} from '../verdict/verdict.js';
import {
  classificationOf,
  type Classification,
  type Statement,
} from '../routing/statement.js';
import {BatchBuilder, ParseFilter} from './batch.js';
import {BodyReader} from './body-reader.js';
import {endSocket} from './end-socket.js';
import {
  commandComplete,
  emptyQueryResponse,
  errorResponse,
  parameterStatus,
  readyForQuery,
  singleValue,
  type ErrorFields,
} from './messages.js';
import {
  SessionParameters,
  TOKEN_PARAMETER,
  type ParameterFault,
} from './session-parameters.js';
import {SessionOutput} from './session-output.js';
import {ProtocolError, type Frame, type SocketReader} from './socket-reader.js';
import {
  isEnd,
  isRestart,
  rollbackAnswer,
  TRANSACTION_ABORTED,
} from './broken-transaction.js';
import {StatementRunner, type RunRequest} from './statement-runner.js';
import type {Authority, SessionDeps} from './types.js';

/** Bytes of one message from a caller at most. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const BATCH_TYPES: ReadonlySet<string> = new Set(['P', 'B', 'D', 'C', 'E']);
const UNSUPPORTED = '0A000';
/** A batch of nothing but Sync. */
const SYNC_BYTES = 5;

/** Where a session reads and writes. */
export interface SessionChannel {
  readonly socket: Duplex;
  readonly reader: SocketReader;
}

/** A session that has been authenticated. */
export class CallerSession {
  readonly #channel: SessionChannel;
  readonly #deps: SessionDeps;
  readonly #authority: Authority;
  readonly #parameters: SessionParameters;
  readonly #runner: StatementRunner;
  readonly #gone = new AbortController();
  readonly #output: SessionOutput;
  #batch = new BatchBuilder();
  /** Set while the rest of a faulty batch is skipped up to its Sync. */
  #skipping = false;
  #busy = false;
  /** Whether the proxy itself refused something in this cycle. */
  #refused = false;
  #closing: ErrorFields | undefined;

  constructor(
    channel: SessionChannel,
    deps: SessionDeps,
    authority: Authority,
    parameters: SessionParameters,
  ) {
    this.#channel = channel;
    this.#output = new SessionOutput(channel.socket);
    this.#deps = deps;
    this.#authority = authority;
    this.#parameters = parameters;
    this.#runner = new StatementRunner(deps, authority, parameters);
    channel.socket.on('close', () => this.#gone.abort());
  }

  get authority(): Authority {
    return this.#authority;
  }

  /** Serves the session until it ends. */
  async run(): Promise<void> {
    try {
      this.#write(readyForQuery('idle'));
      this.#output.flush();
      while (await this.#serveNext());
    } catch (err) {
      if (!(err instanceof ProtocolError)) throw err;
      this.#writeError({
        severity: 'FATAL',
        sqlstate: err.sqlstate,
        message: err.message,
      });
    } finally {
      this.#runner.abandon();
      this.#output.flush();
      endSocket(this.#channel.socket);
    }
  }

  /** Asks the database to stop the running statement. */
  cancel(): void {
    if (this.#busy) this.#runner.cancel();
  }

  /**
   * Ends the session with an error: at once where it is idle, else after the
   * running statement, and after the open transaction where `graceful`.
   */
  close(fields: ErrorFields, graceful: boolean): void {
    this.#closing = fields;
    if (this.#busy || (graceful && !this.#isBetweenRequests)) return;
    this.#writeError(fields);
    this.#output.flush();
    this.#channel.socket.end();
    // A statement on its way is told that it did not run, so it must not.
    this.#channel.reader.stop();
  }

  /** Whether neither a transaction nor a batch is open. */
  get #isBetweenRequests(): boolean {
    return this.#runner.transaction === 'idle' && this.#batch.isEmpty;
  }

  /** Serves one message; false when the session is over. */
  async #serveNext(): Promise<boolean> {
    const frame = await this.#channel.reader.readFrame(MAX_MESSAGE_BYTES);
    if (frame === undefined || frame.type === 'X') return false;
    this.#busy = true;
    try {
      await this.#serve(frame);
    } finally {
      this.#busy = false;
      this.#output.flush();
    }
    if (this.#closing === undefined) return true;
    if (!this.#isBetweenRequests) return true;
    this.#writeError(this.#closing);
    return false;
  }

  async #serve(frame: Frame): Promise<void> {
    if (frame.type === 'Q') return this.#serveQuery(frame);
    if (frame.type === 'S') return this.#serveSync();
    if (this.#skipping) return;
    if (BATCH_TYPES.has(frame.type)) return this.#collect(frame);
    if (frame.type === 'H') {
      return this.#failBatch(UNSUPPORTED, 'Flush is not served; send Sync');
    }
    if (frame.type === 'F') {
      return this.#failBatch(UNSUPPORTED, 'function calls are not served');
    }
    throw new ProtocolError(`message type '${frame.type}' is not known`);
  }

  #collect(frame: Frame): void {
    try {
      this.#batch.add(frame);
    } catch (err) {
      if (!(err instanceof ProtocolError)) throw err;
      this.#failBatch(err.sqlstate, err.message);
    }
  }

  #failBatch(sqlstate: string, message: string): void {
    this.#batch.finish();
    this.#skipping = true;
    this.#refuse({severity: 'ERROR', sqlstate, message});
  }

  async #serveQuery(frame: Frame): Promise<void> {
    const arrivedAt = this.#deps.clock.now();
    const sql = new BodyReader(frame.body).cstring();
    const classification = await this.#deps.classifier.classify(sql);
    const {strictest} = classification;
    if (strictest.kind === 'empty') this.#write(emptyQueryResponse());
    else if (!this.#answerLocally(strictest)) {
      await this.#execute({
        frames: frame.bytes,
        classification,
        statements: classification.statements.length,
        arrivedAt,
        sink: frames => this.#output.pass(Buffer.from(frames)),
        signal: this.#gone.signal,
      });
    }
    this.#endCycle();
  }

  async #serveSync(): Promise<void> {
    const arrivedAt = this.#deps.clock.now();
    const batch = this.#batch.finish();
    const skipped = this.#skipping;
    this.#skipping = false;
    if (!skipped && batch.frames.length > SYNC_BYTES) {
      const classification = await this.#classifyAll(batch.statements);
      const {strictest} = classification;
      if (!this.#refuseLocal(strictest)) {
        const filter = new ParseFilter(batch.wantedParses);
        await this.#execute({
          frames: batch.frames,
          classification,
          statements: batch.executes,
          arrivedAt,
          sink: frames => this.#output.pass(filter.filter(Buffer.from(frames))),
          signal: this.#gone.signal,
        });
      }
    }
    this.#endCycle();
  }

  /** An error fails an open transaction, also one that no database made. */
  #endCycle(): void {
    const {transaction, isBroken} = this.#runner;
    if (this.#refused && transaction !== 'idle' && !isBroken) {
      this.#runner.breakTransaction();
    }
    this.#refused = false;
    this.#write(readyForQuery(this.#runner.transaction));
  }

  async #classifyAll(texts: readonly string[]): Promise<Classification> {
    const found = await Promise.all(
      [...new Set(texts)].map(sql => this.#deps.classifier.classify(sql)),
    );
    return classificationOf(found.flatMap(({statements}) => statements));
  }

  async #execute(req: RunRequest): Promise<void> {
    if (this.#runner.isBroken && !isRestart(req.classification)) {
      return this.#answerBroken(req);
    }
    if (this.#runner.isBroken) this.#runner.endBroken();
    const before = this.#parameters.token;
    const result = await this.#runner.run(req);
    if (result.verdict.kind !== 'done')
      return this.#writeVerdict(result.verdict);
    const wrote = req.classification.strictest.kind !== 'read';
    if (wrote && this.#parameters.token !== before) {
      const text = this.#parameters.token.encode(this.#deps.signer);
      this.#write(parameterStatus(TOKEN_PARAMETER, text));
    }
  }

  /** Answers for a transaction that is rolled back already. */
  async #answerBroken(req: RunRequest): Promise<void> {
    if (!isEnd(req.classification)) {
      return this.#writeError(TRANSACTION_ABORTED);
    }
    this.#runner.endBroken();
    await req.sink(rollbackAnswer(req.frames));
  }

  #writeVerdict(verdict: Verdict): void {
    if (verdict.kind === 'done') return;
    const fields = toErrorFields(verdict);
    this.#writeError({...fields, severity: 'ERROR'});
    if (fields.severity === 'FATAL') this.#closing ??= fields;
  }

  /** Answers what no database needs to see; false if one does. */
  #answerLocally(statement: Statement): boolean {
    if (statement.kind === 'set') {
      this.#answerSet(this.#parameters.set(statement.name, statement.value));
      return true;
    }
    if (statement.kind === 'show') {
      this.#answerShow(statement.name);
      return true;
    }
    return this.#refuseLocal(statement);
  }

  #answerSet(fault: ParameterFault | undefined): void {
    if (fault === undefined) this.#write(commandComplete('SET'));
    else this.#refuse({severity: 'ERROR', ...fault});
  }

  #answerShow(name: string): void {
    const value = this.#parameters.show(name);
    if (typeof value !== 'string') {
      return this.#refuse({severity: 'ERROR', ...value});
    }
    this.#write(singleValue(name, value));
    this.#write(commandComplete('SHOW'));
  }

  /** Refuses what is not served; true if it was refused. */
  #refuseLocal(statement: Statement): boolean {
    if (statement.kind === 'unsupported') {
      this.#refuse(toErrorFields(notRun('unsupported', statement.message)));
      return true;
    }
    if (statement.kind === 'invalid') {
      const {sqlstate, message} = statement;
      this.#refuse({severity: 'ERROR', sqlstate, message});
      return true;
    }
    if (statement.kind === 'set' || statement.kind === 'show') {
      const message = `send ${statement.kind.toUpperCase()} as a simple query`;
      this.#refuse(toErrorFields(notRun('unsupported', message)));
      return true;
    }
    return false;
  }

  #write(message: Uint8Array): void {
    this.#output.add(message);
  }

  #refuse(fields: ErrorFields): void {
    this.#refused = true;
    this.#writeError(fields);
  }

  #writeError(fields: ErrorFields): void {
    this.#write(errorResponse(fields));
  }
}
