/** Client side of a call that waits for its answer. */

import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import type {PeerMessage} from './messages.js';
import {PeerError, type CallOptions} from './types.js';

/** Bytes of consumed parts after which the client sends new credit. */
const CREDIT_GRANT_BYTES = 64 * 1024;

/** Sends a message to the node that serves the call. */
export type SendMessage = (message: PeerMessage) => void;

/** A call whose request has been sent. */
export class PendingCall {
  readonly #id: number;
  readonly #options: CallOptions;
  readonly #send: SendMessage;
  readonly #cancelTimeout: () => void;
  #isFinished = false;
  readonly #onAbort = () => this.#cancel('call was cancelled by its caller');
  #settle!: {
    resolve: (value: unknown) => void;
    reject: (err: unknown) => void;
  };
  #deliveries: Promise<void> = Promise.resolve();
  #ungrantedBytes = 0;

  /** Resolves to the result or rejects with the failure. */
  readonly answer: Promise<unknown>;

  constructor(
    id: number,
    options: CallOptions,
    clock: Clock,
    send: SendMessage,
  ) {
    this.#id = id;
    this.#options = options;
    this.#send = send;
    this.answer = new Promise((resolve, reject) => {
      this.#settle = {resolve, reject};
    });
    options.signal?.addEventListener('abort', this.#onAbort, {once: true});
    const {timeoutMs} = options;
    this.#cancelTimeout = startTimer(clock, timeoutMs, () =>
      this.#cancel(`no answer within ${timeoutMs} ms`),
    );
  }

  /** Delivers one part to the caller after the earlier parts. */
  onPart(body: unknown, bytes: number): void {
    this.#deliveries = this.#deliveries.then(() => this.#deliver(body, bytes));
  }

  /** Resolves the call once the caller has consumed all parts. */
  onResult(body: unknown): void {
    this.#deliveries = this.#deliveries.then(() => {
      this.#release();
      this.#settle.resolve(body);
    });
  }

  /** Rejects the call immediately. */
  fail(err: unknown): void {
    this.#release();
    this.#settle.reject(err);
  }

  async #deliver(body: unknown, bytes: number): Promise<void> {
    if (this.#isFinished) return;
    try {
      await this.#options.onPart?.(body);
    } catch (err) {
      this.#send({kind: 'cancel', id: this.#id});
      return this.fail(err);
    }
    this.#ungrantedBytes += bytes;
    if (this.#ungrantedBytes < CREDIT_GRANT_BYTES) return;
    if (this.#isFinished) return;
    this.#send({kind: 'credit', id: this.#id, bytes: this.#ungrantedBytes});
    this.#ungrantedBytes = 0;
  }

  #cancel(reason: string): void {
    this.#send({kind: 'cancel', id: this.#id});
    this.fail(new PeerError('lost', reason));
  }

  #release(): void {
    this.#options.signal?.removeEventListener('abort', this.#onAbort);
    this.#isFinished = true;
    this.#cancelTimeout();
  }
}
