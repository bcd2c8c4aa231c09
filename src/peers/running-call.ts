/** A call that this node serves. */

import {PeerError, type PeerCallContext} from './types.js';

/** Bytes of parts that may be sent ahead of the caller's reading. */
export const CALL_WINDOW_BYTES = 256 * 1024;

/** The server's side of one call; also what its handler sees of it. */
export class RunningCall implements PeerCallContext {
  readonly #aborted = new AbortController();
  readonly #writePart: (body: unknown) => number;
  #unacknowledgedBytes = 0;
  #tail: Promise<void> = Promise.resolve();
  #wake: () => void = () => {};

  /**
   * @param writePart Writes a part to the connection and returns its bytes.
   */
  constructor(
    readonly from: string,
    writePart: (body: unknown) => number,
  ) {
    this.#writePart = writePart;
  }

  get signal(): AbortSignal {
    return this.#aborted.signal;
  }

  send(part: unknown): Promise<void> {
    const sent = this.#tail.then(() => this.#sendInTurn(part));
    this.#tail = sent.catch(() => {});
    return sent;
  }

  /** Notes that the caller has consumed parts of this many bytes. */
  addCredit(bytes: number): void {
    this.#unacknowledgedBytes = Math.max(0, this.#unacknowledgedBytes - bytes);
    this.#wake();
  }

  /** Tells the handler that nobody waits for the answer. */
  abort(reason: string): void {
    this.#aborted.abort(new PeerError('lost', reason));
    this.#wake();
  }

  async #sendInTurn(part: unknown): Promise<void> {
    this.signal.throwIfAborted();
    while (this.#unacknowledgedBytes >= CALL_WINDOW_BYTES) {
      await new Promise<void>(resolve => (this.#wake = resolve));
      this.signal.throwIfAborted();
    }
    this.#unacknowledgedBytes += this.#writePart(part);
  }
}
