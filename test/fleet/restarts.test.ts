import {expect, test} from 'vitest';
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

test('a rolling restart under load cuts no request and loses, doubles or ages nothing', async () => {
  const fleet = await startFleet();
  const load = startLoad(fleet, SEED);
  await waitForProgress(load, STATEMENTS_BETWEEN);
  for (const node of fleet.nodes) {
    node.process.signal('SIGTERM');
    await node.process.exited();
    await fleet.restartNode(node);
    await waitForProgress(load, STATEMENTS_BETWEEN);
  }
  const record = await load.stop();
  expect.soft(countFailures(findCutRequests(record))).toEqual({});
  expect(await findBroken(fleet, record)).toEqual([]);
});
