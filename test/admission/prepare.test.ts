import {expect, test} from 'vitest';
import {Cluster} from './cluster.js';

/** Longer than several rounds of a service's housekeeping. */
const SLOW_CALL_MS = 700;

test('a budget that is taken up through a slow store is not forgotten', async () => {
  const limits = {a: {rate: 10, burst: 10}};
  const cluster = new Cluster({nodes: 3, seed: 1, limits});
  cluster.store.latencyMs = SLOW_CALL_MS;
  const [service] = [...cluster.services.values()];
  const prepared = service!.prepare(['a']);
  await cluster.time.advance(4 * SLOW_CALL_MS);
  await prepared;
  const admitted = service!.admit('a', cluster.time.now() + 5_000);
  await cluster.time.advance(1_000);
  expect(await admitted).toEqual({kind: 'admitted'});
});
