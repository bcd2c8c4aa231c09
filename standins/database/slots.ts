/** A FIFO semaphore that bounds the number of concurrent statements. */
export class Slots {
  readonly #limit: number;
  readonly #queue: (() => void)[] = [];
  #used = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  get used(): number {
    return this.#used;
  }

  /** Waits for a slot; rejects with the signal's reason on abort. */
  acquire(signal: AbortSignal): Promise<void> {
    if (this.#used < this.#limit) {
      this.#used++;
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      const abort = () => {
        this.#queue.splice(this.#queue.indexOf(grant), 1);
        reject(signal.reason as Error);
      };
      const grant = () => {
        signal.removeEventListener('abort', abort);
        resolve();
      };
      signal.addEventListener('abort', abort, {once: true});
      this.#queue.push(grant);
    });
  }

  /** Releases a slot, or hands it to the first waiter in the queue. */
  release(): void {
    const next = this.#queue.shift();
    if (next === undefined) this.#used--;
    else next();
  }
}
