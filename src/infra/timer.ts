/**
 * Timers for deadlines, most of which are cancelled before they fire, and
 * periodic tasks that share their wake-ups.
 */
import type {Clock} from './clock.js';

/** Abort reason; the default one is an error that captures a stack trace. */
const CANCELLED = 'cancelled';

/**
 * Calls `action` after `ms` unless the returned function is called before.
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

/**
 * Runs a task now and at each multiple of `periodMs` on the clock, until
 * `signal` aborts.
 */
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

/** Timers may fire up to this much early, measured in monotonic time. */
const MAX_EARLY_FIRE_MS = 2;

/**
 * Sleeps until the clock's next multiple of `periodMs`, so that periodic tasks
 * wake the process together. On an idle node, separate wake-ups cost more CPU
 * time than the tasks themselves. A multiple within the early-fire tolerance is
 * skipped: the previous sleep was for it and ended early.
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
  const remainingMs = Math.ceil(periodMs - (clock.now() % periodMs));
  const firedEarly = remainingMs <= MAX_EARLY_FIRE_MS;
  return clock.sleep(firedEarly ? remainingMs + periodMs : remainingMs, signal);
}
