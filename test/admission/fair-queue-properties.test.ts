import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
  FairQueue,
  FLOOR_DISPATCH_INTERVAL,
} from '../../src/admission/fair-queue.js';
import {ManualClock} from './manual-clock.js';

const FAR_MS = 1_000_000;
const SHORT = {numRuns: 50};

interface Job {
  readonly id: number;
  readonly team: string;
  readonly priority: number;
  readonly costMs: number;
}

function createQueue(weights: Readonly<Record<string, number>> = {}) {
  const clock = new ManualClock();
  const queue = new FairQueue<Job>({
    clock,
    weightOf: team => weights[team] ?? 1,
    concurrency: () => 2,
  });
  return {clock, queue};
}

function takeAll(queue: FairQueue<Job>): readonly Job[] {
  const taken: Job[] = [];
  for (let next = queue.take(); next !== undefined; next = queue.take()) {
    if (next.kind === 'run') taken.push(next.item);
  }
  return taken;
}

test('starves no priority below its floor', () => {
  const counts = fc.array(fc.nat({max: 60}), {minLength: 2, maxLength: 5});
  fc.assert(
    fc.property(counts, sizes => {
      const {queue} = createQueue();
      let id = 0;
      for (const [priority, size] of sizes.entries()) {
        for (let n = 0; n < size; n++) {
          const job = {id: id++, team: 'a', priority, costMs: 1};
          queue.offer(job, {...job, deadlineMs: FAR_MS});
        }
      }
      const order = takeAll(queue).map(({priority}) => priority);
      expect(order).toHaveLength(id);
      // What the priorities above leave, until the lower ones are empty.
      for (let step = 0; step + 1 < sizes.length; step++) {
        const left = order.filter(priority => priority >= step);
        const lastLower = left.findLastIndex(priority => priority > step);
        for (let i = 0; i + FLOOR_DISPATCH_INTERVAL <= lastLower + 1; i++) {
          const window = left.slice(i, i + FLOOR_DISPATCH_INTERVAL);
          expect(window.some(priority => priority > step)).toBe(true);
        }
      }
    }),
    SHORT,
  );
});

test('dispatches the more urgent first, but for the floor', () => {
  const priorities = fc.array(fc.nat({max: 3}), {minLength: 1, maxLength: 80});
  fc.assert(
    fc.property(priorities, queued => {
      const {queue} = createQueue();
      for (const [id, priority] of queued.entries()) {
        const job = {id, team: 'a', priority, costMs: 1};
        queue.offer(job, {...job, deadlineMs: FAR_MS});
      }
      const waiting = [...queued];
      let lowerTurns = 0;
      const order = takeAll(queue).map(({priority}) => priority);
      for (const priority of order) {
        if (priority > Math.min(...waiting)) lowerTurns += 1;
        waiting.splice(waiting.indexOf(priority), 1);
      }
      expect(lowerTurns).toBeLessThanOrEqual(
        queued.length / FLOOR_DISPATCH_INTERVAL,
      );
    }),
    SHORT,
  );
});

test('gives no team more than its share while another of its priority waits', () => {
  const teams = fc.array(
    fc.record({
      weight: fc.integer({min: 1, max: 8}),
      costs: fc.array(fc.integer({min: 1, max: 60}), {
        minLength: 20,
        maxLength: 40,
      }),
    }),
    {minLength: 2, maxLength: 4},
  );
  fc.assert(
    fc.property(teams, specs => {
      const weights: Record<string, number> = {};
      const maxCostMs = Math.max(...specs.flatMap(({costs}) => costs));
      const {queue} = createQueue(weights);
      let id = 0;
      const remaining = new Map<string, number>();
      for (const [index, {weight, costs}] of specs.entries()) {
        const team = `t${index}`;
        weights[team] = weight;
        remaining.set(team, costs.length);
        for (const costMs of costs) {
          const job = {id: id++, team, priority: 0, costMs};
          queue.offer(job, {...job, deadlineMs: FAR_MS});
        }
      }
      const servedMs = new Map<string, number>();
      for (const {team, costMs} of takeAll(queue)) {
        if ([...remaining.values()].some(count => count === 0)) break;
        remaining.set(team, remaining.get(team)! - 1);
        servedMs.set(team, (servedMs.get(team) ?? 0) + costMs);
        const shares = [...remaining.keys()].map(
          name => (servedMs.get(name) ?? 0) / weights[name]!,
        );
        // Start-time fair queueing: one item of each of two teams apart.
        const bound = 2 * maxCostMs;
        expect(Math.max(...shares) - Math.min(...shares)).toBeLessThanOrEqual(
          bound,
        );
      }
    }),
    SHORT,
  );
});

type Step =
  | {readonly kind: 'offer'; readonly job: Omit<Job, 'id'>; goalMs: number}
  | {readonly kind: 'take' | 'review' | 'expire'}
  | {readonly kind: 'remove'; readonly id: number}
  | {readonly kind: 'wait'; readonly ms: number};

const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('offer' as const),
    job: fc.record({
      team: fc.constantFrom('a', 'b', 'c'),
      priority: fc.nat({max: 3}),
      costMs: fc.integer({min: 1, max: 60}),
    }),
    goalMs: fc.integer({min: 1, max: 400}),
  }),
  fc.record({kind: fc.constantFrom('take' as const, 'review', 'expire')}),
  fc.record({kind: fc.constant('remove' as const), id: fc.nat({max: 60})}),
  fc.record({kind: fc.constant('wait' as const), ms: fc.nat({max: 60})}),
);

test('settles each item exactly once, whatever happens to it', () => {
  fc.assert(
    fc.property(fc.array(STEP, {maxLength: 150}), steps => {
      const {clock, queue} = createQueue();
      const jobs: Job[] = [];
      const settled: number[] = [];
      const settle = (job: Job | undefined) => {
        if (job !== undefined) settled.push(job.id);
      };
      for (const step of steps) {
        switch (step.kind) {
          case 'offer': {
            const job = {...step.job, id: jobs.length};
            jobs.push(job);
            const latencyGoalMs = clock.now() + step.goalMs;
            const deadlineMs = clock.now() + 3 * step.goalMs;
            const offered = queue.offer(job, {
              ...job,
              deadlineMs,
              latencyGoalMs,
            });
            if (offered.kind === 'refused') settle(job);
            break;
          }
          case 'take':
            settle(queue.take()?.item);
            break;
          case 'review':
            for (const job of queue.takeHopeless()) settle(job);
            break;
          case 'expire':
            settle(queue.takeExpired());
            break;
          case 'remove': {
            const job = jobs[step.id];
            if (job !== undefined && queue.remove(job)) settle(job);
            break;
          }
          case 'wait':
            clock.advance(step.ms);
        }
        expect(queue.size).toBe(jobs.length - settled.length);
      }
      for (let next = queue.take(); next !== undefined; next = queue.take()) {
        settle(next.item);
      }
      expect(settled.toSorted((a, b) => a - b)).toEqual(jobs.map(({id}) => id));
    }),
    {numRuns: 200},
  );
});
