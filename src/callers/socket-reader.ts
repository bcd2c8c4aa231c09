/**
 * Pull-based reader of protocol messages from a caller's socket. Unread bytes
 * stay in the socket: that gives backpressure, and a TLS upgrade finds there
 * the bytes that follow the SSLRequest.
 */
import type {Duplex} from 'node:stream';
import {FRAME_HEADER_BYTES, type Frame as RawFrame} from '../targets/frames.js';

const PROTOCOL_VIOLATION = '08P01';

/** The caller violated the protocol. */
export class ProtocolError extends Error {
  constructor(
    message: string,
    readonly sqlstate = PROTOCOL_VIOLATION,
  ) {
    super(message);
    this.name = 'ProtocolError';
  }
}

/** A message, also with its body alone. */
export interface Frame extends RawFrame {
  readonly body: Buffer;
}

const LENGTH_BYTES = 4;

/** Reads messages from a socket; a socket may have only one reader. */
export class SocketReader {
  readonly #socket: Duplex;
  #ended = false;
  #stopped = false;
  #wake: (() => void) | undefined;

  constructor(socket: Duplex) {
    this.#socket = socket;
    const end = () => {
      this.#ended = true;
      this.#wake?.();
    };
    socket.on('readable', () => this.#wake?.());
    socket.on('end', end);
    socket.on('close', end);
    socket.on('error', end);
  }

  /** Makes pending and later reads return undefined, as at a closed connection. */
  stop(): void {
    this.#stopped = true;
    this.#ended = true;
    this.#wake?.();
  }

  /** Reads exactly `count` bytes; undefined if the stream ends before the first. */
  async read(count: number): Promise<Buffer | undefined> {
    for (;;) {
      if (this.#stopped) return undefined;
      const chunk = this.#socket.read(count) as Buffer | null;
      if (chunk !== null && chunk.length === count) return chunk;
      if (chunk !== null && chunk.length > 0) {
        throw new ProtocolError('the connection ended within a message');
      }
      if (this.#ended || this.#socket.destroyed) return undefined;
      await new Promise<void>(resolve => (this.#wake = resolve));
      this.#wake = undefined;
    }
  }

  /** Reads the body of a start-up packet, which has no type byte. */
  async readStartup(maxBytes: number): Promise<Buffer | undefined> {
    const header = await this.read(LENGTH_BYTES);
    if (header === undefined) return undefined;
    const length = header.readInt32BE(0);
    if (length < LENGTH_BYTES * 2 || length > maxBytes) {
      throw new ProtocolError(
        `a start-up packet of ${length} bytes is not PostgreSQL protocol v3`,
      );
    }
    return this.#body(length - LENGTH_BYTES);
  }

  /** Reads the next message; undefined if the connection has ended. */
  async readFrame(maxBytes: number): Promise<Frame | undefined> {
    const header = await this.read(FRAME_HEADER_BYTES);
    if (header === undefined) return undefined;
    const length = header.readInt32BE(1);
    if (length < LENGTH_BYTES || length > maxBytes) {
      throw new ProtocolError(
        `a message of ${length} bytes was refused; the limit is ${maxBytes}`,
      );
    }
    const bodyBytes = length - LENGTH_BYTES;
    const body =
      bodyBytes === 0 ? Buffer.alloc(0) : await this.#body(bodyBytes);
    return {
      type: String.fromCharCode(header[0] ?? 0),
      body,
      bytes: Buffer.concat([header, body]),
    };
  }

  async #body(count: number): Promise<Buffer> {
    const body = await this.read(count);
    if (body === undefined) {
      throw new ProtocolError('the connection ended within a message');
    }
    return body;
  }
}
