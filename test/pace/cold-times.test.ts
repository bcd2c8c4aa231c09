import {expect, it} from 'vitest';
import {decodeDatabase} from '../../platform/catalog.js';
import {ColdTimes} from '../../src/pace/cold-times.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

function announce(coldMs: number | undefined) {
  const address = '10.0.0.1:5432';
  const rest = {service: 'claims', zone: 'hobart', slots: 2, state: 'ready'};
  const value = {address, ...rest, cold_remaining_ms: coldMs};
  return decodeDatabase('db-1', JSON.stringify(value));
}

it('a cold database that counts down in its heartbeats is no news for other nodes', async () => {
  const clock = new VirtualClock();
  const times = new ColdTimes(clock);
  expect(times.apply('db-1', announce(undefined))).toBe(false);
  expect(times.apply('db-1', announce(5_000))).toBe(true);
  for (let left = 4_000; left > 0; left -= 1_000) {
    await clock.advance(1_000);
    expect(times.apply('db-1', announce(left))).toBe(false);
    expect(times.remainingMs('db-1')).toBe(left);
  }
  await clock.advance(1_000);
  expect(times.remainingMs('db-1')).toBe(0);
});

it('a cold database that becomes warm, or cold for longer, is news', async () => {
  const clock = new VirtualClock();
  const times = new ColdTimes(clock);
  times.apply('db-1', announce(5_000));
  expect(times.apply('db-1', announce(9_000))).toBe(true);
  expect(times.remainingMs('db-1')).toBe(9_000);
  expect(times.apply('db-1', announce(0))).toBe(true);
  expect(times.remainingMs('db-1')).toBe(0);
});
