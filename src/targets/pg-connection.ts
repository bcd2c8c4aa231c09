/** Client connection to a database over the PostgreSQL protocol v3. */
import {once} from 'node:events';
import net from 'node:net';
import {serialize} from 'pg-protocol';
import {AnswerReader} from './answer-reader.js';
import {
  DEFAULT_MAX_FRAME_BYTES,
  FrameError,
  FrameReader,
  readErrorFields,
  type Frame,
} from './frames.js';
import {
  TargetError,
  type AnswerObserver,
  type BatchOutcome,
  type TargetConnection,
  type TransactionStatus,
} from './types.js';

/** Address, credentials and limits of a connection. */
export interface PgTargetOptions {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly password: string;
  readonly database: string;
  /** Timeout of connecting with authentication, and of a cancel request. */
  readonly timeoutMs: number;
  readonly maxFrameBytes?: number;
}

const AUTHENTICATION_OK = 0;
const AUTHENTICATION_CLEARTEXT = 3;

/** CopyInResponse, CopyOutResponse and CopyBothResponse. */
const COPY_TYPES: ReadonlySet<string> = new Set(['G', 'H', 'W']);

/** NoticeResponse, ParameterStatus, NotificationResponse: sent at any time. */
const ASYNC_TYPES: ReadonlySet<string> = new Set(['N', 'S', 'A']);

/** Backend key data, which a CancelRequest must contain. */
interface BackendKey {
  readonly processId: number;
  readonly secretKey: number;
}

/**
 * One connection to a PostgreSQL database, used for one batch at a time.
 *
 * @example
 * const connection = await PgTargetConnection.connect(options);
 * const end = await connection.run(serialize.query('SELECT 1'), observer);
 */
export class PgTargetConnection implements TargetConnection {
  readonly #socket: net.Socket;
  readonly #reader: FrameReader;
  readonly #options: PgTargetOptions;
  #key: BackendKey | undefined;
  #transaction: TransactionStatus = 'idle';
  #running = false;
  #closed = false;
  /** The pending read of an idle connection, which detects that it was closed. */
  #idleRead: Promise<Frame | undefined> | undefined;

  private constructor(socket: net.Socket, options: PgTargetOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#reader = new FrameReader(
      socket,
      options.maxFrameBytes ?? DEFAULT_MAX_FRAME_BYTES,
    );
    socket.on('close', () => (this.#closed = true));
  }

  /** Connects and authenticates within `options.timeoutMs`. */
  static async connect(options: PgTargetOptions): Promise<PgTargetConnection> {
    const socket = net.connect({host: options.host, port: options.port});
    socket.setNoDelay(true);
    // The reader reports errors; without a listener a late one would be thrown.
    socket.on('error', () => {});
    const endpoint = `${options.host}:${options.port}`;
    const timer = setTimeout(
      () => socket.destroy(new Error(`no answer in ${options.timeoutMs} ms`)),
      options.timeoutMs,
    );
    try {
      await once(socket, 'connect');
      const connection = new PgTargetConnection(socket, options);
      await connection.#startUp();
      return connection;
    } catch (err) {
      socket.destroy();
      if (err instanceof TargetError) throw err;
      throw new TargetError(
        'notSent',
        `cannot connect to ${endpoint}: ${describeError(err)}`,
      );
    } finally {
      clearTimeout(timer);
    }
  }

  get usable(): boolean {
    return !this.#closed && !this.#socket.destroyed;
  }

  get transaction(): TransactionStatus {
    return this.#transaction;
  }

  async run(
    frames: Uint8Array,
    observer: AnswerObserver,
  ): Promise<BatchOutcome> {
    if (this.#running) {
      throw new TargetError('notSent', 'another batch runs on this connection');
    }
    if (!this.usable) {
      throw new TargetError('notSent', 'the connection is closed; reconnect');
    }
    this.#running = true;
    try {
      this.#socket.write(frames);
      return await this.#readAnswer(observer);
    } catch (err) {
      this.close();
      if (err instanceof FrameError) throw new TargetError('lost', err.message);
      throw err;
    } finally {
      this.#running = false;
      if (this.usable) this.#watchIdle();
    }
  }

  async cancel(): Promise<void> {
    if (this.#key === undefined || !this.usable) return;
    const {host, port, timeoutMs} = this.#options;
    const socket = net.connect({host, port});
    socket.setTimeout(timeoutMs, () => socket.destroy());
    socket.on('error', () => {});
    socket.end(serialize.cancel(this.#key.processId, this.#key.secretKey));
    socket.resume();
    await new Promise<void>(resolve => socket.once('close', () => resolve()));
  }

  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    if (this.#running) {
      this.#socket.destroy();
    } else {
      this.#socket.end(serialize.end());
      this.#socket.resume();
      this.#socket.setTimeout(this.#options.timeoutMs, () =>
        this.#socket.destroy(),
      );
    }
  }

  async #startUp(): Promise<void> {
    const {user, database, password} = this.#options;
    this.#socket.write(serialize.startup({user, database}));
    for (;;) {
      const frame = await this.#reader.next();
      if (frame === undefined) throw new Error('closed during start-up');
      switch (frame.type) {
        case 'R':
          this.#authenticate(frame, password);
          break;
        case 'K':
          this.#key = {
            processId: frame.bytes.readInt32BE(5),
            secretKey: frame.bytes.readInt32BE(9),
          };
          break;
        case 'E': {
          const {code, message} = readErrorFields(frame.bytes);
          throw new TargetError('refused', message, code);
        }
        case 'Z':
          this.#watchIdle();
          return;
      }
    }
  }

  #authenticate(frame: Frame, password: string): void {
    const method = frame.bytes.readInt32BE(5);
    if (method === AUTHENTICATION_OK) return;
    if (method === AUTHENTICATION_CLEARTEXT) {
      this.#socket.write(serialize.password(password));
      return;
    }
    throw new TargetError(
      'refused',
      `the database asks for authentication method ${method}; configure password authentication for the proxy's user`,
    );
  }

  async #readAnswer(observer: AnswerObserver): Promise<BatchOutcome> {
    const answer = new AnswerReader(observer);
    for (;;) {
      const frame =
        this.#reader.nextBuffered() ?? (await this.#nextFrame(answer));
      if (frame.type === 'Z') {
        await answer.flush();
        this.#transaction = readTransactionStatus(frame);
        return answer.finish(this.#transaction);
      }
      if (COPY_TYPES.has(frame.type)) {
        throw new TargetError(
          'lost',
          'the database started a COPY, which is not supported',
        );
      }
      await answer.add(frame);
    }
  }

  /** Flushes the frames received so far, then waits for the next one. */
  async #nextFrame(answer: AnswerReader): Promise<Frame> {
    await answer.flush();
    const idleRead = this.#idleRead;
    this.#idleRead = undefined;
    let frame: Frame | undefined;
    try {
      frame = await (idleRead ?? this.#reader.next());
    } catch (err) {
      throw new TargetError('lost', describeError(err));
    }
    if (frame !== undefined) return frame;
    throw new TargetError('lost', 'the connection closed during an answer');
  }

  #watchIdle(): void {
    this.#idleRead = this.#reader.next();
    this.#idleRead.then(
      frame => {
        if (this.#running) return;
        if (frame === undefined || !ASYNC_TYPES.has(frame.type)) this.close();
      },
      () => this.close(),
    );
  }
}

function readTransactionStatus(frame: Frame): TransactionStatus {
  switch (String.fromCharCode(frame.bytes[5] ?? 0)) {
    case 'T':
      return 'open';
    case 'E':
      return 'failed';
    default:
      return 'idle';
  }
}

function describeError(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
