import {expect, test} from 'vitest';
import {connect, findHome, insert, sleep, startFleet} from './fixture.js';

const DRAIN_MS = 1_500;
/** Maximum time for the rest of a shutdown: notifying peers and returning budget shares. */
const MAX_OTHER_SHUTDOWN_MS = 1_000;
/** Writes through another node, which must not wait for the home's drain. */
const WRITE_COUNT = 5;

test('a shutdown takes its drain time once, whoever leaves a transaction open', async () => {
  const fleet = await startFleet({env: {ZINNIA_DRAIN_MS: String(DRAIN_MS)}});
  const [firstNode] = fleet.nodes;
  const home = await findHome(fleet, firstNode!);
  const other = fleet.nodes.find(node => node !== home);
  for (const node of [home, other!]) {
    const client = await connect(fleet, node);
    await client.query('BEGIN');
    await insert(client, `left-${node.vm}`);
  }
  const startedAt = performance.now();
  home.process.signal('SIGTERM');
  const client = await connect(fleet, other!);
  for (let n = 0; n < WRITE_COUNT; n++) await insert(client, `during-${n}`);
  expect(performance.now() - startedAt).toBeLessThan(DRAIN_MS);
  await home.process.exited();
  const elapsedMs = performance.now() - startedAt;
  expect(home.process.log).toMatch(/event=shutdownFinished .*cut=1/);
  expect(elapsedMs).toBeGreaterThanOrEqual(DRAIN_MS);
  expect(elapsedMs).toBeLessThan(DRAIN_MS + MAX_OTHER_SHUTDOWN_MS);
});

// The second signal ended the process at once.
test('a shutdown that is requested again cuts no transaction', async () => {
  const fleet = await startFleet({env: {ZINNIA_DRAIN_MS: String(DRAIN_MS)}});
  const [node] = fleet.nodes;
  const client = await connect(fleet, node!);
  await client.query('BEGIN');
  await insert(client, 'before');
  for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT'] as const) {
    node!.process.signal(signal);
    await sleep(DRAIN_MS / 6);
  }
  await insert(client, 'after');
  await client.query('COMMIT');
  await node!.process.exited();
  expect(node!.process.log).toMatch(/event=shutdownFinished .*cut=0/);
});
