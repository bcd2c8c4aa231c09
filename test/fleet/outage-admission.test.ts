import {expect, test} from 'vitest';
import type {Fleet, FleetNode} from '../../demo/fleet.js';
import {connect, startFleet, waitUntil, type ClientError} from './fixture.js';

/** Longer than a refusal's own retry time, 1 s. */
const ADMISSION_TIMEOUT_MS = 4_000;
const WARM_UP_READS = 20;

test('a team that is first heard of in a store outage is served within its rate', async () => {
  const running = await startFleet();
  await running.controlStore('outage', {on: true});
  for (const node of running.nodes) await expectReadServed(running, node);
});

for (const index of [0, 1, 2]) {
  test(`node ${index + 1} restarted in a store outage serves a team within its rate again`, async () => {
    const running = await startFleet();
    for (const node of running.nodes) {
      for (let n = 0; n < WARM_UP_READS; n++)
        await expectReadServed(running, node);
    }
    await running.controlStore('outage', {on: true});
    const node = running.nodes[index]!;
    node.process.signal('SIGKILL');
    await node.process.exited();
    await running.restartNode(node);
    for (const one of running.nodes) await expectReadServed(running, one);
  });
}

/** One read is served; the last refusal is in the error if none is. */
async function expectReadServed(on: Fleet, node: FleetNode): Promise<void> {
  const client = await connect(on, node);
  let last = 'no answer';
  try {
    await waitUntil('a read is served', ADMISSION_TIMEOUT_MS, () =>
      client.query('SELECT id FROM counters').catch((err: ClientError) => {
        last = `${err.code} ${err.message} ${err.detail}`;
        return undefined;
      }),
    );
  } catch {
    expect.fail(
      `${node.vm} serves nothing in ${ADMISSION_TIMEOUT_MS} ms: ${last}`,
    );
  } finally {
    await client.end();
  }
}
