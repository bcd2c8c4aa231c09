/** Writes frames to a socket and batches those of one event loop tick. */

import type {Socket} from 'node:net';
import {encodeFrame} from './framing.js';
import {CONNECTION_METHOD} from './peer-traffic.js';

/** Sending side of a connection. */
export class FrameWriter {
  readonly #socket: Socket;
  readonly #maxFrameBytes: number;
  readonly #onSent: (method: string, bytes: number) => void;
  #corked = false;
  #framesSent = 0;

  /** @param onSent Called with the size of each frame and its method. */
  constructor(
    socket: Socket,
    maxFrameBytes: number,
    onSent: (method: string, bytes: number) => void = () => {},
  ) {
    this.#socket = socket;
    this.#maxFrameBytes = maxFrameBytes;
    this.#onSent = onSent;
  }

  /** Number of frames written so far. */
  get framesSent(): number {
    return this.#framesSent;
  }

  /** Size of the socket's write buffer, which grows when the peer reads slowly. */
  get queuedBytes(): number {
    return this.#socket.writableLength;
  }

  /**
   * Writes a frame; returns its size, or 0 if the socket is closed. Throws
   * without writing anything if the value can't be encoded. `method` names the
   * call that the frame belongs to.
   */
  write(value: unknown, method = CONNECTION_METHOD): number {
    const frame = encodeFrame(value, this.#maxFrameBytes);
    if (!this.#socket.writable) return 0;
    this.#cork();
    this.#socket.write(frame);
    this.#framesSent++;
    this.#onSent(method, frame.length);
    return frame.length;
  }

  /** Resolves once the socket's write buffer is drained or the socket closed. */
  async waitForDrain(): Promise<void> {
    if (!this.#socket.writableNeedDrain) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        this.#socket.off('drain', finish);
        this.#socket.off('close', finish);
        resolve();
      };
      this.#socket.once('drain', finish);
      this.#socket.once('close', finish);
    });
  }

  #cork(): void {
    if (this.#corked) return;
    this.#corked = true;
    this.#socket.cork();
    process.nextTick(() => {
      this.#corked = false;
      this.#socket.uncork();
    });
  }
}
