/** One client connection: a loop over its messages, written straight down. */
import type net from 'node:net';
import {FrameError, FrameReader, type Frame} from '../../src/targets/frames.js';
import {AnswerWriter} from './answer-writer.js';
import {ExtendedQuery} from './extended-query.js';
import * as messages from './messages.js';
import type {DatabaseOptions} from './options.js';
import type {GroupMember} from './member.js';
import {Session} from './session.js';
import type {FreezeGate} from './signal.js';
import {parseStatements} from './sql-parser.js';
import {SqlError} from './sql-error.js';
import {sendResult} from './send-result.js';
import {authenticate, readStartup, type SeenCredentials} from './startup.js';
import type {StatementRunner} from './statement-runner.js';

/** The database name whose connections may use the control functions. */
export const CONTROL_DATABASE = 'platform';

/** What a connection needs of its database. */
export interface ConnectionHost {
  readonly options: DatabaseOptions;
  readonly member: GroupMember;
  readonly runner: StatementRunner;
  readonly gate: FreezeGate;
  recordCredentials(seen: SeenCredentials): void;
  /** Counts a connection in; throws SqlError 53300 above the limit. */
  admit(connection: ClientConnection, control: boolean): void;
  /** Stops what the connection of that key runs. */
  cancel(processId: number, secret: number): void;
}

/** One client connection. */
export class ClientConnection {
  readonly processId: number;
  readonly secret = Math.floor(Math.random() * 0x7fffffff);
  readonly #host: ConnectionHost;
  readonly #socket: net.Socket;
  readonly #reader: FrameReader;
  readonly #writer: AnswerWriter;
  #running: AbortController | undefined;

  constructor(host: ConnectionHost, socket: net.Socket, processId: number) {
    this.#host = host;
    this.#socket = socket;
    this.processId = processId;
    this.#reader = new FrameReader(socket);
    this.#writer = new AnswerWriter(socket, host.gate);
  }

  /** Serves the connection until either side closes it. */
  async serve(): Promise<void> {
    try {
      await this.#serve();
    } catch (err) {
      await this.#refuse(err);
    } finally {
      this.#socket.end();
    }
  }

  /** Stops the running statement with SQLSTATE 57014. */
  cancel(): void {
    this.#running?.abort(
      new SqlError('57014', 'canceling statement due to user request'),
    );
  }

  /** Sends nothing any more, although the connection stays open. */
  silence(): void {
    this.#writer.silence();
  }

  destroy(): void {
    this.#socket.destroy();
  }

  async #serve(): Promise<void> {
    const {gate, options} = this.#host;
    const request = await readStartup(this.#socket, this.#reader, this.#writer);
    await gate.pass();
    if (request === undefined) return;
    if (request.kind === 'cancel') {
      return this.#host.cancel(request.processId, request.secret);
    }
    const control = request.parameters.get('database') === CONTROL_DATABASE;
    const user = await authenticate(
      request.parameters,
      this.#reader,
      this.#writer,
      options,
      seen => this.#host.recordCredentials(seen),
    );
    // A connection already closed would never be counted out again.
    if (this.#socket.destroyed) return;
    this.#host.admit(this, control);
    await new Promise(resolve => setTimeout(resolve, options.connectCostMs));
    const session = new Session(
      this.#host.member,
      this.#host.runner,
      user,
      control,
    );
    this.#writer.write(messages.authenticationOk);
    this.#writer.write(messages.parameterStatus('server_version', '17.0'));
    this.#writer.write(messages.parameterStatus('client_encoding', 'UTF8'));
    this.#writer.write(messages.backendKeyData(this.processId, this.secret));
    this.#writer.write(messages.readyForQuery('I'));
    await this.#writer.flush();
    await this.#serveQueries(session);
  }

  async #serveQueries(session: Session): Promise<void> {
    const extended = new ExtendedQuery(session, this.#writer);
    let skipping = false;
    for (;;) {
      const frame = await this.#reader.next();
      if (frame === undefined || frame.type === 'X') return;
      await this.#host.gate.pass();
      if (this.#writer.silenced) continue;
      if (frame.type === 'S') {
        skipping = false;
        await this.#endBatch(session);
        continue;
      }
      if (skipping) continue;
      const running = new AbortController();
      this.#running = running;
      try {
        await this.#handle(frame, session, extended, running.signal);
      } catch (err) {
        skipping = frame.type !== 'Q';
        this.#fail(session, err);
      } finally {
        this.#running = undefined;
      }
      if (frame.type === 'Q') await this.#endBatch(session);
    }
  }

  async #handle(
    frame: Frame,
    session: Session,
    extended: ExtendedQuery,
    signal: AbortSignal,
  ): Promise<void> {
    if (frame.type !== 'Q') return extended.handle(frame, signal);
    const text = new messages.BodyReader(frame.bytes).string();
    const statements = parseStatements(text);
    if (statements.length === 0) this.#writer.write(messages.emptyQuery);
    for (const statement of statements) {
      const {result, position} = await session.execute(statement, [], signal);
      this.#writer.report(position);
      if (result.columns) {
        this.#writer.write(messages.rowDescription(result.columns));
      }
      await sendResult(this.#writer, result);
    }
  }

  #fail(session: Session, err: unknown): void {
    if (!(err instanceof SqlError) || err.severity === 'FATAL') throw err;
    session.fail();
    if (!this.#writer.reported) this.#writer.report(session.position);
    this.#writer.write(messages.errorResponse(err));
  }

  async #endBatch(session: Session): Promise<void> {
    let committed = undefined;
    try {
      committed = session.endBatch();
    } catch (err) {
      this.#fail(session, err);
    }
    if (!this.#writer.reported) this.#writer.report(session.position);
    if (committed) this.#writer.report(committed);
    this.#writer.write(messages.readyForQuery(session.transactionCode));
    this.#writer.endBatch();
    await this.#writer.flush();
  }

  /** Answers a fatal error, where the peer still listens. */
  async #refuse(err: unknown): Promise<void> {
    if (this.#socket.destroyed) return;
    const fatal =
      err instanceof FrameError
        ? new SqlError('08P01', err.message, 'FATAL')
        : err;
    if (!(fatal instanceof SqlError)) return;
    this.#writer.write(messages.errorResponse(fatal));
    await this.#writer.flush().catch(() => {});
  }
}
