/** Writes frames to a socket and batches those of one event loop tick. */

import type {Socket} from 'node:net';
import {encodeFrame} from './framing.js';

/** Sending side of a connection. */
export class FrameWriter {
  readonly #socket: Socket;
  readonly #maxFrameBytes: number;
  #corked = false;
  #framesSent = 0;

  constructor(socket: Socket, maxFrameBytes: number) {
    this.#socket = socket;
    this.#maxFrameBytes = maxFrameBytes;
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
   * without writing anything if the value can't be encoded.
   */
  write(value: unknown): number {
    const frame = encodeFrame(value, this.#maxFrameBytes);
    if (!this.#socket.writable) return 0;
    this.#cork();
    this.#socket.write(frame);
    this.#framesSent++;
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
