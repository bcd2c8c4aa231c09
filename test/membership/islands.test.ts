import {afterEach, expect, it} from 'vitest';
import {Fleet} from './fleet.js';

const SIZE = 100;
const LIMIT_MS = 3_000;
/** How long the fleet takes to know itself after its start. */
const SETTLE_MS = 8_000;

let fleet: Fleet;

afterEach(() => fleet.stop());

function standings(ids: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const id of ids) {
    const standing = fleet.node(id).standing.evaluate();
    counts[standing] = (counts[standing] ?? 0) + 1;
  }
  return counts;
}

/** Starts the fleet; returns the VMs of one data centre. */
async function startWithIsland(): Promise<readonly string[]> {
  fleet = new Fleet({size: SIZE});
  fleet.startAll();
  await fleet.clock.advance(SETTLE_MS);
  return fleet.records.filter(vm => vm.dataCentre === 'dc-b').map(vm => vm.id);
}

/** Waits until `check` holds, at most one minute. */
async function expectWithinMinute(check: () => boolean): Promise<void> {
  const startMs = fleet.clock.now();
  const held = await fleet.clock.advanceUntil(check, 60_000, 100);
  expect(held, `waited ${fleet.clock.now() - startMs} ms`).toBe(true);
}

it('cuts off a data centre of 25 VMs and takes it back', async () => {
  const island = await startWithIsland();
  const rest = fleet.ids().filter(id => !island.includes(id));
  fleet.net.partition(island);
  fleet.store.unreachableFor = new Set(island);

  await fleet.clock.advance(LIMIT_MS + 1);
  expect(standings(island)).toEqual({cutOff: 25});
  const revision = fleet.store.put('zinnia/config', 'new');
  await fleet.clock.advance(30_000);
  expect(standings(island)).toEqual({cutOff: 25});
  expect(standings(rest)).toEqual({current: 75});
  for (const id of rest) {
    expect(fleet.node(id).documents.revision('zinnia/config')).toBe(revision);
    expect(fleet.node(id).members.live()).toHaveLength(75);
  }

  fleet.net.heal();
  fleet.store.unreachableFor = new Set();
  let wronglyDead = 0;
  const isWhole = () => {
    const views = rest.map(id => fleet.node(id).members);
    const dead = views.map(
      view => rest.filter(id => view.find(id)?.status === 'dead').length,
    );
    wronglyDead = Math.max(wronglyDead, ...dead);
    return [...fleet.nodes.values()].every(
      node =>
        node.members.live().length === SIZE &&
        node.documents.revision('zinnia/config') === revision,
    );
  };
  await expectWithinMinute(isWhole);
  expect(wronglyDead).toBe(0);
  expect(standings(fleet.ids())).toEqual({current: SIZE});
}, 120_000);

it('keeps 100 nodes in outage, none cut off, without the store', async () => {
  await startWithIsland();
  fleet.store.unreachableFor = 'all';
  const seen = new Set<string>();
  for (let tick = 0; tick < 300; tick++) {
    await fleet.clock.advance(100);
    Object.keys(standings(fleet.ids())).forEach(name => seen.add(name));
  }
  expect(seen).toEqual(new Set(['current', 'outage']));
}, 120_000);

it('lets a minority that reaches the store find its own homes', async () => {
  const island = await startWithIsland();
  fleet.net.partition(island);
  const isSettled = () =>
    island.every(id => fleet.node(id).members.live().length === 25);
  await expectWithinMinute(isSettled);
  expect(standings(fleet.ids())).toEqual({current: SIZE});
}, 120_000);
