/**
 * By hand with more seeds, callers or nodes:
 * `SOAK_SEEDS=50 SOAK_NODES=6 npx vitest run test/platform/soak.test.ts`.
 */
import {beforeAll, expect, it} from 'vitest';
import {bundleProgram} from './node-process.js';
import {Soak} from './soak.js';

const SEEDS = Number(process.env['SOAK_SEEDS'] ?? 4);
const FIRST_SEED = Number(process.env['SOAK_FIRST_SEED'] ?? 1);
const NODES = Number(process.env['SOAK_NODES'] ?? 3);
const CALLERS = Number(process.env['SOAK_CALLERS'] ?? 12);
const DURATION_MS = Number(process.env['SOAK_MS'] ?? 6_000);

let program: string;
beforeAll(() => {
  program = bundleProgram();
});

it.each(Array.from({length: SEEDS}, (_, n) => FIRST_SEED + n))(
  'keeps every promise while nodes stop, end and return, seed %i',
  async seed => {
    const soak = new Soak(program, {
      seed,
      nodes: NODES,
      callers: CALLERS,
      durationMs: DURATION_MS,
    });
    const {violations, ...counts} = await soak.run();
    console.log(`seed ${seed}: ${JSON.stringify(counts)}`);
    expect(violations).toEqual([]);
    expect(counts.done).toBeGreaterThan(CALLERS);
  },
);
