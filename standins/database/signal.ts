/** Change notification, a freeze gate for a database and an abortable sleep. */

/** Wakes all waiters on a change; each checks its own condition again. */
export class ChangeSignal {
  readonly #waiters = new Set<() => void>();

  /** Resolves at the next notification or after `timeoutMs`. */
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

/** Blocks all work while the database is frozen. */
export class FreezeGate {
  #unfrozen: Promise<void> | undefined;
  #timer: NodeJS.Timeout | undefined;
  #open: (() => void) | undefined;

  get frozen(): boolean {
    return this.#unfrozen !== undefined;
  }

  /** Freezes for `ms` from now; replaces the end of a running freeze. */
  freeze(ms: number): void {
    clearTimeout(this.#timer);
    this.#unfrozen ??= new Promise(resolve => (this.#open = resolve));
    this.#timer = setTimeout(() => this.release(), ms);
  }

  /** Ends the freeze. */
  release(): void {
    clearTimeout(this.#timer);
    this.#unfrozen = undefined;
    this.#open?.();
  }

  /** Resolves when the database is not frozen. */
  async waitUntilOpen(): Promise<void> {
    while (this.#unfrozen !== undefined) await this.#unfrozen;
  }
}

/** Resolves after `ms`; rejects with the signal's reason on abort. */
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
