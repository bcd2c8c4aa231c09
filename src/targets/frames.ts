/**
 * Splits a byte stream into PostgreSQL protocol v3 frames of limited length,
 * and builds and parses single frames.
 *
 * A frame is a whole message: a type byte, a 32-bit length that includes
 * itself, and the body.
 */

/** Default limit for the length of a received frame. */
export const DEFAULT_MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Length of the type byte and the length field. */
export const FRAME_HEADER_BYTES = 5;

const LENGTH_FIELD_BYTES = 4;

/** A whole frame. */
export interface Frame {
  /** The type byte as a character; empty for an untyped start-up frame. */
  readonly type: string;
  /** The whole frame, including its type byte and length field. */
  readonly bytes: Buffer;
}

/** The reason for which a byte stream can't be split into frames. */
export type FrameErrorKind = 'oversized' | 'malformed' | 'truncated';

/** The byte stream is not a sequence of valid frames within the limit. */
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
 * Splits the chunks of a byte stream into frames. Buffers at most one frame
 * and one chunk, since it reads a chunk only when the next frame needs it.
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

  /** Reads the next frame; undefined if the stream ends before it. */
  async next(): Promise<Frame | undefined> {
    return this.nextBuffered() ?? (await this.#read(1));
  }

  /** Returns the next frame if all of it is buffered. */
  nextBuffered(): Frame | undefined {
    return this.#takeBuffered(1);
  }

  /** Reads a frame without a type byte, as a client sends before log-in. */
  async nextUntyped(): Promise<Frame | undefined> {
    return this.#takeBuffered(0) ?? (await this.#read(0));
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Frame, void, void> {
    for (;;) {
      const frame = await this.next();
      if (frame === undefined) return;
      yield frame;
    }
  }

  /** Size of the next frame; undefined while its header is incomplete. */
  #frameSize(typeBytes: number): number | undefined {
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

  #takeBuffered(typeBytes: number): Frame | undefined {
    const size = this.#frameSize(typeBytes);
    if (size === undefined || size > this.#buffered.length) return undefined;
    const bytes = this.#buffered.subarray(0, size);
    this.#buffered = this.#buffered.subarray(size);
    const type = typeBytes === 0 ? '' : String.fromCharCode(bytes[0] ?? 0);
    return {type, bytes};
  }

  async #read(typeBytes: number): Promise<Frame | undefined> {
    // Joins the chunks only when the frame is complete: joining at each arrival
    // would copy a large frame once per chunk.
    const parts: Uint8Array[] = [this.#buffered];
    let length = this.#buffered.length;
    let needed = this.#frameSize(typeBytes);
    for (;;) {
      const chunk = await this.#chunks.next();
      if (chunk.done) break;
      parts.push(chunk.value);
      length += chunk.value.length;
      if (needed !== undefined && length < needed) continue;
      this.#buffered = joinChunks(parts, length);
      parts.splice(0, parts.length, this.#buffered);
      const frame = this.#takeBuffered(typeBytes);
      if (frame !== undefined) return frame;
      needed = this.#frameSize(typeBytes);
    }
    if (length === 0) return undefined;
    throw new FrameError(
      'truncated',
      `the stream ended ${length} bytes into a frame; reconnect`,
    );
  }
}

/**
 * Iterates over the frames in a buffer that holds only whole frames.
 *
 * @example
 * for (const {type} of splitFrames(answer)) types.push(type);
 */
export function* splitFrames(frames: Uint8Array): Generator<Frame> {
  const {buffer, byteOffset, byteLength} = frames;
  const all = Buffer.from(buffer, byteOffset, byteLength);
  for (let at = 0; at < all.length;) {
    const end = at + 1 + all.readInt32BE(at + 1);
    const type = String.fromCharCode(all[at] ?? 0);
    yield {type, bytes: all.subarray(at, end)};
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

/** The fields of an ErrorResponse or NoticeResponse that the proxy uses. */
export interface ErrorFields {
  readonly severity: string;
  readonly code: string;
  readonly message: string;
  readonly detail: string | undefined;
  readonly hint: string | undefined;
}

/** Parses an ErrorResponse or NoticeResponse frame. */
export function readErrorFields(frame: Uint8Array): ErrorFields {
  const fields = new Map<string, string>();
  for (const text of readCStrings(frame)) {
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

/** Parses a body of NUL-terminated strings, such as a ParameterStatus. */
export function readCStrings(frame: Uint8Array): readonly string[] {
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

/** Encodes a NUL-terminated string. */
export function cString(text: string): Buffer {
  return Buffer.from(`${text}\0`, 'utf8');
}

/** Encodes a 16-bit integer in network byte order. */
export function int16(value: number): Buffer {
  const bytes = Buffer.alloc(2);
  bytes.writeInt16BE(value);
  return bytes;
}

/** Encodes a 32-bit integer in network byte order. */
export function int32(value: number): Buffer {
  const bytes = Buffer.alloc(4);
  bytes.writeInt32BE(value);
  return bytes;
}
