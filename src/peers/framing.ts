/** Length-prefixed CBOR frames over a byte stream. */

import {Encoder} from 'cbor-x';

/** Default limit of a frame's payload, both sent and received. */
export const DEFAULT_MAX_FRAME_BYTES = 4 * 1024 * 1024;

const LENGTH_PREFIX_BYTES = 4;

/** Why a frame was rejected. */
export type FrameErrorKind = 'oversized' | 'truncated' | 'undecodable';

/**
 * Thrown for a frame that can't be sent or read. After one that can't be read,
 * the connection must be closed.
 */
export class FrameError extends Error {
  constructor(
    readonly kind: FrameErrorKind,
    message: string,
  ) {
    super(message);
    this.name = 'FrameError';
  }
}

/** A decoded frame and its size on the wire. */
export interface Frame {
  readonly value: unknown;
  readonly bytes: number;
}

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
});

/**
 * Encodes a value with its length prefix.
 *
 * A bigint that fits a safe integer is decoded as a number.
 *
 * @example
 * socket.write(encodeFrame({kind: 'ping'}));
 */
export function encodeFrame(
  value: unknown,
  maxFrameBytes = DEFAULT_MAX_FRAME_BYTES,
): Buffer {
  const payload = codec.encode(value);
  if (payload.length > maxFrameBytes) {
    throw new FrameError(
      'oversized',
      `frame of ${payload.length} bytes exceeds ${maxFrameBytes}; ` +
        'send it in parts or raise the limit on every node',
    );
  }
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.set(payload, LENGTH_PREFIX_BYTES);
  return frame;
}

/** Splits a byte stream into frames. */
export class FrameDecoder {
  #chunks: Buffer[] = [];
  #buffered = 0;
  #maxFrameBytes: number;

  constructor(maxFrameBytes = DEFAULT_MAX_FRAME_BYTES) {
    this.#maxFrameBytes = maxFrameBytes;
  }

  /** Sets the size limit of the frames that follow. */
  setMaxFrameBytes(maxFrameBytes: number): void {
    this.#maxFrameBytes = maxFrameBytes;
  }

  /**
   * Buffers a chunk of the stream and yields the frames that it completes.
   *
   * @example
   * for (const frame of decoder.push(chunk)) handle(frame.value);
   */
  *push(chunk: Buffer): Generator<Frame> {
    this.#chunks.push(chunk);
    this.#buffered += chunk.length;
    for (;;) {
      const length = this.#readPayloadLength();
      if (length === undefined) return;
      if (this.#buffered < LENGTH_PREFIX_BYTES + length) return;
      const frame = this.#consume(LENGTH_PREFIX_BYTES + length);
      yield {
        value: decodePayload(frame.subarray(LENGTH_PREFIX_BYTES)),
        bytes: frame.length,
      };
    }
  }

  /** Call at the end of the stream; throws if it ended inside a frame. */
  end(): void {
    if (this.#buffered === 0) return;
    throw new FrameError(
      'truncated',
      `stream ended with ${this.#buffered} bytes of an unfinished frame`,
    );
  }

  #readPayloadLength(): number | undefined {
    if (this.#buffered < LENGTH_PREFIX_BYTES) return undefined;
    if (this.#chunks[0]!.length < LENGTH_PREFIX_BYTES) this.#joinChunks();
    const length = this.#chunks[0]!.readUInt32BE(0);
    if (length <= this.#maxFrameBytes) return length;
    throw new FrameError(
      'oversized',
      `incoming frame announces ${length} bytes, limit ${this.#maxFrameBytes}`,
    );
  }

  #consume(bytes: number): Buffer {
    if (this.#chunks[0]!.length < bytes) this.#joinChunks();
    const first = this.#chunks[0]!;
    const rest = first.subarray(bytes);
    if (rest.length > 0) this.#chunks[0] = rest;
    else this.#chunks.shift();
    this.#buffered -= bytes;
    return first.subarray(0, bytes);
  }

  #joinChunks(): void {
    this.#chunks = [Buffer.concat(this.#chunks)];
  }
}

function decodePayload(payload: Buffer): unknown {
  try {
    return codec.decode(payload);
  } catch (err) {
    throw new FrameError(
      'undecodable',
      `frame of ${payload.length} bytes is not CBOR: ${String(err)}`,
    );
  }
}
