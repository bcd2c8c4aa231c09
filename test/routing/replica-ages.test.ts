import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {ReplicaAges} from '../../src/routing/replica-ages.js';

const at = (offset: number, term = 1) => ({term, offset});

/** Records a group of three whose primary writes one entry per millisecond. */
function recordHealthyGroup(ages: ReplicaAges, fromMs: number, toMs: number) {
  for (let now = fromMs; now <= toMs; now += 200) {
    ages.recordPrimary(1, at(now), now);
    ages.recordFence('db-1', 1, now);
    ages.recordFence('db-2', 1, now);
  }
}

describe('ReplicaAges', () => {
  test('the age is the time since the last sample that the replica covers', () => {
    const ages = new ReplicaAges(3);
    recordHealthyGroup(ages, 0, 1000);
    ages.recordReplica('db-2', at(650), 1000);
    expect(ages.ageMs('db-2', 1000)).toBe(400);
    expect(ages.ageMs('db-2', 1100)).toBe(500);
  });

  test('the age of a replica without a usable sample is not bounded', () => {
    const ages = new ReplicaAges(3);
    expect(ages.ageMs('db-2', 0)).toBe(Infinity);
    recordHealthyGroup(ages, 400, 1000);
    ages.recordReplica('db-2', at(10), 1000);
    expect(ages.ageMs('db-2', 1000)).toBe(Infinity);
  });

  test('samples without an unfenced majority do not lower the age', () => {
    const ages = new ReplicaAges(3);
    recordHealthyGroup(ages, 0, 400);
    ages.recordReplica('db-2', at(400), 400);
    for (let now = 600; now <= 5000; now += 200) {
      ages.recordPrimary(1, at(400), now);
      ages.recordFence('db-1', 1, now);
    }
    expect(ages.ageMs('db-2', 5000)).toBe(4600);
  });

  test('samples of an older term are ignored', () => {
    const ages = new ReplicaAges(3);
    recordHealthyGroup(ages, 0, 400);
    ages.recordPrimary(2, at(401, 2), 600);
    ages.recordPrimary(1, at(500), 800);
    ages.recordFence('db-1', 1, 800);
    ages.recordFence('db-2', 2, 800);
    ages.recordFence('db-3', 2, 800);
    ages.recordReplica('db-3', at(500), 800);
    expect(ages.ageMs('db-3', 800)).toBe(Infinity);
    ages.recordReplica('db-3', at(401, 2), 800);
    expect(ages.ageMs('db-3', 800)).toBe(200);
  });

  test('expects a replica to catch up after its last lag', () => {
    const ages = new ReplicaAges(3);
    recordHealthyGroup(ages, 0, 1000);
    ages.recordReplica('db-2', at(800), 830);
    ages.recordPrimary(1, at(1005), 1005);
    expect(ages.expectedWaitMs('db-2', at(1005), 1005)).toBe(30);
    expect(ages.expectedWaitMs('db-2', at(1005), 1025)).toBe(10);
    expect(ages.expectedWaitMs('db-2', at(700), 1025)).toBe(0);
    expect(ages.expectedWaitMs('db-3', at(700), 1025)).toBe(Infinity);
  });

  test('never reports less than the true age, with few samples', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(50), fc.nat(20)), {maxLength: 60}),
        fc.nat(1000),
        (steps, applied) => {
          const ages = new ReplicaAges(3, 8);
          const writeLog: {offset: number; at: number}[] = [];
          let now = 0;
          let offset = 0;
          for (const [pauseMs, writes] of steps) {
            now += pauseMs;
            ages.recordPrimary(1, at(offset), now);
            ages.recordFence('db-1', 1, now);
            ages.recordFence('db-2', 1, now);
            if (writes > 0) writeLog.push({offset: offset + writes, at: now});
            offset += writes;
          }
          ages.recordReplica('db-2', at(applied), now);
          // The replica's data is as old as the first write that it lacks.
          const missed = writeLog.find(write => write.offset > applied);
          const trueAgeMs = missed === undefined ? 0 : now - missed.at;
          expect(ages.ageMs('db-2', now)).toBeGreaterThanOrEqual(trueAgeMs);
        },
      ),
      {seed: 31, numRuns: 500},
    );
  });
});
