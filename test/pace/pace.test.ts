import {beforeAll, describe, expect, it} from 'vitest';
import {runPaceModel, type ModelEnd} from '../../bench/pace-model.js';
import {PACE_SCENARIOS} from '../../bench/pace-scenarios.js';
import {AdditivePace} from '../../src/pace/additive-pace.js';
import type {PaceEvent} from '../../src/pace/pace.js';

const SLOTS = 4;
const FAULT_AT_MS = 2_000;
const RETURN_AT_MS = 3_500;

/** Replays a load with the pace and without it. */
async function replay(name: keyof typeof PACE_SCENARIOS) {
  const scenario = {...PACE_SCENARIOS[name], seed: 5};
  const events: PaceEvent[] = [];
  const createPace = () => new AdditivePace(event => events.push(event));
  const paced = await runPaceModel({...scenario, createPace});
  const unpaced = await runPaceModel({
    ...scenario,
    createPace: () => undefined,
  });
  return {paced, unpaced, events};
}

/** Counts the statements since the fault by how they ended. */
function count(
  ends: readonly ModelEnd[],
  outcome: ModelEnd['outcome'],
): number {
  return ends.filter(
    end => end.arrivedAt >= FAULT_AT_MS && end.outcome === outcome,
  ).length;
}

function partInTime(ends: readonly ModelEnd[]): number {
  const all = ends.filter(({arrivedAt}) => arrivedAt >= FAULT_AT_MS).length;
  return count(ends, 'inTime') / all;
}

/** Milliseconds from the return of the databases to the first answer. */
function firstAnswerMs(ends: readonly ModelEnd[]): number {
  const answered = ends
    .filter(({outcome}) => outcome === 'inTime' || outcome === 'late')
    .map(({endedAt}) => endedAt - RETURN_AT_MS);
  return Math.min(...answered.filter(ms => ms > 0));
}

function answer(pace: AdditivePace, answers: number, tookMs = 10): void {
  for (let n = 0; n < answers; n++) {
    pace.limit(SLOTS);
    pace.recordAnswer(tookMs, 10);
  }
}

describe('a database flooded after a crash', () => {
  it('fails far fewer statements than without a pace and answers as many', async () => {
    const {paced, unpaced} = await replay(
      'cold caches on one disk, the only one',
    );
    expect(count(paced, 'failed')).toBeLessThan(0.4 * count(unpaced, 'failed'));
    expect(count(paced, 'inTime')).toBeGreaterThan(
      0.9 * count(unpaced, 'inTime'),
    );
  });
});

describe('a database that would be left idle after its return', () => {
  let runs: Awaited<ReturnType<typeof replay>>;
  beforeAll(async () => {
    runs = await replay('cold caches, the only one');
  });

  it('gets its first statement as soon as without a pace', () => {
    const waitedMs = firstAnswerMs(runs.paced) - firstAnswerMs(runs.unpaced);
    expect(waitedMs).toBeLessThan(50);
  });

  it('answers nearly as many statements in time as without a pace', () => {
    const ratio = count(runs.paced, 'inTime') / count(runs.unpaced, 'inTime');
    expect(ratio).toBeGreaterThan(0.93);
  });

  it('is no longer paced once it answers at the normal limit', () => {
    const {reason, limit} = runs.events.find(({kind}) => kind === 'ended')!;
    expect({reason, limit}).toEqual({reason: 'started', limit: SLOTS + 1});
  });
});

describe('a flapping database', () => {
  it('restarts from half of what it last sustained, and never from the maximum', () => {
    const pace = new AdditivePace();
    pace.recordReturn('started');
    answer(pace, 3);
    expect(pace.limit(SLOTS)).toBe(4);
    const limits = Array.from({length: 4}, () => {
      pace.recordReturn('recovered');
      return pace.limit(SLOTS);
    });
    expect(limits).toEqual([1, 1, 1, 1]);
    answer(pace, 30);
    expect(pace.limit(SLOTS)).toBe(SLOTS + 1);
    pace.recordReturn('recovered');
    expect(pace.limit(SLOTS)).toBe(2);
  });

  it('costs the group hardly any statement', async () => {
    const {paced, events} = await replay('flapping');
    expect(events.map(({reason}) => reason)).toContain('recovered');
    expect(partInTime(paced)).toBeGreaterThan(0.99);
  });
});

describe('one of three replicas with a grey failure', () => {
  it('leaves the load to the others without being abandoned', async () => {
    const {paced} = await replay('7.5 times as slow');
    const atFirst = paced.filter(
      ({database, arrivedAt}) => database === 0 && arrivedAt >= FAULT_AT_MS,
    );
    expect(partInTime(paced)).toBeGreaterThan(0.99);
    expect(atFirst.length).toBeGreaterThan(20);
    expect(atFirst.length).toBeLessThan(paced.length / 10);
  });

  it('fails no more statements than without a pace if it fails part of them', async () => {
    const {paced, unpaced} = await replay('14% failures');
    expect(count(paced, 'failed')).toBeLessThanOrEqual(
      1.05 * count(unpaced, 'failed'),
    );
  });

  it('is paced by its failures and keeps at least one statement', () => {
    const pace = new AdditivePace();
    answer(pace, 20);
    for (let n = 0; n < 50; n++) pace.recordFailure('failed');
    expect(pace.limit(SLOTS)).toBe(1);
  });

  it('is not paced for one failure among many answers', () => {
    const pace = new AdditivePace();
    answer(pace, 20);
    pace.recordFailure('failed');
    expect(pace.limit(SLOTS)).toBe(SLOTS + 1);
  });

  it('rises no further while its answers are slow', () => {
    const pace = new AdditivePace();
    pace.recordReturn('started');
    answer(pace, 50, 75);
    expect(pace.limit(SLOTS)).toBe(1);
  });
});

describe('all three databases that return at once', () => {
  it('fail far fewer statements than without a pace', async () => {
    const {paced, unpaced} = await replay('all three return at once');
    expect(count(paced, 'failed')).toBeLessThan(0.6 * count(unpaced, 'failed'));
    expect(count(paced, 'inTime')).toBeGreaterThan(
      0.92 * count(unpaced, 'inTime'),
    );
  });
});

describe('a promotion under full load', () => {
  it('makes no statement late', async () => {
    const {paced} = await replay('promotion under full load');
    expect(partInTime(paced)).toBeGreaterThan(0.995);
  });

  it('begins at half of the normal limit, a node that takes over at a quarter', () => {
    const limits = (['promoted', 'takenOver'] as const).map(reason => {
      const pace = new AdditivePace();
      pace.limit(7);
      pace.recordReturn(reason);
      return pace.limit(7);
    });
    expect(limits).toEqual([4, 2]);
  });
});
