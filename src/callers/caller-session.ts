/** One caller's session: a task that reads, runs and answers, in order. */
import type {Duplex} from 'node:stream';
import {classificationOf, type Classification} from '../routing/statement.js';
import {BatchCollector} from './batch-collector.js';
import {ParseFilter} from './batch.js';
import {BodyReader} from './body-reader.js';
import {endSocket} from './end-socket.js';
import {GroupAnswers} from './group-answers.js';
import {LocalAnswers} from './local-answers.js';
import {errorResponse, readyForQuery, type ErrorFields} from './messages.js';
import {SessionOutput} from './session-output.js';
import type {SessionParameters} from './session-parameters.js';
import {ProtocolError, type Frame, type SocketReader} from './socket-reader.js';
import {StatementRunner, type RunRequest} from './statement-runner.js';
import type {Authority, SessionDeps} from './types.js';

/** Bytes of one message from a caller at most. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

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
  readonly #runner: StatementRunner;
  readonly #output: SessionOutput;
  readonly #local: LocalAnswers;
  readonly #group: GroupAnswers;
  readonly #batch = new BatchCollector();
  readonly #gone = new AbortController();
  #busy = false;
  #closing: ErrorFields | undefined;

  constructor(
    channel: SessionChannel,
    deps: SessionDeps,
    authority: Authority,
    parameters: SessionParameters,
  ) {
    this.#channel = channel;
    this.#deps = deps;
    this.#authority = authority;
    const output = new SessionOutput(channel.socket);
    const runner = new StatementRunner(deps, authority, parameters);
    const {signer} = deps;
    this.#output = output;
    this.#runner = runner;
    this.#local = new LocalAnswers(output, parameters);
    this.#group = new GroupAnswers({output, parameters, runner, signer});
    channel.socket.on('close', () => this.#gone.abort());
  }

  get authority(): Authority {
    return this.#authority;
  }

  /** Serves the session until it ends. */
  async run(): Promise<void> {
    try {
      this.#output.add(readyForQuery('idle'));
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
    const fault = this.#batch.add(frame);
    if (fault !== undefined) this.#local.refuse({severity: 'ERROR', ...fault});
  }

  async #serveQuery(frame: Frame): Promise<void> {
    const arrivedAt = this.#deps.clock.now();
    const sql = new BodyReader(frame.body).cstring();
    const classification = await this.#deps.classifier.classify(sql);
    if (!this.#local.answer(classification.strictest)) {
      await this.#run({
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
    if (batch === undefined) return this.#endCycle();
    const classification = await this.#classifyAll(batch.statements);
    if (!this.#local.refuseUnserved(classification.strictest)) {
      const filter = new ParseFilter(batch.wantedParses);
      await this.#run({
        frames: batch.frames,
        classification,
        statements: batch.executes,
        arrivedAt,
        sink: frames => this.#output.pass(filter.filter(Buffer.from(frames))),
        signal: this.#gone.signal,
      });
    }
    this.#endCycle();
  }

  async #classifyAll(texts: readonly string[]): Promise<Classification> {
    const found = await Promise.all(
      [...new Set(texts)].map(sql => this.#deps.classifier.classify(sql)),
    );
    return classificationOf(found.flatMap(({statements}) => statements));
  }

  async #run(req: RunRequest): Promise<void> {
    const fatal = await this.#group.run(req);
    this.#closing ??= fatal;
  }

  /** An error fails an open transaction, also one that no database made. */
  #endCycle(): void {
    const {transaction, isBroken} = this.#runner;
    const refused = this.#local.takeRefused();
    if (refused && transaction !== 'idle' && !isBroken) {
      this.#runner.breakTransaction();
    }
    this.#output.add(readyForQuery(this.#runner.transaction));
  }

  #writeError(fields: ErrorFields): void {
    this.#output.add(errorResponse(fields));
  }
}
