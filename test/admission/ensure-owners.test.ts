import {expect, test} from 'vitest';
import {BudgetService} from '../../src/admission/budget-service.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {Cluster} from './cluster.js';
import {createRandom} from './random.js';
import {RecordStore} from './record-store.js';

/** Longer than several ticks of the service, which drop idle budgets. */
const SLOW_CALL_MS = 700;

test('a budget is not dropped while a slow store answers the claim', async () => {
  const limits = {a: {rate: 10, burst: 10}};
  const cluster = new Cluster({nodes: 3, seed: 1, limits});
  cluster.store.latencyMs = SLOW_CALL_MS;
  const [service] = [...cluster.services.values()];
  const prepared = service!.ensureOwners(['a']);
  await cluster.time.advance(4 * SLOW_CALL_MS);
  await prepared;
  const admitted = service!.admit('a', cluster.time.now() + 5_000);
  await cluster.time.advance(1_000);
  expect(await admitted).toEqual({kind: 'admitted'});
});

test('a statement is admitted although the preferred owner does not run yet', async () => {
  const clock = new VirtualClock();
  const store = new RecordStore().seenBy({clock, isPartitioned: false});
  const self = {vm: 'vm1', instance: 'vm1/a'};
  const starting = {vm: 'vm2', instance: 'vm2/a'};
  const service = new BudgetService({
    self,
    clock,
    random: createRandom(1),
    store,
    standing: {standing: () => 'current'},
    config: {
      limits: () => ({rate: 10, burst: 10}),
      retired: () => new Set(),
      retire: () => Promise.resolve(),
    },
    peers: {
      call: () => Promise.reject(new Error('connection refused')),
      live: () => [starting, self],
      isGone: () => false,
      homeOrder: () => [starting, self],
    },
  });
  const admission = service.admit('a', clock.now() + 500);
  await clock.advance(500);
  expect(await admission).toEqual({kind: 'admitted'});
});
