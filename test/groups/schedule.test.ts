import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {AckMode} from '../../src/groups/replica-confirmer.js';
import {DATABASE_IDS, NODE_IDS, type Action, type Step} from './actions.js';
import {ScheduleRun} from './schedule.js';

const SEED = Number(process.env['ZINNIA_TEST_SEED'] ?? 20_261_203);
const SCHEDULES = Number(process.env['ZINNIA_TEST_SCHEDULES'] ?? 1_000);

const node = fc.constantFrom(...NODE_IDS);
const database = fc.constantFrom(...DATABASE_IDS);
const session = fc.constantFrom('s1', 's2');
const ack = fc.constantFrom<AckMode>('replica', 'replica', 'primary');

function action<K extends Action['kind']>(
  kind: K,
  fields: Record<string, fc.Arbitrary<unknown>> = {},
): fc.Arbitrary<Action> {
  return fc
    .record({kind: fc.constant(kind), ...fields})
    .map(value => value as unknown as Action);
}

const actions = fc.oneof(
  {
    weight: 4,
    arbitrary: action('isolate', {
      // Mostly one database, possibly with other endpoints on its side.
      ends: fc
        .tuple(database, fc.subarray([...NODE_IDS, ...DATABASE_IDS]))
        .map(([id, others]) => [...new Set([id, ...others.slice(0, 2)])]),
    }),
  },
  {weight: 2, arbitrary: action('mend')},
  {weight: 2, arbitrary: action('freeze', {database})},
  {weight: 6, arbitrary: action('resume', {database})},
  {weight: 2, arbitrary: action('crash', {database})},
  {weight: 6, arbitrary: action('restart', {database})},
  {weight: 1, arbitrary: action('lag', {database, ms: fc.nat(500)})},
  {weight: 1, arbitrary: action('pauseNode', {node})},
  {weight: 3, arbitrary: action('resumeNode', {node})},
  {weight: 1, arbitrary: action('slowLink', {node, database, ms: fc.nat(200)})},
  {
    weight: 1,
    arbitrary: action('loseAnswers', {node, database, count: fc.nat(3)}),
  },
  {
    weight: 1,
    arbitrary: action('duplicate', {node, database, afterMs: fc.nat(1_500)}),
  },
  {weight: 12, arbitrary: action('write', {node, session, ack})},
  {
    weight: 10,
    arbitrary: action('read', {node, session, staleMs: fc.nat(5_000)}),
  },
);

const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.record({waitMs: fc.oneof(fc.nat(40), fc.nat(1_200)), action: actions}),
  {minLength: 12, maxLength: 40, size: 'max'},
);

test(
  'keeps its guarantees under any schedule of faults',
  {timeout: 120_000},
  async () => {
    let promotions = 0;
    let acknowledged = 0;
    let replicaReads = 0;
    await fc.assert(
      fc.asyncProperty(steps, fc.nat(1_000), async (schedule, seed) => {
        const run = new ScheduleRun(seed);
        expect(await run.run(schedule)).toEqual([]);
        promotions += run.group.primary!.term - 1;
        replicaReads += run.reads.filter(kind => kind === 'replica').length;
        acknowledged += run.writes.filter(
          ({result}) => result.kind === 'acknowledged',
        ).length;
      }),
      {seed: SEED, numRuns: SCHEDULES},
    );
    if (process.env['ZINNIA_TEST_SEED'] !== undefined) {
      console.info({SEED, SCHEDULES, promotions, acknowledged, replicaReads});
    }
    // Ensures that the schedules exercise promotions, writes and replica reads.
    expect(promotions).toBeGreaterThan(SCHEDULES / 4);
    expect(acknowledged).toBeGreaterThan(SCHEDULES);
    expect(replicaReads).toBeGreaterThan(SCHEDULES / 4);
  },
);
