/** Server side of a call. */

import {PeerError, type PeerCallContext} from './types.js';

/** Flow control window: bytes of parts sent ahead of the caller's reading. */
export const CALL_WINDOW_BYTES = 256 * 1024;

/** A call that this node serves; also the context of its handler. */
export class RunningCall implements PeerCallContext {
  readonly #abortController = new AbortController();
  readonly #writePart: (body: unknown) => number;
  #unacknowledgedBytes = 0;
  #lastSend: Promise<void> = Promise.resolve();
  #resumeSending: () => void = () => {};

  /**
   * @param writePart Writes a part to the connection and returns its size.
   */
  constructor(
    readonly from: string,
    writePart: (body: unknown) => number,
  ) {
    this.#writePart = writePart;
  }

  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  send(part: unknown): Promise<void> {
    const sent = this.#lastSend.then(() => this.#sendWithinWindow(part));
    this.#lastSend = sent.catch(() => {});
    return sent;
  }

  /** Opens the window by the size of the parts that the caller consumed. */
  addCredit(bytes: number): void {
    this.#unacknowledgedBytes = Math.max(0, this.#unacknowledgedBytes - bytes);
    this.#resumeSending();
  }

  /** Aborts the handler's signal and any send that waits for the window. */
  abort(reason: string): void {
    this.#abortController.abort(new PeerError('lost', reason));
    this.#resumeSending();
  }

  async #sendWithinWindow(part: unknown): Promise<void> {
    this.signal.throwIfAborted();
    while (this.#unacknowledgedBytes >= CALL_WINDOW_BYTES) {
      await new Promise<void>(resolve => (this.#resumeSending = resolve));
      this.signal.throwIfAborted();
    }
    this.#unacknowledgedBytes += this.#writePart(part);
  }
}
