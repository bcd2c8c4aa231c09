import fc from 'fast-check';
import {expect, test} from 'vitest';
import {runSchedule, scheduleArb} from './schedule.js';

const SEED = 20_261_203;
const SCHEDULES = 300;

test('never admits more than rate and burst, whatever fails', async () => {
  let admitted = 0;
  await fc.assert(
    fc.asyncProperty(scheduleArb, async schedule => {
      const res = await runSchedule(schedule);
      admitted += res.admitted;
      expect(res.excess).toBe(0);
    }),
    {seed: SEED, numRuns: SCHEDULES, endOnFailure: true},
  );
  expect(admitted).toBeGreaterThan(SCHEDULES * 300);
}, 240_000);
