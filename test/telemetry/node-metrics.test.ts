import type {AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import {NodeMetrics} from '../../src/telemetry/node-metrics.js';

const NONE = () => 0;

// The totals are copied at each scrape; adding them up would inflate them.
it('shows the bytes sent to other nodes as they are at each scrape', async () => {
  const metrics = new NodeMetrics();
  let bytes = 700;
  metrics.registerGauges({
    sessions: NONE,
    catalogAgeMs: NONE,
    catalogVersion: NONE,
    members: NONE,
    homeActive: NONE,
    peerTraffic: () => [{method: 'feed.changes', scope: 'remote', bytes}],
    evacuatedDataCentres: () => 0,
    delayMs: () => 0,
    isSlow: () => false,
  });
  const server = await metrics.listen('127.0.0.1', 0);
  const {port} = server.address() as AddressInfo;
  const scrape = async () =>
    (await fetch(`http://127.0.0.1:${port}/metrics`)).text();
  const line = (n: number) =>
    `zinnia_peer_bytes_total{method="feed.changes",scope="remote"} ${n}`;
  expect(await scrape()).toContain(line(700));
  bytes = 900;
  expect(await scrape()).toContain(line(900));
  server.close();
});
