/** Buffered output of a session to its caller. */
import type {Duplex} from 'node:stream';

/** Buffered bytes from which streamed frames are written to the socket. */
const MAX_PENDING_BYTES = 65_536;

/** Collects messages and writes them to the socket together. */
export class SessionOutput {
  readonly #socket: Duplex;
  #pending: Uint8Array[] = [];
  #pendingBytes = 0;

  constructor(socket: Duplex) {
    this.#socket = socket;
  }

  /** Queues a message for the next {@link flush}. */
  add(message: Uint8Array): void {
    this.#pending.push(message);
    this.#pendingBytes += message.length;
  }

  /** Queues frames of an answer; waits while the socket's buffer is full. */
  async addWithBackpressure(frames: Uint8Array): Promise<void> {
    this.add(frames);
    if (this.#pendingBytes < MAX_PENDING_BYTES) return;
    if (!this.flush()) await this.#waitForDrain();
  }

  /** Writes the queued messages; false if the socket's buffer is full. */
  flush(): boolean {
    const pending = this.#pending;
    this.#pending = [];
    this.#pendingBytes = 0;
    if (pending.length === 0 || !this.#socket.writable) return true;
    return this.#socket.write(Buffer.concat(pending));
  }

  #waitForDrain(): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        this.#socket.off('drain', done);
        this.#socket.off('close', done);
        resolve();
      };
      this.#socket.on('drain', done);
      this.#socket.on('close', done);
    });
  }
}
