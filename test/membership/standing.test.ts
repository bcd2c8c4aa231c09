import {afterEach, describe, expect, it} from 'vitest';
import type {Standing} from '../../src/membership/standing.js';
import {Fleet, type FleetOptions} from './fleet.js';

const LIMIT_MS = 3_000;
const SIZE = 7;

let fleet: Fleet;

async function startFleet(options: Partial<FleetOptions> = {}): Promise<void> {
  fleet = new Fleet({size: SIZE, ...options});
  fleet.startAll();
  await fleet.clock.advance(5_000);
}

afterEach(() => fleet.stop());

function currentStandings(ids = fleet.ids()): Set<Standing> {
  return new Set(ids.map(id => fleet.node(id).standing.evaluate()));
}

/** Every standing of the given nodes while time passes. */
async function standingsDuring(
  ms: number,
  ids = fleet.ids(),
): Promise<Set<Standing>> {
  const seen = new Set<Standing>();
  for (let passed = 0; passed < ms; passed += 100) {
    await fleet.clock.advance(100);
    for (const standing of currentStandings(ids)) seen.add(standing);
  }
  return seen;
}

describe('standing', () => {
  it('is current on every node while a few watchers read the store', async () => {
    await startFleet();
    const watchers = fleet.ids().filter(id => fleet.node(id).isWatcher);
    expect(watchers).toHaveLength(4);
    expect(await standingsDuring(20_000)).toEqual(new Set(['current']));
  });

  it('is outage and never cut off during a store outage of 10 min', async () => {
    await startFleet();
    fleet.store.unreachableFor = 'all';
    const seen = await standingsDuring(600_000);
    expect(seen).toEqual(new Set(['current', 'outage']));
    expect(currentStandings()).toEqual(new Set(['outage']));
    fleet.store.unreachableFor = new Set();
    await fleet.clock.advance(4_000);
    expect(currentStandings()).toEqual(new Set(['current']));
  });

  it('is cut off within the limit on an isolated node', async () => {
    await startFleet();
    const [isolated] = fleet.ids();
    fleet.net.partition([isolated!]);
    fleet.store.unreachableFor = new Set([isolated!]);
    await fleet.clock.advance(LIMIT_MS + 1);
    expect(fleet.node(isolated!).standing.evaluate()).toBe('cutOff');
    const others = fleet.ids().filter(id => id !== isolated);
    expect(currentStandings(others)).toEqual(new Set(['current']));
    fleet.net.heal();
    fleet.store.unreachableFor = new Set();
    await fleet.clock.advance(3_000);
    expect(currentStandings()).toEqual(new Set(['current']));
  });

  it('is cut off in a minority partition without store access', async () => {
    await startFleet();
    const partitioned = fleet.ids().slice(0, 3);
    fleet.net.partition(partitioned);
    fleet.store.unreachableFor = new Set(partitioned);
    await fleet.clock.advance(LIMIT_MS + 1);
    expect(currentStandings(partitioned)).toEqual(new Set(['cutOff']));
    expect(await standingsDuring(60_000, partitioned)).toEqual(
      new Set(['cutOff']),
    );
    expect(currentStandings(fleet.ids().slice(3))).toEqual(
      new Set(['current']),
    );
  });

  it('is current in a minority partition with store access', async () => {
    await startFleet();
    const partitioned = fleet.ids().slice(0, 2);
    fleet.net.partition(partitioned);
    await fleet.clock.advance(10_000);
    expect(await standingsDuring(20_000)).toEqual(new Set(['current']));
  });

  it('is cut off after a pause of 30 s until there is fresh contact', async () => {
    await startFleet();
    for (const id of fleet.ids().slice(0, 5)) {
      const clock = fleet.clockOf(id);
      const before = fleet.node(id).storeContact.ageMs();
      clock.pause();
      await fleet.clock.advance(30_000);
      clock.resume();
      // Messages queued during the pause must not count as fresh contact.
      for (let turn = 0; turn < 10; turn++) {
        expect(fleet.node(id).standing.evaluate()).toBe('cutOff');
        await fleet.clock.settle();
      }
      expect(fleet.node(id).storeContact.ageMs()).toBeGreaterThan(before);
      await fleet.clock.advance(2_000);
      expect(fleet.node(id).standing.evaluate()).toBe('current');
    }
  });

  it('detects a pause that only the wall clock shows', async () => {
    await startFleet();
    const [id] = fleet.ids();
    fleet.clockOf(id!).shiftWallClock(30_000);
    expect(fleet.node(id!).standing.evaluate()).toBe('cutOff');
    await fleet.clock.advance(2_000);
    expect(fleet.node(id!).standing.evaluate()).toBe('current');
  });

  it('stays current with clock skew, packet loss and jitter', async () => {
    const clocks = (id: string) => {
      const at = Number(id.slice(-1));
      return {offsetMs: at * 1e7, wallOffsetMs: -at * 1e8, rate: 1 + at / 1e3};
    };
    const faults = {latencyMs: 2, jitterMs: 20, loss: 0.05};
    await startFleet({clocks, faults});
    expect(await standingsDuring(60_000)).toEqual(new Set(['current']));
  });
});
