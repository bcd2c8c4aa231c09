import {afterEach, expect, it} from 'vitest';
import {Fleet} from './fleet.js';

const SIZE = 100;
const LIMIT_MS = 3_000;
/** Time after which all nodes of a started fleet know each other. */
const SETTLE_MS = 8_000;

let fleet: Fleet;

afterEach(() => fleet.stop());

function countStandings(ids: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const id of ids) {
    const standing = fleet.node(id).standing.evaluate();
    counts[standing] = (counts[standing] ?? 0) + 1;
  }
  return counts;
}

/** Starts the fleet; returns the VMs of one data centre. */
async function startAndListDataCentre(): Promise<readonly string[]> {
  fleet = new Fleet({size: SIZE});
  fleet.startAll();
  await fleet.clock.advance(SETTLE_MS);
  return fleet.records.filter(vm => vm.dataCentre === 'dc-b').map(vm => vm.id);
}

/** Expects `check` to hold within one minute of virtual time. */
async function expectWithinMinute(check: () => boolean): Promise<void> {
  const startMs = fleet.clock.now();
  const held = await fleet.clock.advanceUntil(check, 60_000, 100);
  expect(held, `waited ${fleet.clock.now() - startMs} ms`).toBe(true);
}

it('reports a partitioned data centre of 25 VMs as cut off until it rejoins', async () => {
  const partitioned = await startAndListDataCentre();
  const rest = fleet.ids().filter(id => !partitioned.includes(id));
  fleet.net.partition(partitioned);
  fleet.store.unreachableFor = new Set(partitioned);

  await fleet.clock.advance(LIMIT_MS + 1);
  expect(countStandings(partitioned)).toEqual({cutOff: 25});
  const revision = fleet.store.put('zinnia/config', 'new');
  await fleet.clock.advance(30_000);
  expect(countStandings(partitioned)).toEqual({cutOff: 25});
  expect(countStandings(rest)).toEqual({current: 75});
  for (const id of rest) {
    expect(fleet.node(id).documents.revision('zinnia/config')).toBe(revision);
    expect(fleet.node(id).members.live()).toHaveLength(75);
  }

  fleet.net.heal();
  fleet.store.unreachableFor = new Set();
  let wronglyDead = 0;
  const hasRejoined = () => {
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
  await expectWithinMinute(hasRejoined);
  expect(wronglyDead).toBe(0);
  expect(countStandings(fleet.ids())).toEqual({current: SIZE});
}, 120_000);

it('reports an outage, and no node as cut off, when 100 nodes lose the store', async () => {
  await startAndListDataCentre();
  fleet.store.unreachableFor = 'all';
  const seen = new Set<string>();
  for (let tick = 0; tick < 300; tick++) {
    await fleet.clock.advance(100);
    Object.keys(countStandings(fleet.ids())).forEach(name => seen.add(name));
  }
  expect(seen).toEqual(new Set(['current', 'outage']));
}, 120_000);

it('lets a partitioned minority with store access choose its own homes', async () => {
  const partitioned = await startAndListDataCentre();
  fleet.net.partition(partitioned);
  const isSettled = () =>
    partitioned.every(id => fleet.node(id).members.live().length === 25);
  await expectWithinMinute(isSettled);
  expect(countStandings(fleet.ids())).toEqual({current: SIZE});
}, 120_000);
