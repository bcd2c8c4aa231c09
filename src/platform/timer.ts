/** Timers that are usually cancelled, as a deadline of each statement is. */
import type {Clock} from './clock.js';

/** Given as the reason of an abort: making one for each would cost a stack. */
const CANCELLED = 'cancelled';

/**
 * Calls `action` after `ms`, unless the returned function is called before.
 *
 * @example
 * const cancel = startTimer(clock, 500, () => connection.close());
 * await connection.run(frames, observer);
 * cancel();
 */
export function startTimer(
  clock: Clock,
  ms: number,
  action: () => void,
): () => void {
  const cancelled = new AbortController();
  void clock.sleep(Math.max(0, ms), cancelled.signal).then(() => {
    if (!cancelled.signal.aborted) action();
  });
  return () => cancelled.abort(CANCELLED);
}
