/** Message loop of one client connection. */
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

/** Database name of control connections, which may call control functions. */
export const CONTROL_DATABASE = 'platform';

/** The parts of a database that a connection uses. */
export interface ConnectionHost {
  readonly options: DatabaseOptions;
  readonly member: GroupMember;
  readonly runner: StatementRunner;
  readonly gate: FreezeGate;
  recordCredentials(credentials: SeenCredentials): void;
  /** Registers a connection; throws SqlError 53300 above the limit. */
  admit(connection: ClientConnection, control: boolean): void;
  /** Cancels the running statement of the connection with this key. */
  cancel(processId: number, secret: number): void;
}

/** Serves one client connection. */
export class ClientConnection {
  readonly processId: number;
  readonly secret = Math.floor(Math.random() * 0x7fffffff);
  readonly #host: ConnectionHost;
  readonly #socket: net.Socket;
  readonly #reader: FrameReader;
  readonly #writer: AnswerWriter;
  #runningStatement: AbortController | undefined;

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
      await this.#sendFatalError(err);
    } finally {
      this.#socket.end();
    }
  }

  /** Cancels the running statement with SQLSTATE 57014. */
  cancel(): void {
    this.#runningStatement?.abort(
      new SqlError('57014', 'canceling statement due to user request'),
    );
  }

  /** Discards all further output while the connection stays open. */
  silence(): void {
    this.#writer.silence();
  }

  destroy(): void {
    this.#socket.destroy();
  }

  async #serve(): Promise<void> {
    const {gate, options} = this.#host;
    const request = await readStartup(this.#socket, this.#reader, this.#writer);
    await gate.waitUntilOpen();
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
      credentials => this.#host.recordCredentials(credentials),
    );
    // The close event has passed, so a closed socket would stay registered.
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
    let isSkippingToSync = false;
    for (;;) {
      const frame = await this.#reader.next();
      if (frame === undefined || frame.type === 'X') return;
      await this.#host.gate.waitUntilOpen();
      if (this.#writer.isSilenced) continue;
      if (frame.type === 'S') {
        isSkippingToSync = false;
        await this.#endBatch(session);
        continue;
      }
      if (isSkippingToSync) continue;
      const running = new AbortController();
      this.#runningStatement = running;
      try {
        await this.#handle(frame, session, extended, running.signal);
      } catch (err) {
        isSkippingToSync = frame.type !== 'Q';
        this.#reportError(session, err);
      } finally {
        this.#runningStatement = undefined;
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
      this.#writer.reportPosition(position);
      if (result.columns) {
        this.#writer.write(messages.rowDescription(result.columns));
      }
      await sendResult(this.#writer, result);
    }
  }

  #reportError(session: Session, err: unknown): void {
    if (!(err instanceof SqlError) || err.severity === 'FATAL') throw err;
    session.fail();
    if (!this.#writer.hasReportedPosition)
      this.#writer.reportPosition(session.position);
    this.#writer.write(messages.errorResponse(err));
  }

  async #endBatch(session: Session): Promise<void> {
    let committed = undefined;
    try {
      committed = session.endBatch();
    } catch (err) {
      this.#reportError(session, err);
    }
    if (!this.#writer.hasReportedPosition)
      this.#writer.reportPosition(session.position);
    if (committed) this.#writer.reportPosition(committed);
    this.#writer.write(messages.readyForQuery(session.transactionCode));
    this.#writer.endBatch();
    await this.#writer.flush();
  }

  /** Sends a fatal error if the socket is still open. */
  async #sendFatalError(err: unknown): Promise<void> {
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
