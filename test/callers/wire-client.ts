/** A caller that sends and receives single protocol messages. */
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

/** Who logs in. */
export interface Login {
  readonly team?: string;
  readonly key?: string;
  readonly database?: string;
  readonly params?: Readonly<Record<string, string>>;
}

/** A raw connection to a caller port. */
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

  /** The next message; undefined once the server has closed. */
  next(): Promise<Frame | undefined> {
    return this.#reader.next();
  }

  /** Messages up to one of type `last`, or to the end of the connection. */
  async until(last: string): Promise<readonly Frame[]> {
    const frames: Frame[] = [];
    for (;;) {
      const frame = await this.next();
      if (frame === undefined) return frames;
      frames.push(frame);
      if (frame.type === last) return frames;
    }
  }

  /** Logs in as the stock client does; the messages up to ReadyForQuery. */
  async logIn(login: Login = {}): Promise<readonly Frame[]> {
    const {team = 'red', key = keyOf(team), database = GROUP} = login;
    this.send(serialize.startup({user: team, database, ...login.params}));
    const asked = await this.until('R');
    this.send(serialize.password(key));
    return [...asked, ...(await this.until('Z'))];
  }

  /** Runs a simple query; the messages up to ReadyForQuery. */
  query(sql: string): Promise<readonly Frame[]> {
    this.send(serialize.query(sql));
    return this.until('Z');
  }

  /** Resolves once the connection has closed. */
  async closed(): Promise<void> {
    try {
      while ((await this.next()) !== undefined);
    } catch {
      // A reset closes the connection as well.
    }
    if (!this.socket.destroyed) await once(this.socket, 'close');
  }

  destroy(): void {
    this.socket.destroy();
  }
}

/** The types of messages, in order, as one string. */
export function typesOf(frames: readonly Frame[]): string {
  return frames.map(({type}) => type).join('');
}

/** The SQLSTATEs of the errors among messages. */
export function codesOf(frames: readonly Frame[]): readonly string[] {
  return frames
    .filter(({type}) => type === 'E')
    .map(({bytes}) => readErrorFields(bytes).code);
}

/** The first column of each row among messages, as text. */
export function rowsOf(frames: readonly Frame[]): readonly string[] {
  return frames
    .filter(({type}) => type === 'D')
    .map(({bytes}) => readValues(bytes)[0] ?? '');
}
