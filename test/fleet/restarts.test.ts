import {expect, test} from 'vitest';
import {runOpenLoad} from '../../bench/open-load.js';
import type {Fleet} from '../../demo/fleet.js';
import {MIXED_LOAD} from '../../demo/session-load.js';
import {
  countFailures,
  findGuaranteeViolations,
  findInterruptedRequests,
  GROUP,
  OTHER_TEAM,
  startFleet,
  startLoad,
  waitForProgress,
} from './fixture.js';

const SEED = 41;
const NODES = 7;
/** Statements between two restarts, so that every node carries load. */
const STATEMENTS_BETWEEN_RESTARTS = 150;
const MIX = {...MIXED_LOAD, transactions: 0.2, readsInTransactions: true};
const RATE = 200;
const BURST = 100;
/** Share of its rate that the team sends over all nodes. */
const LOAD_SHARE = 0.8;
const SEND_MS = 1_500;
const WARM_UP_MS = 500;

test('a rolling restart of all 7 nodes under load cuts no request and loses, doubles or ages nothing', async () => {
  const team = {name: OTHER_TEAM, rate: RATE, burst: BURST};
  const fleet = await startFleet({nodes: NODES, teams: [team]});
  // Makes every node hold a share of the team's budget.
  await sendWithinRate(fleet, WARM_UP_MS);
  const load = startLoad(fleet, SEED, {mix: MIX});
  await waitForProgress(load, STATEMENTS_BETWEEN_RESTARTS);
  for (const node of fleet.nodes) {
    node.process.signal('SIGTERM');
    await node.process.exited();
    expect.soft(node.process.log).toMatch(/event=shutdownFinished .*cut=0/);
    await fleet.restartNode(node);
    await waitForProgress(load, STATEMENTS_BETWEEN_RESTARTS);
  }
  const record = await load.stop();
  expect.soft(countFailures(findInterruptedRequests(record))).toEqual({});
  expect.soft(await findGuaranteeViolations(fleet, record)).toEqual([]);
  expect.soft(await sendWithinRate(fleet, SEND_MS)).toEqual(['done']);
  expect(await countRefusedConnections(fleet)).toBe(0);
});

/** Sends below the team's rate over all nodes; returns the distinct outcomes. */
async function sendWithinRate(
  fleet: Fleet,
  durationMs: number,
): Promise<readonly string[]> {
  const {sent} = await runOpenLoad({
    fleet,
    team: OTHER_TEAM,
    group: GROUP,
    rate: RATE * LOAD_SHARE,
    nodes: fleet.nodes,
    durationMs,
  });
  return [...new Set(sent.map(({outcome, code}) => code || outcome))];
}

/** Counts the connections that databases refused at their connection limit. */
async function countRefusedConnections(fleet: Fleet): Promise<number> {
  const counts = await Promise.all(
    fleet.databases.map(database =>
      fleet.readDatabase<{readonly refusedConnections: number}>(
        database,
        'counts',
      ),
    ),
  );
  return counts.reduce((sum, one) => sum + one.refusedConnections, 0);
}
