import {afterEach, expect, test} from 'vitest';
import type {Fleet} from '../../demo/fleet.js';
import {
  countFailures,
  findBroken,
  findCutRequests,
  startFleet,
  startLoad,
  waitForProgress,
} from './fixture.js';

const SEED = 41;
/** Statements between two restarts, so that load is on every node. */
const STATEMENTS_BETWEEN = 300;
const PROGRESS_TIMEOUT_MS = 12_000;

let fleet: Fleet | undefined;

afterEach(async () => {
  await fleet?.stop();
  fleet = undefined;
});

test('a rolling restart under load cuts no request and loses, doubles or ages nothing', async () => {
  fleet = await startFleet();
  const load = startLoad(fleet, SEED);
  await waitForProgress(load, STATEMENTS_BETWEEN, PROGRESS_TIMEOUT_MS);
  for (const node of fleet.nodes) {
    node.process.signal('SIGTERM');
    await node.process.exited();
    await fleet.restartNode(node);
    await waitForProgress(load, STATEMENTS_BETWEEN, PROGRESS_TIMEOUT_MS);
  }
  const record = await load.stop();
  expect.soft(countFailures(findCutRequests(record))).toEqual({});
  expect(await findBroken(fleet, record)).toEqual([]);
});
