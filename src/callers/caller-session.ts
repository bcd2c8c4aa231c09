/** A caller's session: reads its messages, runs them and answers in order. */
import type {Duplex} from 'node:stream';
import {classificationOf, type Classification} from '../routing/statement.js';
import {BatchCollector} from './batch-collector.js';
import {ParseCompleteFilter} from './batch.js';
import {BodyReader} from './body-reader.js';
import {endSocket} from './end-socket.js';
import {GroupResponder} from './group-responder.js';
import {LocalResponder} from './local-responder.js';
import {errorResponse, readyForQuery, type ErrorFields} from './messages.js';
import {SessionOutput} from './session-output.js';
import type {SessionParameters} from './session-parameters.js';
import {ProtocolError, type Frame, type SocketReader} from './socket-reader.js';
import {StatementRunner, type RunRequest} from './statement-runner.js';
import type {Authority, SessionDeps} from './types.js';

/** Maximum length of a caller's message. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** A session's socket and the reader of its input. */
export interface SessionChannel {
  readonly socket: Duplex;
  readonly reader: SocketReader;
}

/** An authenticated session. */
export class CallerSession {
  readonly #channel: SessionChannel;
  readonly #deps: SessionDeps;
  readonly #authority: Authority;
  readonly #runner: StatementRunner;
  readonly #output: SessionOutput;
  readonly #local: LocalResponder;
  readonly #group: GroupResponder;
  readonly #batch = new BatchCollector();
  readonly #disconnected = new AbortController();
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
    this.#local = new LocalResponder(output, parameters);
    this.#group = new GroupResponder({output, parameters, runner, signer});
    channel.socket.on('close', () => this.#disconnected.abort());
  }

  get authority(): Authority {
    return this.#authority;
  }

  /** Serves the session until the caller or {@link close} ends it. */
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
      this.#runner.releaseTransaction();
      this.#output.flush();
      endSocket(this.#channel.socket);
    }
  }

  /** Cancels the running statement, if there is one. */
  cancel(): void {
    if (this.#busy) this.#runner.cancel();
  }

  /**
   * Ends the session with an error: immediately if it runs no statement, else
   * after it. If `graceful`, an open transaction or batch is completed first.
   */
  close(fields: ErrorFields, graceful: boolean): void {
    this.#closing = fields;
    if (this.#busy || (graceful && !this.#isBetweenRequests)) return;
    this.#writeError(fields);
    this.#output.flush();
    this.#channel.socket.end();
    // The error tells the caller that any statement still in transit did not
    // run, so no further input may be read.
    this.#channel.reader.stop();
  }

  /** True if no transaction and no batch is open. */
  get #isBetweenRequests(): boolean {
    return this.#runner.transaction === 'idle' && this.#batch.isEmpty;
  }

  /** Reads and serves one message; false if the session has ended. */
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
        sink: frames => this.#output.addWithBackpressure(Buffer.from(frames)),
        signal: this.#disconnected.signal,
      });
    }
    this.#sendReadyForQuery();
  }

  async #serveSync(): Promise<void> {
    const arrivedAt = this.#deps.clock.now();
    const batch = this.#batch.finish();
    if (batch === undefined) return this.#sendReadyForQuery();
    const classification = await this.#classifyAll(batch.statements);
    if (!this.#local.refuseIfUnsupported(classification.strictest)) {
      const filter = new ParseCompleteFilter(batch.expectedParses);
      await this.#run({
        frames: batch.frames,
        classification,
        statements: batch.executes,
        arrivedAt,
        sink: frames =>
          this.#output.addWithBackpressure(filter.filter(Buffer.from(frames))),
        signal: this.#disconnected.signal,
      });
    }
    this.#sendReadyForQuery();
  }

  async #classifyAll(texts: readonly string[]): Promise<Classification> {
    const classifications = await Promise.all(
      [...new Set(texts)].map(sql => this.#deps.classifier.classify(sql)),
    );
    return classificationOf(
      classifications.flatMap(({statements}) => statements),
    );
  }

  async #run(req: RunRequest): Promise<void> {
    const fatal = await this.#group.run(req);
    this.#closing ??= fatal;
  }

  /**
   * Ends a query cycle. An error sent by the proxy itself aborts the open
   * transaction first, as an error of the database would.
   */
  #sendReadyForQuery(): void {
    const {transaction, isAborted: isBroken} = this.#runner;
    const refused = this.#local.consumeRefused();
    if (refused && transaction !== 'idle' && !isBroken) {
      this.#runner.abortTransaction();
    }
    this.#output.add(readyForQuery(this.#runner.transaction));
  }

  #writeError(fields: ErrorFields): void {
    this.#output.add(errorResponse(fields));
  }
}
