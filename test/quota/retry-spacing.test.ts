import {describe, expect, it} from 'vitest';
import {BudgetHolder} from '../../src/quota/budget-holder.js';
import {BudgetOwner} from '../../src/quota/budget-owner.js';
import {RetrySpacing} from '../../src/quota/return-times.js';
import {createLogger} from '../../src/telemetry/log.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const RATE = 100;
const ATTEMPTS = 3;
/** Callers who waited for the fleet to come back. */
const BACKLOG = 80;
/** Callers a second who come for the first time. */
const STEADY = 60;
const LENGTH_MS = 3_000;

/**
 * Replays the first seconds after a restart of the whole fleet: the budget is
 * empty, a backlog comes at once, and callers try again when they are told to.
 * Returns the part of the backlog that was served.
 */
async function replayRestart(toldMs: (told: number) => number) {
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
    ask: async req => owner.serve('node-1', req),
  });
  let served = 0;
  const call = async (isCounted: boolean) => {
    for (let n = 0; n < ATTEMPTS; n++) {
      const decision = await holder.admit('red');
      if (decision.kind === 'admitted') {
        served += Number(isCounted);
        return;
      }
      await clock.sleep(toldMs(decision.retryAfterMs));
    }
  };
  for (let n = 0; n < BACKLOG; n++) void call(true);
  for (let ms = 0; ms < LENGTH_MS; ms += 1_000 / STEADY) {
    void call(false);
    await clock.advance(1_000 / STEADY);
  }
  return served / BACKLOG;
}

describe('the times to come back', () => {
  it('serve most of a backlog that would otherwise come back in vain', async () => {
    const spread = await replayRestart(told => told);
    // Before, all were told when the next token comes.
    const atOnce = await replayRestart(() => 20);
    expect(spread).toBeGreaterThan(0.9);
    expect(spread).toBeGreaterThan(atOnce * 2);
  });

  it('are spaced by half of the rate, and never far away', () => {
    const clock = new VirtualClock();
    const times = new RetrySpacing(clock);
    const told = Array.from({length: 200}, () => times.nextDelayMs(10, RATE));
    expect(told.slice(0, 3)).toEqual([10, 30, 50]);
    expect(Math.max(...told)).toBe(1_500);
  });

  it('begin anew once the callers are through', async () => {
    const clock = new VirtualClock();
    const times = new RetrySpacing(clock);
    for (let n = 0; n < 20; n++) times.nextDelayMs(10, RATE);
    await clock.advance(2_000);
    expect(times.nextDelayMs(10, RATE)).toBe(10);
  });
});
