import {describe, expect, test} from 'vitest';
import {
  isRetryable,
  RetryBudget,
  retryNotRun,
  type RetryOptions,
} from '../../src/verdict/retry.js';
import {
  DONE,
  mayHaveRun,
  notRun,
  type Verdict,
} from '../../src/verdict/verdict.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const HALF = {next: () => 0.5};

async function run(
  verdicts: readonly Verdict[],
  overrides: Partial<RetryOptions> = {},
) {
  const clock = new VirtualClock();
  const startedAt: number[] = [];
  const options: RetryOptions = {
    clock,
    random: HALF,
    budget: new RetryBudget(),
    deadlineAt: 10_000,
    attemptMs: 5,
    repeatable: false,
    ...overrides,
  };
  const result = retryNotRun(options, tryNumber => {
    startedAt.push(clock.now());
    const verdict = verdicts[tryNumber - 1] ?? verdicts.at(-1) ?? DONE;
    return Promise.resolve({verdict});
  });
  await clock.advance(20_000);
  return {verdict: (await result).verdict, startedAt};
}

const NO_PRIMARY = notRun('noPrimary', 'none');

describe('retryNotRun', () => {
  test('repeats what did not run, with growing pauses', async () => {
    const {verdict, startedAt} = await run([NO_PRIMARY, NO_PRIMARY, DONE]);
    expect(verdict).toEqual(DONE);
    expect(startedAt).toEqual([0, 7.5, 22.5]);
  });

  test('waits for as long as the refusal asks', async () => {
    const asked = notRun('noPrimary', 'none', 300);
    const {startedAt} = await run([asked, DONE]);
    expect(startedAt).toEqual([0, 300]);
  });

  test('never repeats a write that may have run', async () => {
    const lost = mayHaveRun('targetLost', 'lost');
    const {verdict, startedAt} = await run([lost, DONE]);
    expect(verdict).toEqual(lost);
    expect(startedAt).toHaveLength(1);
  });

  test('repeats a read that may have run', async () => {
    const lost = mayHaveRun('targetLost', 'lost');
    const {verdict} = await run([lost, DONE], {repeatable: true});
    expect(verdict).toEqual(DONE);
  });

  test.each(['rateLimited', 'overloaded', 'unsupported', 'cutOff'] as const)(
    'sends a refusal as %s at once',
    async reason => {
      const refusal = notRun(reason, 'no', 1);
      const {startedAt} = await run([refusal, DONE]);
      expect(startedAt).toEqual([0]);
      expect(isRetryable(refusal, true)).toBe(false);
    },
  );

  test('gives up at once when the time left fits no other try', async () => {
    const {startedAt} = await run([notRun('noPrimary', 'none', 96), DONE], {
      deadlineAt: 100,
    });
    expect(startedAt).toEqual([0]);
  });

  test('stays within the budget over many requests', async () => {
    const budget = new RetryBudget(0.1, 2);
    let tries = 0;
    for (let i = 0; i < 100; i++) {
      const {startedAt} = await run([NO_PRIMARY], {budget, deadlineAt: 50});
      tries += startedAt.length;
    }
    expect(tries).toBeGreaterThan(105);
    expect(tries).toBeLessThanOrEqual(112);
  });
});
