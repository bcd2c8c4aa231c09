/** Bounds-checked parser for the fields of a caller's message. */
import {ProtocolError} from './socket-reader.js';

/** Reads the fields of a message body in order, never beyond its end. */
export class BodyReader {
  readonly #body: Buffer;
  #offset = 0;

  constructor(body: Buffer) {
    this.#body = body;
  }

  get atEnd(): boolean {
    return this.#offset >= this.#body.length;
  }

  byte(): number {
    return this.#take(1).readUInt8(0);
  }

  int32(): number {
    return this.#take(4).readInt32BE(0);
  }

  /** Reads a NUL-terminated string. */
  cstring(): string {
    const end = this.#body.indexOf(0, this.#offset);
    if (end === -1) throw new ProtocolError('a string in a message has no end');
    const text = this.#body.toString('utf8', this.#offset, end);
    this.#offset = end + 1;
    return text;
  }

  /** The unread rest of the body; does not advance. */
  rest(): Buffer {
    return this.#body.subarray(this.#offset);
  }

  #take(count: number): Buffer {
    if (this.#offset + count > this.#body.length) {
      throw new ProtocolError('a message ended before its last field');
    }
    const bytes = this.#body.subarray(this.#offset, this.#offset + count);
    this.#offset += count;
    return bytes;
  }
}
