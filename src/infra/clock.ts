/** Ports for time and randomness, which tests replace by virtual ones. */

/** A source of time, in milliseconds. */
export interface Clock {
  /** Monotonic time since an arbitrary origin. */
  now(): number;
  /** Wall clock time since the Unix epoch; may jump forwards or backwards. */
  wallNow(): number;
  /** Resolves after `ms` or as soon as `signal` aborts; never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /**
   * Calls `action` after `ms` unless the returned function is called before.
   * For a clock without it, timers fall back to `sleep`, which costs more.
   */
  startTimer?(ms: number, action: () => void): () => void;
}

/** A source of random numbers. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
}

/** The clock of the process. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallNow(): number {
    return Date.now();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted) return resolve();
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }

  startTimer(ms: number, action: () => void): () => void {
    const timer = setTimeout(action, ms);
    return () => clearTimeout(timer);
  }
}

/** Random numbers from `Math.random`. */
export class SystemRandom implements Random {
  next(): number {
    return Math.random();
  }
}
