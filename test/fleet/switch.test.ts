import {expect, test} from 'vitest';
import {longestGap} from '../../demo/run-metrics.js';
import type {Fleet} from '../../demo/fleet.js';
import {FleetProcess} from '../../demo/processes.js';
import {WRITE_ONLY_LOAD, type LoadMix} from '../../demo/session-load.js';
import {
  GROUP,
  OTHER_TEAM,
  countFailures,
  findGuaranteeViolations,
  startFleet,
  startLoad,
  waitForProgress,
  waitUntil,
} from './fixture.js';

const SEED = 50;
const STATEMENTS = 300;
/** Mostly transactions, so that some are open at each switch. */
const TRANSACTIONS: LoadMix = {writes: 0.2, transactions: 0.6};
const SWITCHES = 4;
/** Specified target for the time without a write during a planned switch. */
const MAX_WRITE_GAP_MS = 1_000;
const PRIMARY_CHANGE_TIMEOUT_MS = 2_000;

/** Runs `zinnia group switch` as a process; returns its output. */
async function switchGroup(fleet: Fleet, to: string): Promise<string> {
  const args = ['group', 'switch', GROUP, to, `--store=${fleet.storeUrl}`];
  const command = new FleetProcess('src/cli/main.js', args);
  await command.exited();
  return command.output + command.log;
}

test('planned switches under load hold writes, and refuse, lose and double none', async () => {
  const fleet = await startFleet();
  const load = startLoad(fleet, SEED, {mix: WRITE_ONLY_LOAD});
  const transactions = startLoad(fleet, SEED, {
    mix: TRANSACTIONS,
    team: OTHER_TEAM,
  });
  await waitForProgress(load, STATEMENTS);
  const gaps: number[] = [];
  for (let i = 1; i <= SWITCHES; i++) {
    const target = fleet.databases[i % fleet.databases.length]!;
    const from = performance.now();
    const output = await switchGroup(fleet, target.spec.id);
    expect(output).toMatch(
      `${target.spec.id} is primary of ${GROUP} from term`,
    );
    await waitUntil(
      'a node reports the new primary',
      PRIMARY_CHANGE_TIMEOUT_MS,
      async () =>
        (await fleet.findPrimary(GROUP)) === target ? true : undefined,
    );
    await waitForProgress(load, STATEMENTS);
    gaps.push(longestGap(load.record.completions.filter(c => c.at >= from)));
  }
  const records = [await load.stop(), await transactions.stop()];

  console.log(`longest gaps in ms: ${gaps.map(Math.round).join(', ')}`);
  expect.soft(Math.max(...gaps)).toBeLessThan(MAX_WRITE_GAP_MS);
  for (const record of records) {
    expect.soft(countFailures(record.failures)).toEqual({});
    expect.soft(await findGuaranteeViolations(fleet, record)).toEqual([]);
  }
});
