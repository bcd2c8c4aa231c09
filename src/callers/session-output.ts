/** What a session sends to its caller, in as few writes as its order allows. */
import type {Duplex} from 'node:stream';

/** Bytes that are collected before they are written early. */
const MAX_PENDING_BYTES = 65_536;

/** Collects messages and writes them together. */
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

  /** Queues frames of an answer, waiting while the caller reads slowly. */
  async pass(frames: Uint8Array): Promise<void> {
    this.add(frames);
    if (this.#pendingBytes < MAX_PENDING_BYTES) return;
    if (!this.flush()) await this.#drained();
  }

  /** Writes what is queued; false while the caller reads slowly. */
  flush(): boolean {
    const pending = this.#pending;
    this.#pending = [];
    this.#pendingBytes = 0;
    if (pending.length === 0 || !this.#socket.writable) return true;
    return this.#socket.write(Buffer.concat(pending));
  }

  #drained(): Promise<void> {
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
