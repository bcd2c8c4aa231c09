import {expect, test} from 'vitest';
import {FairQueue} from '../../src/admission/fair-queue.js';
import {isWaitWithin, solveWait} from '../../src/admission/wait-estimate.js';
import {ManualClock} from './manual-clock.js';

test.each([
  ['nothing ahead', 0, [], 0],
  ['queued work', 20, [[10, 0, Infinity]], 15],
  ['work that arrives', 20, [[20, 1, Infinity]], 40],
  ['arrivals up to their limit', 20, [[0, 1.5, 20]], 20],
  ['more arrivals than slots, limited', 20, [[0, 5, 60]], 40],
  ['more arrivals than slots', 20, [[0, 2, Infinity]], Infinity],
  [
    'two streams, one at its limit',
    20,
    [
      [0, 5, 60],
      [0, 1, Infinity],
    ],
    80,
  ],
] as const)('solves the wait with %s', (_name, fixedMs, streams, waitMs) => {
  const all = streams.map(([queuedMs, arrivingPerMs, limitMs]) => ({
    queuedMs,
    arrivingPerMs,
    limitMs,
  }));
  expect(solveWait(fixedMs, all, 2)).toBeCloseTo(waitMs);
  for (const ms of [0, 10, 30, 60, 100]) {
    expect(isWaitWithin(ms, fixedMs, all, 2)).toBe(waitMs <= ms);
  }
});

const isOver = (min: number) => (value: number) => value > min;

function createQueue() {
  const clock = new ManualClock();
  const queue = new FairQueue<string>({
    clock,
    weightOf: () => 1,
    concurrency: () => 1,
  });
  const offer = (item: string, priority: number, goalMs: number) =>
    queue.offer(item, {
      team: 'a',
      priority,
      costMs: 10,
      latencyGoalMs: clock.now() + goalMs,
      deadlineMs: clock.now() + 1_000,
    });
  return {clock, queue, offer};
}

test('counts urgent work that is expected to arrive during the wait', () => {
  const {clock, queue, offer} = createQueue();
  const order = {team: 'a', priority: 0, costMs: 10, deadlineMs: 1e6};
  for (let n = 0; n < 300; n++) {
    queue.recordStart(order);
    clock.advance(20);
  }
  for (let n = 0; n < 5; n++) offer(`${n}`, 1, 1_000);
  const estimate = queue.estimate({
    ...order,
    priority: 1,
    latencyGoalMs: clock.now() + 100,
  });
  // Half of the slot is used by urgent work, so 50 ms of work take 100.
  expect(estimate.sameMs).toBe(50);
  expect(estimate.waitMs).toBeGreaterThan(90);
  expect(estimate.waitMs).toBeLessThan(110);
  expect(estimate.arrivingMs).toBeCloseTo(estimate.waitMs - 50);
});

test('queues an item that misses its goal behind those that do not', () => {
  const {queue, offer} = createQueue();
  for (const item of ['a', 'b', 'c']) offer(item, 0, 100);
  expect(offer('late', 0, 20)).toMatchObject({kind: 'queued', isLate: true});
  expect(offer('d', 0, 100)).not.toHaveProperty('isLate');
  const order = Array.from({length: 5}, () => queue.take()?.item);
  expect(order).toEqual(['a', 'b', 'c', 'd', 'late']);
});

test('refuses at once an item that can not be answered late either', () => {
  const {offer} = createQueue();
  for (let n = 0; n < 79; n++) offer(`${n}`, 0, 1_000);
  const refused = offer('x', 0, 100);
  expect(refused.kind).toBe('refused');
  // The queue drains slowly, as the load of the last second is expected to last.
  expect(refused).toMatchObject({retryAfterMs: expect.toSatisfy(isOver(720))});
});

test('gives up an item early once more urgent work has taken its place', () => {
  const {clock, queue, offer} = createQueue();
  for (let n = 0; n < 60; n++) offer(`low ${n}`, 1, 1_000);
  for (let n = 0; n < 70; n++) offer(`high ${n}`, 0, 1_000);
  clock.advance(50);
  const hopeless = queue.takeHopeless();
  expect(hopeless.length).toBeGreaterThan(0);
  expect(hopeless.every(item => item.startsWith('low'))).toBe(true);
  expect(queue.size).toBe(130 - hopeless.length);
});
