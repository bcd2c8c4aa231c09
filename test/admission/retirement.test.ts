import {expect, test} from 'vitest';
import {RetirementTimers} from '../../src/admission/retirement-timers.js';
import {RetirementWatch} from '../../src/admission/retirement-watch.js';
import {SpendGuard} from '../../src/admission/spend-guard.js';
import type {NodeRef, Standing} from '../../src/admission/types.js';
import {ManualClock} from './manual-clock.js';

const SELF: NodeRef = {vm: 'vm1', instance: 'i1'};
const OTHER: NodeRef = {vm: 'vm2', instance: 'i2'};

function createFixture() {
  const clock = new ManualClock();
  const retired = new Set<string>();
  const edits: string[] = [];
  const state: {standing: Standing; live: NodeRef[]} = {
    standing: 'current',
    live: [SELF, OTHER],
  };
  const standing = {standing: () => state.standing};
  const config = {
    limits: () => undefined,
    retired: () => retired,
    retire: async (instance: string) => void edits.push(instance),
  };
  const peers = {
    call: () => Promise.reject(new Error('unexpected peer call')),
    live: () => state.live,
    isGone: (instance: string) =>
      !state.live.some(node => node.instance === instance),
    homeOrder: () => state.live,
  };
  const guard = new SpendGuard(SELF.instance, clock, standing, config);
  const deps = {self: SELF.instance, guard, peers, standing, config};
  const timers = new RetirementTimers(guard);
  return {
    clock,
    retired,
    edits,
    state,
    timers,
    watch: new RetirementWatch(deps),
  };
}

test('a share may be reclaimed two standing limits after its holder was retired', () => {
  const {clock, retired, timers} = createFixture();
  expect(timers.isReclaimable('i2')).toBe(false);
  retired.add('i2');
  expect(timers.isReclaimable('i2')).toBe(false);
  clock.advance(5_999);
  expect(timers.isReclaimable('i2')).toBe(false);
  clock.advance(1);
  expect(timers.isReclaimable('i2')).toBe(true);
});

test('the timer restarts if the owner was cut off', () => {
  const {clock, retired, state, timers} = createFixture();
  retired.add('i2');
  timers.isReclaimable('i2');
  clock.advance(5_000);
  state.standing = 'cutOff';
  timers.resetIfCutOff();
  state.standing = 'current';
  clock.advance(5_000);
  expect(timers.isReclaimable('i2')).toBe(false);
  clock.advance(6_000);
  expect(timers.isReclaimable('i2')).toBe(true);
});

test('retires an instance only after it has been gone for 3 s without a break', async () => {
  const {clock, edits, state, watch} = createFixture();
  const needed = new Set(['i2']);
  state.live = [SELF];
  await watch.check(needed);
  clock.advance(2_000);
  state.live = [SELF, OTHER];
  await watch.check(needed);
  state.live = [SELF];
  await watch.check(needed);
  clock.advance(2_999);
  await watch.check(needed);
  expect(edits).toEqual([]);
  clock.advance(1);
  await watch.check(needed);
  expect(edits).toEqual(['i2']);
});

test('retires no instance during a store outage', async () => {
  const {clock, edits, state, watch} = createFixture();
  state.live = [SELF];
  state.standing = 'outage';
  for (let i = 0; i < 10; i++) {
    await watch.check(new Set(['i2']));
    clock.advance(1_000);
  }
  expect(edits).toEqual([]);
});
