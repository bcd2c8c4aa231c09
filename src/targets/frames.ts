/**
 * Length-bounded splitting of PostgreSQL protocol v3 messages into frames, and
 * small helpers to build and read them.
 *
 * A frame is one type byte, a 32-bit length that counts itself, and the body.
 */

/** The largest frame accepted unless a caller sets another bound. */
export const DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Bytes of a frame before its body. */
export const FRAME_HEADER_BYTES = 5;

const LENGTH_FIELD_BYTES = 4;

/** One whole frame. */
export interface Frame {
  /** The type byte as a character; empty for an untyped start-up frame. */
  readonly type: string;
  /** The whole frame, with its type byte and length. */
  readonly bytes: Buffer;
}

/** Why a byte stream could not be split into frames. */
export type FrameErrorKind = 'oversized' | 'malformed' | 'truncated';

/** A byte stream that is not a sequence of acceptable frames. */
export class FrameError extends Error {
  constructor(
    readonly kind: FrameErrorKind,
    message: string,
  ) {
    super(message);
    this.name = 'FrameError';
  }
}

/**
 * Splits chunks of a byte stream into frames. Memory is bounded by one frame
 * and one chunk, since the next chunk is read only when a frame needs it.
 *
 * @example
 * for await (const frame of new FrameReader(socket)) handle(frame.type);
 */
export class FrameReader {
  readonly #chunks: AsyncIterator<Uint8Array>;
  readonly #maxFrameBytes: number;
  #buffered: Buffer = Buffer.alloc(0);

  constructor(
    source: AsyncIterable<Uint8Array>,
    maxFrameBytes = DEFAULT_MAX_FRAME_BYTES,
  ) {
    this.#chunks = source[Symbol.asyncIterator]();
    this.#maxFrameBytes = maxFrameBytes;
  }

  /** The next frame; undefined at an end of stream between frames. */
  async next(): Promise<Frame | undefined> {
    return this.take() ?? (await this.#read(1));
  }

  /** The next frame if all of it has arrived. */
  take(): Frame | undefined {
    return this.#take(1);
  }

  /** The next frame without a type byte, as sent before authentication. */
  async nextUntyped(): Promise<Frame | undefined> {
    return this.#take(0) ?? (await this.#read(0));
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Frame, void, void> {
    for (;;) {
      const frame = await this.next();
      if (frame === undefined) return;
      yield frame;
    }
  }

  /** The whole frame's size, or undefined while its header is incomplete. */
  #frameBytes(typeBytes: number): number | undefined {
    if (this.#buffered.length < typeBytes + LENGTH_FIELD_BYTES)
      return undefined;
    const length = this.#buffered.readInt32BE(typeBytes);
    if (length < LENGTH_FIELD_BYTES) {
      throw new FrameError(
        'malformed',
        `frame length ${length} is too small; the peer does not speak protocol v3`,
      );
    }
    if (length + typeBytes > this.#maxFrameBytes) {
      throw new FrameError(
        'oversized',
        `frame of ${length + typeBytes} bytes exceeds the limit of ${this.#maxFrameBytes}; send smaller messages or raise the limit`,
      );
    }
    return length + typeBytes;
  }

  #take(typeBytes: number): Frame | undefined {
    const size = this.#frameBytes(typeBytes);
    if (size === undefined || size > this.#buffered.length) return undefined;
    const bytes = this.#buffered.subarray(0, size);
    this.#buffered = this.#buffered.subarray(size);
    const type = typeBytes === 0 ? '' : String.fromCharCode(bytes[0] ?? 0);
    return {type, bytes};
  }

  async #read(typeBytes: number): Promise<Frame | undefined> {
    // Chunks are joined once a frame is whole, not at each arrival: a large
    // frame would otherwise be copied as often as it has chunks.
    const parts: Uint8Array[] = [this.#buffered];
    let length = this.#buffered.length;
    let needed = this.#frameBytes(typeBytes);
    for (;;) {
      const chunk = await this.#chunks.next();
      if (chunk.done) break;
      parts.push(chunk.value);
      length += chunk.value.length;
      if (needed !== undefined && length < needed) continue;
      this.#buffered = joinChunks(parts, length);
      parts.splice(0, parts.length, this.#buffered);
      const frame = this.#take(typeBytes);
      if (frame !== undefined) return frame;
      needed = this.#frameBytes(typeBytes);
    }
    if (length === 0) return undefined;
    throw new FrameError(
      'truncated',
      `the stream ended ${length} bytes into a frame; reconnect`,
    );
  }
}

/**
 * Splits bytes that a {@link FrameReader} has delivered, so whole frames only.
 *
 * @example
 * for (const {type} of splitFrames(bytes)) types.push(type);
 */
export function* splitFrames(bytes: Buffer): Iterable<Frame> {
  for (let at = 0; at < bytes.length;) {
    const end = at + 1 + bytes.readInt32BE(at + 1);
    yield {
      type: String.fromCharCode(bytes[at] ?? 0),
      bytes: bytes.subarray(at, end),
    };
    at = end;
  }
}

function joinChunks(parts: readonly Uint8Array[], length: number): Buffer {
  const filled = parts.filter(part => part.length > 0);
  const only = filled.length === 1 ? filled[0] : undefined;
  if (only !== undefined) {
    return Buffer.from(only.buffer, only.byteOffset, only.byteLength);
  }
  return Buffer.concat(filled, length);
}

/** The fields of an ErrorResponse or NoticeResponse that callers act on. */
export interface ErrorFields {
  readonly severity: string;
  readonly code: string;
  readonly message: string;
  readonly detail: string | undefined;
  readonly hint: string | undefined;
}

/** Reads an ErrorResponse or NoticeResponse frame. */
export function readErrorFields(frame: Uint8Array): ErrorFields {
  const fields = new Map<string, string>();
  for (const text of readStrings(frame)) {
    if (text !== '') fields.set(text.charAt(0), text.slice(1));
  }
  return {
    severity: fields.get('S') ?? 'ERROR',
    code: fields.get('C') ?? 'XX000',
    message: fields.get('M') ?? '',
    detail: fields.get('D'),
    hint: fields.get('H'),
  };
}

/** Reads the NUL-terminated strings of a frame's body, as in ParameterStatus. */
export function readStrings(frame: Uint8Array): readonly string[] {
  const body = Buffer.from(frame.buffer, frame.byteOffset, frame.byteLength);
  const strings = body.toString('utf8', FRAME_HEADER_BYTES).split('\0');
  strings.pop();
  return strings;
}

/**
 * Builds a frame from its type and the parts of its body.
 *
 * @example
 * buildFrame('Z', Buffer.from('I'));
 */
export function buildFrame(type: string, ...parts: Uint8Array[]): Buffer {
  const header = Buffer.alloc(type.length + LENGTH_FIELD_BYTES);
  const bodyBytes = parts.reduce((sum, part) => sum + part.length, 0);
  header.write(type, 'latin1');
  header.writeInt32BE(bodyBytes + LENGTH_FIELD_BYTES, type.length);
  return Buffer.concat([header, ...parts]);
}

/** A NUL-terminated string as protocol messages hold it. */
export function cString(text: string): Buffer {
  return Buffer.from(`${text}\0`, 'utf8');
}

/** A 16-bit integer in network order. */
export function int16(value: number): Buffer {
  const bytes = Buffer.alloc(2);
  bytes.writeInt16BE(value);
  return bytes;
}

/** A 32-bit integer in network order. */
export function int32(value: number): Buffer {
  const bytes = Buffer.alloc(4);
  bytes.writeInt32BE(value);
  return bytes;
}
