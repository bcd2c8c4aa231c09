/** Calls all databases of a group without waiting for the slowest ones. */
import type {Clock} from '../infra/clock.js';
import {majorityOf} from './group-view.js';
import type {DatabaseControl} from './types.js';

/** How long to wait for the remaining answers after a majority succeeded. */
const STRAGGLER_WAIT_MS = 30;

/** A call to one database; resolves to false if it was refused. */
export type DatabaseCall = (control: DatabaseControl) => Promise<boolean>;

/**
 * Calls all databases concurrently. Resolves when all calls have ended, or
 * `STRAGGLER_WAIT_MS` after a majority returned true and the calls to the
 * databases in `required` have ended. A rejected call counts as false.
 */
export async function callUntilMajority(
  clock: Clock,
  controls: readonly DatabaseControl[],
  call: DatabaseCall,
  required: readonly string[] = [],
): Promise<void> {
  const needed = majorityOf(controls.length);
  const pendingRequired = new Set(required);
  const finished = new AbortController();
  let successes = 0;
  await new Promise<void>(resolve => {
    const calls = controls.map(async control => {
      if (await call(control).catch(() => false)) successes += 1;
      pendingRequired.delete(control.spec.id);
      if (successes < needed || pendingRequired.size > 0) return;
      void clock.sleep(STRAGGLER_WAIT_MS, finished.signal).then(resolve);
    });
    void Promise.all(calls).then(() => resolve());
  });
  finished.abort();
}
