/** Test client that sends and receives single PostgreSQL messages. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import {
  FrameReader,
  readErrorFields,
  type Frame,
} from '../../src/targets/frames.js';
import {readValues} from '../../src/targets/query-rows.js';
import {GROUP, keyOf} from './fakes.js';

const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Credentials and start-up parameters of a log-in. */
export interface Login {
  readonly team?: string;
  readonly key?: string;
  readonly database?: string;
  readonly params?: Readonly<Record<string, string>>;
}

/** A raw connection to a caller server. */
export class WireClient {
  readonly socket: Socket;
  readonly #reader: FrameReader;

  private constructor(socket: Socket) {
    this.socket = socket;
    this.#reader = new FrameReader(socket, MAX_FRAME_BYTES);
    socket.on('error', () => {});
  }

  static async connect(port: number): Promise<WireClient> {
    const socket = connect(port, '127.0.0.1');
    socket.setNoDelay(true);
    await once(socket, 'connect');
    return new WireClient(socket);
  }

  send(...messages: readonly Uint8Array[]): void {
    this.socket.write(Buffer.concat(messages));
  }

  /** Reads the next message; undefined if the server has closed. */
  next(): Promise<Frame | undefined> {
    return this.#reader.next();
  }

  /** Reads up to a message of type `last` or to the end of the connection. */
  async readUntil(last: string): Promise<readonly Frame[]> {
    const frames: Frame[] = [];
    for (;;) {
      const frame = await this.next();
      if (frame === undefined) return frames;
      frames.push(frame);
      if (frame.type === last) return frames;
    }
  }

  /** Logs in with a key; returns the messages up to ReadyForQuery. */
  async logIn(login: Login = {}): Promise<readonly Frame[]> {
    const {team = 'red', key = keyOf(team), database = GROUP} = login;
    this.send(serialize.startup({user: team, database, ...login.params}));
    const authentication = await this.readUntil('R');
    this.send(serialize.password(key));
    return [...authentication, ...(await this.readUntil('Z'))];
  }

  /** Runs a simple query; returns the messages up to ReadyForQuery. */
  query(sql: string): Promise<readonly Frame[]> {
    this.send(serialize.query(sql));
    return this.readUntil('Z');
  }

  /** Resolves once the connection has closed. */
  async waitForClose(): Promise<void> {
    try {
      while ((await this.next()) !== undefined);
    } catch {
      // A connection reset counts as closed.
    }
    if (!this.socket.destroyed) await once(this.socket, 'close');
  }

  destroy(): void {
    this.socket.destroy();
  }
}

/** Returns the type bytes of messages, in order, as one string. */
export function typesOf(frames: readonly Frame[]): string {
  return frames.map(({type}) => type).join('');
}

/** Returns the SQLSTATEs of the ErrorResponse messages. */
export function codesOf(frames: readonly Frame[]): readonly string[] {
  return frames
    .filter(({type}) => type === 'E')
    .map(({bytes}) => readErrorFields(bytes).code);
}

/** Returns the first column of each DataRow as text. */
export function rowsOf(frames: readonly Frame[]): readonly string[] {
  return frames
    .filter(({type}) => type === 'D')
    .map(({bytes}) => readValues(bytes)[0] ?? '');
}
