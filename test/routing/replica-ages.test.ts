import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {ReplicaAges} from '../../src/routing/replica-ages.js';

const at = (offset: number, term = 1) => ({term, offset});

/** A group of three whose primary writes an offset a millisecond. */
function recordHealthyGroup(ages: ReplicaAges, fromMs: number, toMs: number) {
  for (let now = fromMs; now <= toMs; now += 200) {
    ages.recordPrimary(1, at(now), now);
    ages.recordFence('db-1', 1, now);
    ages.recordFence('db-2', 1, now);
  }
}

describe('replica ages', () => {
  test('a replica is as old as the time since the primary was there', () => {
    const ages = new ReplicaAges(3);
    recordHealthyGroup(ages, 0, 1000);
    ages.recordReplica('db-2', at(650), 1000);
    expect(ages.ageMs('db-2', 1000)).toBe(400);
    expect(ages.ageMs('db-2', 1100)).toBe(500);
  });

  test('a replica of which nothing is known has no bounded age', () => {
    const ages = new ReplicaAges(3);
    expect(ages.ageMs('db-2', 0)).toBe(Infinity);
    recordHealthyGroup(ages, 400, 1000);
    ages.recordReplica('db-2', at(10), 1000);
    expect(ages.ageMs('db-2', 1000)).toBe(Infinity);
  });

  test('a primary that no majority follows makes no replica young', () => {
    const ages = new ReplicaAges(3);
    recordHealthyGroup(ages, 0, 400);
    ages.recordReplica('db-2', at(400), 400);
    for (let now = 600; now <= 5000; now += 200) {
      ages.recordPrimary(1, at(400), now);
      ages.recordFence('db-1', 1, now);
    }
    expect(ages.ageMs('db-2', 5000)).toBe(4600);
  });

  test('samples of an older term are left out', () => {
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

  test('expects a replica after its usual lag', () => {
    const ages = new ReplicaAges(3);
    recordHealthyGroup(ages, 0, 1000);
    ages.recordReplica('db-2', at(800), 830);
    ages.recordPrimary(1, at(1005), 1005);
    expect(ages.expectedWaitMs('db-2', at(1005), 1005)).toBe(30);
    expect(ages.expectedWaitMs('db-2', at(1005), 1025)).toBe(10);
    expect(ages.expectedWaitMs('db-2', at(700), 1025)).toBe(0);
    expect(ages.expectedWaitMs('db-3', at(700), 1025)).toBe(Infinity);
  });

  test('never reports less than the true age, with few samples kept', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(50), fc.nat(20)), {maxLength: 60}),
        fc.nat(1000),
        (steps, applied) => {
          const ages = new ReplicaAges(3, 8);
          const reached: {offset: number; at: number}[] = [];
          let now = 0;
          let offset = 0;
          for (const [pauseMs, writes] of steps) {
            now += pauseMs;
            ages.recordPrimary(1, at(offset), now);
            ages.recordFence('db-1', 1, now);
            ages.recordFence('db-2', 1, now);
            if (writes > 0) reached.push({offset: offset + writes, at: now});
            offset += writes;
          }
          ages.recordReplica('db-2', at(applied), now);
          // The first write that the replica misses dates its data.
          const missed = reached.find(write => write.offset > applied);
          const trueAgeMs = missed === undefined ? 0 : now - missed.at;
          expect(ages.ageMs('db-2', now)).toBeGreaterThanOrEqual(trueAgeMs);
        },
      ),
      {seed: 31, numRuns: 500},
    );
  });
});
