/** Buffers the messages sent on a connection and adds log positions. */
import type net from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {
  comparePositions,
  formatPosition,
  type Position,
} from '../../src/session/position.js';
import {POSITION_PARAMETER} from '../../src/targets/answer-reader.js';
import {parameterStatus} from './messages.js';
import type {FreezeGate} from './signal.js';

/** Buffered bytes at which {@link AnswerWriter.flushIfLarge} sends them. */
const FLUSH_BYTES = 32 * 1024;

/** Writes the messages of one connection with backpressure. */
export class AnswerWriter {
  readonly #socket: net.Socket;
  readonly #gate: FreezeGate;
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  #reportedPosition: Position | undefined;
  #isSilenced = false;

  constructor(socket: net.Socket, gate: FreezeGate) {
    this.#socket = socket;
    this.#gate = gate;
  }

  /** Discards all further output while the connection stays open. */
  silence(): void {
    this.#isSilenced = true;
  }

  get isSilenced(): boolean {
    return this.#isSilenced;
  }

  write(frame: Buffer): void {
    this.#pending.push(frame);
    this.#pendingBytes += frame.length;
  }

  /**
   * Adds a ParameterStatus with the position at which a statement ran, if it
   * changed. The first one of a batch precedes all other messages of the batch,
   * so the responses to Parse and Bind stay buffered until then.
   */
  reportPosition(position: Position): void {
    const previous = this.#reportedPosition;
    if (previous && comparePositions(previous, position) === 0) return;
    this.#reportedPosition = position;
    const frame = parameterStatus(POSITION_PARAMETER, formatPosition(position));
    this.#pendingBytes += frame.length;
    if (previous === undefined) this.#pending.unshift(frame);
    else this.#pending.push(frame);
  }

  /** True if the current batch has reported a position. */
  get hasReportedPosition(): boolean {
    return this.#reportedPosition !== undefined;
  }

  /** Ends the current batch. */
  endBatch(): void {
    this.#reportedPosition = undefined;
  }

  /**
   * Sends the buffer once it is large, then yields to the event loop. A client
   * that reads as fast as this writes would otherwise delay every heartbeat.
   */
  async flushIfLarge(): Promise<void> {
    if (this.#pendingBytes < FLUSH_BYTES) return;
    await this.flush();
    await setImmediate();
  }

  /** Sends the buffer and waits while the socket is full. */
  async flush(): Promise<void> {
    await this.#gate.waitUntilOpen();
    if (this.#pending.length === 0) return;
    const bytes = Buffer.concat(this.#pending);
    this.#pending = [];
    this.#pendingBytes = 0;
    if (this.#isSilenced) return await this.#closing('close');
    if (this.#socket.destroyed) throw new Error('the connection is closed');
    if (!this.#socket.write(bytes)) await this.#closing('drain');
  }

  /** Resolves at `event`, or when the socket closes. */
  #closing(event: 'close' | 'drain'): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        this.#socket.off('close', finish).off(event, finish);
        resolve();
      };
      this.#socket.once('close', finish);
      if (event !== 'close') this.#socket.once(event, finish);
    });
  }
}
