/** `npm run bench -- pace`: compares methods of pacing under virtual time. */
import type {Clock} from '../src/infra/clock.js';
import {AdditivePace} from '../src/pace/additive-pace.js';
import type {Pace} from '../src/pace/pace.js';
import {announcedWarmUp, fixedRamp, LatencyGradient} from './pace-methods.js';
import {runPaceModel, type ModelEnd, type ModelOutcome} from './pace-model.js';
import {PACE_SCENARIOS} from './pace-scenarios.js';

const SEEDS = [1, 2, 3];
/** Faults begin here; what ended before is not counted. */
const FROM_MS = 2_000;

const METHODS: readonly (readonly [
  string,
  (clock: Clock) => Pace | undefined,
])[] = [
  ['no pace', () => undefined],
  ['fixed ramp, 2 s', fixedRamp],
  ['latency gradient', () => new LatencyGradient()],
  ['additive, halved', () => new AdditivePace()],
  ['announced warm-up', announcedWarmUp],
];

/**
 * Runs every scenario with every method and prints the table.
 *
 * @example
 * await run();
 */
export async function run(): Promise<void> {
  printRow(
    'scenario',
    'method',
    'in time %',
    'late %',
    'failed %',
    'refused %',
    'worst 0.5 s %',
  );
  printRow('---', '---', '---', '---', '---', '---', '---');
  for (const [name, scenario] of Object.entries(PACE_SCENARIOS)) {
    for (const [method, createPace] of METHODS) {
      const runs: (readonly ModelEnd[])[] = [];
      for (const seed of SEEDS)
        runs.push(await runPaceModel({...scenario, seed, createPace}));
      const ends = runs.flat().filter(end => end.arrivedAt >= FROM_MS);
      const part = (outcome: ModelOutcome) => percent(ends, outcome);
      printRow(
        name,
        method,
        part('inTime'),
        part('late'),
        part('failed'),
        part('refused'),
        worstWindow(ends),
      );
    }
  }
}

function percent(ends: readonly ModelEnd[], outcome: ModelOutcome): string {
  const count = ends.filter(end => end.outcome === outcome).length;
  return ((count / Math.max(1, ends.length)) * 100).toFixed(1);
}

/** The smallest part answered in time of those that arrived in half a second. */
function worstWindow(ends: readonly ModelEnd[]): string {
  const windows = new Map<number, ModelEnd[]>();
  for (const end of ends) {
    const window = Math.floor(end.arrivedAt / 500);
    windows.set(window, [...(windows.get(window) ?? []), end]);
  }
  const parts = [...windows.values()].map(all =>
    Number(percent(all, 'inTime')),
  );
  return Math.min(...parts).toFixed(1);
}

function printRow(...cells: readonly string[]): void {
  console.log(`| ${cells.join(' | ')} |`);
}
