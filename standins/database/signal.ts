/** Waiting for changes, and pausing a whole database. */

/** Wakes waiters when something changed; they check their own conditions. */
export class ChangeSignal {
  readonly #waiters = new Set<() => void>();

  /** Resolves at the next notification, or after `timeoutMs`. */
  wait(timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, timeoutMs);
      this.#waiters.add(finish);
    });
  }

  notify(): void {
    for (const finish of [...this.#waiters]) finish();
  }
}

/** Holds all work back while the database is frozen. */
export class FreezeGate {
  #opening: Promise<void> | undefined;
  #timer: NodeJS.Timeout | undefined;
  #open: (() => void) | undefined;

  get frozen(): boolean {
    return this.#opening !== undefined;
  }

  /** Freezes for `ms` from now; a running freeze is extended or shortened. */
  freeze(ms: number): void {
    clearTimeout(this.#timer);
    this.#opening ??= new Promise(resolve => (this.#open = resolve));
    this.#timer = setTimeout(() => this.release(), ms);
  }

  release(): void {
    clearTimeout(this.#timer);
    this.#opening = undefined;
    this.#open?.();
  }

  /** Resolves once the database is not frozen. */
  async pass(): Promise<void> {
    while (this.#opening !== undefined) await this.#opening;
  }
}

/** Resolves after `ms`; rejects with the signal's reason when it aborts. */
export function abortableSleep(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal.aborted) return reject(signal.reason as Error);
    const abort = () => {
      clearTimeout(timer);
      reject(signal.reason as Error);
    };
    const timer = setTimeout(() => {
      signal.removeEventListener('abort', abort);
      resolve();
    }, ms);
    signal.addEventListener('abort', abort, {once: true});
  });
}
