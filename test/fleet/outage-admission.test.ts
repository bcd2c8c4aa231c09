import {expect, test} from 'vitest';
import type {Fleet, FleetNode} from '../../demo/fleet.js';
import {connect, startFleet, waitUntil, type ClientError} from './fixture.js';

/** Longer than the retry time of 1 s that a refusal asks for. */
const ADMISSION_TIMEOUT_MS = 4_000;
const WARM_UP_READS = 20;

test('a team whose first request arrives during a store outage is served within its rate', async () => {
  const fleet = await startFleet();
  await fleet.controlStore('outage', {on: true});
  for (const node of fleet.nodes) await expectReadServed(fleet, node);
});

for (const index of [0, 1, 2]) {
  test(`node ${index + 1} restarted during a store outage serves a team within its rate again`, async () => {
    const fleet = await startFleet();
    for (const node of fleet.nodes) {
      for (let n = 0; n < WARM_UP_READS; n++)
        await expectReadServed(fleet, node);
    }
    await fleet.controlStore('outage', {on: true});
    const node = fleet.nodes[index]!;
    node.process.signal('SIGKILL');
    await node.process.exited();
    await fleet.restartNode(node);
    for (const one of fleet.nodes) await expectReadServed(fleet, one);
  });
}

/** Retries a read until it succeeds; fails with the last refusal after the timeout. */
async function expectReadServed(fleet: Fleet, node: FleetNode): Promise<void> {
  const client = await connect(fleet, node);
  let lastError = 'no response';
  try {
    await waitUntil('a read is served', ADMISSION_TIMEOUT_MS, () =>
      client.query('SELECT id FROM counters').catch((err: ClientError) => {
        lastError = `${err.code} ${err.message} ${err.detail}`;
        return undefined;
      }),
    );
  } catch {
    expect.fail(
      `${node.vm} served no read within ${ADMISSION_TIMEOUT_MS} ms: ${lastError}`,
    );
  } finally {
    await client.end();
  }
}
