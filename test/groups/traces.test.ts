import {readdirSync, readFileSync} from 'node:fs';
import {expect, test} from 'vitest';
import type {Step} from './actions.js';
import {ScheduleRun} from './schedule.js';

const TRACES_PATH = 'test/traces';

/** A recorded schedule with its expected outcome. */
interface Trace {
  readonly description: string;
  readonly seed: number;
  readonly steps: readonly Step[];
  /** Written by hand: what the guarantees require at this seed. */
  readonly expected: {
    readonly writes: Readonly<Record<string, string>>;
    readonly reads: readonly string[];
    /** Term and database of each promotion after the first. */
    readonly promotions: readonly string[];
  };
}

test.each(readdirSync(TRACES_PATH))('replays %s', async name => {
  const text = readFileSync(`${TRACES_PATH}/${name}`, 'utf8');
  const trace = JSON.parse(text) as Trace;
  const run = new ScheduleRun(trace.seed);
  expect(await run.run(trace.steps)).toEqual([]);
  expect({
    writes: run.outcomes,
    reads: run.reads,
    promotions: promotionsOf(run),
  }).toEqual(trace.expected);
});

function promotionsOf(run: ScheduleRun): readonly string[] {
  return run.group.databases
    .flatMap(({spec, promotions}) =>
      promotions.map(({term}) => ({term, id: spec.id})),
    )
    .filter(({term}) => term > 1)
    .sort((a, b) => a.term - b.term)
    .map(({term, id}) => `${term} ${id}`);
}
