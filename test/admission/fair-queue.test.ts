import {expect, test} from 'vitest';
import {
  FairQueue,
  FLOOR_DISPATCH_INTERVAL,
} from '../../src/admission/fair-queue.js';
import {ManualClock} from './manual-clock.js';

const FAR_MS = 1_000_000;
const URGENT = 0;
const ORDINARY = 1;

interface Job {
  readonly team: string;
  readonly priority: number;
}

function createQueue(weights: Readonly<Record<string, number>> = {}) {
  const clock = new ManualClock();
  const queue = new FairQueue<Job>({
    clock,
    weightOf: team => weights[team] ?? 1,
    concurrency: () => 1,
  });
  const offer = (
    team: string,
    priority: number,
    deadlineMs = FAR_MS,
    costMs = 1,
  ) => queue.offer({team, priority}, {team, priority, deadlineMs, costMs});
  return {clock, queue, offer};
}

function countByTeam(
  queue: FairQueue<Job>,
  count: number,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (let i = 0; i < count; i++) {
    const taken = queue.take();
    if (taken?.kind !== 'run') break;
    counts.set(taken.item.team, (counts.get(taken.item.team) ?? 0) + 1);
  }
  return counts;
}

test('shares dispatches between teams by weight', () => {
  const {queue, offer} = createQueue({large: 3, small: 1});
  for (let i = 0; i < 400; i++) offer('large', ORDINARY);
  for (let i = 0; i < 400; i++) offer('small', ORDINARY);
  const counts = countByTeam(queue, 400);
  expect(counts.get('large')).toBeGreaterThanOrEqual(298);
  expect(counts.get('small')).toBeGreaterThanOrEqual(98);
});

test('gives a team no credit for time in which it was idle', () => {
  const {queue, offer} = createQueue();
  for (let i = 0; i < 300; i++) offer('busy', ORDINARY);
  countByTeam(queue, 100);
  for (let i = 0; i < 200; i++) offer('late', ORDINARY);
  expect(countByTeam(queue, 100).get('busy')).toBeGreaterThanOrEqual(49);
});

test('serves the other teams their rate while one sends ten times its rate', () => {
  const teams = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const {clock, queue, offer} = createQueue();
  const served = new Map<string, number>();
  const offered = new Map<string, number>();
  for (let ms = 0; ms < 16_000; ms++) {
    for (const [index, team] of teams.entries()) {
      const due = index === 0 ? ms % 8 !== 7 : ms % 8 === index;
      const times = index === 0 && ms % 2 === 0 ? 2 : 1;
      for (let i = 0; due && i < times; i++) {
        offered.set(team, (offered.get(team) ?? 0) + 1);
        offer(team, ORDINARY, clock.now() + 200);
      }
    }
    for (let taken = queue.take(); taken !== undefined; taken = queue.take()) {
      if (taken.kind === 'expired') continue;
      served.set(taken.item.team, (served.get(taken.item.team) ?? 0) + 1);
      break;
    }
    clock.advance(1);
  }
  for (const team of teams) {
    const entitled = Math.min(2_000, offered.get(team) ?? 0);
    expect(served.get(team)).toBeGreaterThanOrEqual(0.95 * entitled);
  }
});

test('runs urgent work first and never starves ordinary work', () => {
  const {queue, offer} = createQueue();
  for (let i = 0; i < 50; i++) offer('a', ORDINARY);
  for (let i = 0; i < 80; i++) offer('b', URGENT);
  const order: number[] = [];
  for (let i = 0; i < 80; i++) {
    const taken = queue.take();
    if (taken?.kind === 'run') order.push(taken.item.priority);
  }
  expect(order[0]).toBe(URGENT);
  for (let i = 0; i + FLOOR_DISPATCH_INTERVAL <= order.length; i++) {
    const window = order.slice(i, i + FLOOR_DISPATCH_INTERVAL);
    expect(window.filter(priority => priority === ORDINARY)).toHaveLength(1);
  }
});

test('refuses an item at once if it would miss its deadline', () => {
  const {queue, offer} = createQueue();
  for (let i = 0; i < 10; i++) offer('a', ORDINARY, FAR_MS, 10);
  expect(offer('a', ORDINARY, 100, 10)).toEqual({
    kind: 'refused',
    retryAfterMs: 10,
  });
  expect(offer('a', ORDINARY, 110, 10).kind).toBe('queued');
  expect(offer('b', ORDINARY, 40, 10).kind).toBe('queued');
  expect(queue.size).toBe(12);
});

test('includes the items of other teams in the expected wait', () => {
  const {offer} = createQueue();
  for (let i = 0; i < 10; i++) offer('a', ORDINARY, FAR_MS, 10);
  for (const expectedWaitMs of [10, 20, 40]) {
    const offered = offer('b', ORDINARY, FAR_MS, 10);
    expect(offered).toEqual({kind: 'queued', expectedWaitMs});
  }
  expect(offer('b', URGENT, 11, 10).kind).toBe('queued');
});

test('takes expired items first', () => {
  const {clock, queue, offer} = createQueue();
  offer('a', ORDINARY);
  offer('b', ORDINARY, 50);
  expect(queue.nextExpiryMs).toBe(50);
  clock.advance(50);
  expect(queue.oldestAgeMs).toBe(50);
  expect(queue.take()).toMatchObject({kind: 'expired', item: {team: 'b'}});
  expect(queue.take()).toMatchObject({kind: 'run', item: {team: 'a'}});
  expect(queue.take()).toBeUndefined();
  expect(queue.oldestAgeMs).toBe(0);
});

test('takes expired items while no item may run', () => {
  const {clock, queue, offer} = createQueue();
  offer('a', ORDINARY, 50);
  offer('a', URGENT, 80);
  expect(queue.takeExpired()).toBeUndefined();
  clock.advance(60);
  expect(queue.takeExpired()).toMatchObject({priority: ORDINARY});
  expect(queue.takeExpired()).toBeUndefined();
  expect(queue.nextExpiryMs).toBe(80);
  expect(queue.size).toBe(1);
});

test('applies a changed weight', () => {
  const weights = {a: 1, b: 1};
  const {queue, offer} = createQueue(weights);
  for (let i = 0; i < 10; i++) for (const t of ['a', 'b']) offer(t, ORDINARY);
  countByTeam(queue, 20);
  weights.a = 3;
  for (let i = 0; i < 400; i++) for (const t of ['a', 'b']) offer(t, ORDINARY);
  expect(countByTeam(queue, 400).get('a')).toBeGreaterThanOrEqual(298);
});

test('removes an item whose caller has disconnected', () => {
  const {clock, queue} = createQueue();
  const job: Job = {team: 'a', priority: ORDINARY};
  queue.offer(job, {...job, deadlineMs: clock.now() + 100, costMs: 1});
  expect(queue.remove(job)).toBe(true);
  expect(queue.remove(job)).toBe(false);
  expect(queue.size).toBe(0);
});
