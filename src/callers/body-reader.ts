/** Bounded reading of the fields inside one message from a caller. */
import {ProtocolError} from './socket-reader.js';

/** A cursor over one message body; every read is checked against its end. */
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

  /** A zero-terminated string. */
  cstring(): string {
    const end = this.#body.indexOf(0, this.#offset);
    if (end === -1) throw new ProtocolError('a string in a message has no end');
    const text = this.#body.toString('utf8', this.#offset, end);
    this.#offset = end + 1;
    return text;
  }

  /** Everything that has not been read. */
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
