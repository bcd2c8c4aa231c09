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
  if (clock.startTimer !== undefined) {
    return clock.startTimer(Math.max(0, ms), action);
  }
  const cancelled = new AbortController();
  void clock.sleep(Math.max(0, ms), cancelled.signal).then(() => {
    if (!cancelled.signal.aborted) action();
  });
  return () => cancelled.abort(CANCELLED);
}

/** Runs a task at once and at each tick of a period, until `signal` aborts. */
export async function runAtTicks(
  clock: Clock,
  periodMs: number,
  signal: AbortSignal,
  task: () => void,
): Promise<void> {
  while (!signal.aborted) {
    task();
    await sleepToTick(clock, periodMs, signal);
  }
}

/** How early a timer may fire by the reading of the clock. */
const TIMER_ERROR_MS = 2;

/**
 * Sleeps until the clock's next multiple of `periodMs`. Periodic tasks that
 * sleep so wake the process together, where each wake-up on its own costs a
 * node without work more processor time than what the tasks do.
 *
 * @example
 * while (!signal.aborted) {
 *   await sleepToTick(clock, 200, signal);
 *   check();
 * }
 */
export function sleepToTick(
  clock: Clock,
  periodMs: number,
  signal?: AbortSignal,
): Promise<void> {
  const restMs = Math.ceil(periodMs - (clock.now() % periodMs));
  const early = restMs <= TIMER_ERROR_MS;
  return clock.sleep(early ? restMs + periodMs : restMs, signal);
}
