/** Test client of the platform's line protocol. */
import {connect, type Socket} from 'node:net';
import {LineReader} from '../../platform/lines.js';

/** The reply to one statement. */
export interface LineReply {
  readonly rows: readonly string[];
  /** The DONE or ERROR line. */
  readonly end: string;
  /** Transaction state letter of the READY line: I, T or E. */
  readonly state: string;
}

let requestCount = 0;

/** One connection with its session. */
export class LineClient {
  readonly #socket: Socket;
  readonly #lines: LineReader;

  private constructor(socket: Socket) {
    this.#socket = socket;
    this.#lines = new LineReader(socket);
  }

  /** Connects and sends START; `hello` is the first line of the reply. */
  static async open(
    port: number,
    start: string,
    host = '127.0.0.1',
  ): Promise<{readonly client: LineClient; readonly hello: string}> {
    const socket = connect({host, port, noDelay: true});
    const client = new LineClient(socket);
    socket.write(`START ${start}\r\n`, 'utf8');
    const hello = (await client.#lines.next()) ?? 'closed';
    return {client, hello};
  }

  /**
   * Runs one statement under a new request id.
   *
   * @throws Error if the connection closes before the reply is complete
   */
  async query(text: string): Promise<LineReply> {
    const id = `r${++requestCount}`;
    const {reply, end} = await this.#exchange([`QUERY ${id} ${text}\r\n`]);
    if (reply === undefined) throw new Error(`closed after "${end}"`);
    return reply;
  }

  /**
   * Sends one statement, each part in a segment of its own; undefined if the
   * connection closes before the reply is complete.
   */
  async request(parts: readonly string[]): Promise<LineReply | undefined> {
    return (await this.#exchange(parts)).reply;
  }

  /** Sends a statement; `end` is what its reply had of a DONE or ERROR line. */
  async #exchange(
    parts: readonly string[],
  ): Promise<{readonly reply?: LineReply; readonly end: string}> {
    for (const [n, part] of parts.entries()) {
      if (n > 0) await new Promise(resolve => setTimeout(resolve, 1));
      this.sendBytes(part);
    }
    const rows: string[] = [];
    let end = '';
    for (;;) {
      const line = await this.#lines.next();
      if (line === undefined) return {end};
      if (line.startsWith('ROW ')) rows.push(line.slice(4));
      else if (line.startsWith('READY ')) {
        const state = line.split(' ')[1] ?? '';
        return {reply: {rows, end, state}, end};
      } else end = line;
    }
  }

  /** Sends a raw line. */
  send(line: string): void {
    this.sendBytes(`${line}\r\n`);
  }

  /** Sends bytes, one for each character. */
  sendBytes(bytes: string): void {
    this.#socket.write(bytes, 'latin1');
  }

  /** Waits for the next line; undefined once the connection is closed. */
  nextLine(): Promise<string | undefined> {
    return this.#lines.next();
  }

  /** Stops reading until `resume`. */
  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  close(): void {
    this.#socket.destroy();
  }
}
