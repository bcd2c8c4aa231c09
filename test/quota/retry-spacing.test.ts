import {describe, expect, it} from 'vitest';
import {BudgetHolder} from '../../src/quota/budget-holder.js';
import {BudgetOwner} from '../../src/quota/budget-owner.js';
import {RetrySpacing} from '../../src/quota/retry-spacing.js';
import {createLogger} from '../../src/telemetry/log.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const RATE = 100;
const ATTEMPTS = 3;
/** Callers that waited during the restart and arrive at once. */
const BACKLOG = 80;
/** New callers a second. */
const STEADY = 60;
const LENGTH_MS = 3_000;

/**
 * Simulates the first seconds after a restart of the whole fleet: the budget is
 * empty, a backlog of callers arrives at once, and refused callers retry after
 * the delay that they were given, up to `ATTEMPTS` attempts. Returns the fraction
 * of the backlog that was served.
 */
async function simulateRestart(delayFor: (retryAfterMs: number) => number) {
  const clock = new VirtualClock();
  const limits = () => ({rate: RATE, burst: RATE});
  const owner = new BudgetOwner({
    clock,
    limits,
    windowMs: 5_000,
    roleFor: () => 'owner',
    heldForMs: () => 0,
  });
  const holder = new BudgetHolder({
    clock,
    log: createLogger('silent'),
    limits,
    requestTokens: async req => owner.serve('node-1', req),
  });
  let served = 0;
  const call = async (isCounted: boolean) => {
    for (let n = 0; n < ATTEMPTS; n++) {
      const decision = await holder.admit('red');
      if (decision.kind === 'admitted') {
        served += Number(isCounted);
        return;
      }
      await clock.sleep(delayFor(decision.retryAfterMs));
    }
  };
  for (let n = 0; n < BACKLOG; n++) void call(true);
  for (let ms = 0; ms < LENGTH_MS; ms += 1_000 / STEADY) {
    void call(false);
    await clock.advance(1_000 / STEADY);
  }
  return served / BACKLOG;
}

describe('the retry delays of refused callers', () => {
  it('let most of a backlog be served that would otherwise be refused again', async () => {
    const spaced = await simulateRestart(retryAfterMs => retryAfterMs);
    // For comparison: all callers retry when the next token is expected.
    const unspaced = await simulateRestart(() => 20);
    expect(spaced).toBeGreaterThan(0.9);
    expect(spaced).toBeGreaterThan(unspaced * 2);
  });

  it('are spaced by half of the rate, up to 1.5 s', () => {
    const clock = new VirtualClock();
    const spacing = new RetrySpacing(clock);
    const delays = Array.from({length: 200}, () =>
      spacing.nextDelayMs(10, RATE),
    );
    expect(delays.slice(0, 3)).toEqual([10, 30, 50]);
    expect(Math.max(...delays)).toBe(1_500);
  });

  it('start over once the earlier callers have retried', async () => {
    const clock = new VirtualClock();
    const spacing = new RetrySpacing(clock);
    for (let n = 0; n < 20; n++) spacing.nextDelayMs(10, RATE);
    await clock.advance(2_000);
    expect(spacing.nextDelayMs(10, RATE)).toBe(10);
  });
});
