/** Buffers a connection's answers and reports log positions in them. */
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

/** Bytes of an answer held before they are sent. */
const FLUSH_BYTES = 32 * 1024;

/** Writes one connection's messages with back-pressure. */
export class AnswerWriter {
  readonly #socket: net.Socket;
  readonly #gate: FreezeGate;
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  #reported: Position | undefined;
  #silenced = false;

  constructor(socket: net.Socket, gate: FreezeGate) {
    this.#socket = socket;
    this.#gate = gate;
  }

  /** Sends nothing any more, although the connection stays open. */
  silence(): void {
    this.#silenced = true;
  }

  get silenced(): boolean {
    return this.#silenced;
  }

  write(frame: Buffer): void {
    this.#pending.push(frame);
    this.#pendingBytes += frame.length;
  }

  /**
   * Reports the position at which the next statement ran. The first report of
   * a batch goes before all of its answer, which is why the answers to Parse
   * and Bind are held until then.
   */
  report(position: Position): void {
    const previous = this.#reported;
    if (previous && comparePositions(previous, position) === 0) return;
    this.#reported = position;
    const frame = parameterStatus(POSITION_PARAMETER, formatPosition(position));
    this.#pendingBytes += frame.length;
    if (previous === undefined) this.#pending.unshift(frame);
    else this.#pending.push(frame);
  }

  /** Whether this batch has reported its position. */
  get reported(): boolean {
    return this.#reported !== undefined;
  }

  /** Starts the next batch. */
  endBatch(): void {
    this.#reported = undefined;
  }

  /**
   * Sends what is held once it is large, and lets other work run: a peer that
   * reads as fast as this writes would otherwise hold up every heartbeat.
   */
  async flushIfLarge(): Promise<void> {
    if (this.#pendingBytes < FLUSH_BYTES) return;
    await this.flush();
    await setImmediate();
  }

  /** Sends what is held and waits until the peer takes it. */
  async flush(): Promise<void> {
    await this.#gate.pass();
    if (this.#pending.length === 0) return;
    const bytes = Buffer.concat(this.#pending);
    this.#pending = [];
    this.#pendingBytes = 0;
    if (this.#silenced) return await this.#closing('close');
    if (this.#socket.destroyed) throw new Error('the connection is closed');
    if (!this.#socket.write(bytes)) await this.#closing('drain');
  }

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
