import {expect, test} from 'vitest';
import {ConcurrencyLimit} from '../../src/admission/concurrency-limit.js';
import {AdaptiveLimit} from './adaptive-limit.js';
import {createRandom} from './random.js';
import {runSlotModel, type LimitModel} from './slot-model.js';

function runModel(limit: LimitModel) {
  const random = createRandom(3);
  return runSlotModel(limit, {
    slots: 2,
    hopMs: 1,
    serviceMs: () => -Math.log(1 - random.next()) * 4,
    runMs: 60_000,
    urgentPerSecond: 50,
    seed: 1,
  });
}

test('is one more than the slots, but no more than the connections', () => {
  const database = {slots: 2, connections: 16};
  const limit = new ConcurrencyLimit({
    slots: () => database.slots,
    connections: () => database.connections,
  });
  expect(limit.value).toBe(3);
  database.slots = 4;
  expect(limit.value).toBe(5);
  database.connections = 1;
  expect(limit.value).toBe(1);
});

test('is no more than the pace of the database', () => {
  const limit = new ConcurrencyLimit({
    slots: () => 4,
    connections: () => 3,
    pace: {limit: slots => slots - 2},
  });
  expect(limit.value).toBe(2);
});

test('keeps two slots busy and the latency of urgent work low', () => {
  const connections = () => 16;
  const chosen = runModel(new ConcurrencyLimit({slots: () => 2, connections}));
  const slotsOnly = runModel({value: 2});
  const all = runModel({value: 16});
  expect(chosen.perSecond).toBeGreaterThan(1.2 * slotsOnly.perSecond);
  expect(chosen.urgentP99Ms).toBeLessThan(0.5 * all.urgentP99Ms);
});

test('has a higher throughput than a limit that adapts to latency', () => {
  const connections = () => 16;
  const chosen = runModel(new ConcurrencyLimit({slots: () => 2, connections}));
  const adaptive = runModel(new AdaptiveLimit(2));
  expect(chosen.perSecond).toBeGreaterThan(adaptive.perSecond);
});
