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

const FIXED_RANDOM = {next: () => 0.5};

async function run(
  verdicts: readonly Verdict[],
  overrides: Partial<RetryOptions> = {},
) {
  const clock = new VirtualClock();
  const startedAt: number[] = [];
  const options: RetryOptions = {
    clock,
    random: FIXED_RANDOM,
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
  test('retries a request that did not run, with growing pauses', async () => {
    const {verdict, startedAt} = await run([NO_PRIMARY, NO_PRIMARY, DONE]);
    expect(verdict).toEqual(DONE);
    expect(startedAt).toEqual([0, 7.5, 22.5]);
  });

  test('waits for the retry time of the refusal', async () => {
    const asked = notRun('noPrimary', 'none', 300);
    const {startedAt} = await run([asked, DONE]);
    expect(startedAt).toEqual([0, 300]);
  });

  test('never retries a write that may have run', async () => {
    const lost = mayHaveRun('targetLost', 'lost');
    const {verdict, startedAt} = await run([lost, DONE]);
    expect(verdict).toEqual(lost);
    expect(startedAt).toHaveLength(1);
  });

  test('retries a read that may have run', async () => {
    const lost = mayHaveRun('targetLost', 'lost');
    const {verdict} = await run([lost, DONE], {repeatable: true});
    expect(verdict).toEqual(DONE);
  });

  test.each(['rateLimited', 'overloaded', 'unsupported', 'cutOff'] as const)(
    'returns a refusal for %s without a retry',
    async reason => {
      const refusal = notRun(reason, 'no', 1);
      const {startedAt} = await run([refusal, DONE]);
      expect(startedAt).toEqual([0]);
      expect(isRetryable(refusal, true)).toBe(false);
    },
  );

  test('returns immediately if the time left is too short for another attempt', async () => {
    const {startedAt} = await run([notRun('noPrimary', 'none', 96), DONE], {
      deadlineAt: 100,
    });
    expect(startedAt).toEqual([0]);
  });

  test('stays within the retry budget over many requests', async () => {
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
