/** Writes frames to a socket, all those of one tick together. */

import type {Socket} from 'node:net';
import {encodeFrame} from './framing.js';

/** The sending half of a connection. */
export class FrameWriter {
  readonly #socket: Socket;
  readonly #maxFrameBytes: number;
  #corked = false;
  #framesSent = 0;

  constructor(socket: Socket, maxFrameBytes: number) {
    this.#socket = socket;
    this.#maxFrameBytes = maxFrameBytes;
  }

  /** Frames handed to the socket so far. */
  get framesSent(): number {
    return this.#framesSent;
  }

  /** Bytes handed to the socket that the other end has not yet taken. */
  get queuedBytes(): number {
    return this.#socket.writableLength;
  }

  /**
   * Hands a frame to the socket; returns its bytes, or 0 if the socket is
   * closed. Throws, having written nothing, if the value can't be encoded.
   */
  write(value: unknown): number {
    const frame = encodeFrame(value, this.#maxFrameBytes);
    if (!this.#socket.writable) return 0;
    this.#cork();
    this.#socket.write(frame);
    this.#framesSent++;
    return frame.length;
  }

  /** Resolves once the socket's queue is empty or the socket is closed. */
  async drained(): Promise<void> {
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
