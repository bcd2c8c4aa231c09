import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {MemberLease} from '../../src/fleet/member-lease.js';
import {MemberList, rankHomes} from '../../src/fleet/member-list.js';
import {
  decodeMember,
  encodeMember,
  memberKey,
  type FleetMember,
} from '../../src/fleet/member-record.js';
import {NodeDelay} from '../../src/fleet/node-delay.js';
import {SlowNode} from '../../src/fleet/slow-node.js';
import {chooseWatchers} from '../../src/fleet/watchers.js';
import {rankByRendezvous} from '../../src/membership/rendezvous.js';
import {createLogger} from '../../src/telemetry/log.js';
import {createFleetMember} from '../fakes/fleet-member.js';
import {FakeLeasedStore} from '../fakes/leased-store.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const GROUPS = Array.from({length: 30}, (_, n) => `home group-${n}`);

function createMember(n: number, rest: Partial<FleetMember> = {}): FleetMember {
  const dataCentre = `dc-${n % 3}`;
  return createFleetMember(`node-${n}`, {dataCentre, ...rest});
}

function createFleet(
  count: number,
  rest: (n: number) => Partial<FleetMember>,
): readonly FleetMember[] {
  return Array.from({length: count}, (_, n) => createMember(n, rest(n)));
}

const idsOf = (members: readonly FleetMember[]) => members.map(({id}) => id);
const firstHomes = (fleet: readonly FleetMember[], dataCentre?: string) =>
  new Set(GROUPS.map(name => rankHomes(name, fleet, dataCentre)[0]!.id));

describe('the ranking of uneven nodes', () => {
  it('is by cores alone while all links are the same', () => {
    const member = fc.record({
      n: fc.nat(200),
      cores: fc.double({min: 0.1, max: 2, noNaN: true}),
      statesLink: fc.boolean(),
    });
    const fleets = fc.uniqueArray(member, {
      selector: ({n}) => n,
      maxLength: 12,
    });
    fc.assert(
      fc.property(fleets, fc.constantFrom('dc-0', undefined), (each, place) => {
        const fleet = each.map(({n, cores, statesLink}) =>
          createMember(n, {cores, linkMbps: statesLink ? 35 : undefined}),
        );
        const most = Math.max(0, ...fleet.map(({cores}) => cores));
        const rank = ({cores, dataCentre}: FleetMember) =>
          (cores >= most * 0.6 ? 0 : 2) + (dataCentre === place ? 0 : 1);
        const expected = rankByRendezvous('claims', fleet).toSorted(
          (a, b) => rank(a) - rank(b),
        );
        expect(rankHomes('claims', fleet, place)).toEqual(expected);
      }),
    );
  });

  it('keeps homes, watchers and budgets off a small link', () => {
    const clock = new VirtualClock();
    const fleet = createFleet(12, n => ({linkMbps: n < 3 ? 7 : 140}));
    const small = new Set(['node-0', 'node-1', 'node-2']);
    const members = new MemberList({clock, mayHaveLapsed: () => false});
    for (const member of fleet) members.apply(member.id, member);
    const chosen = [
      ...firstHomes(fleet, 'dc-0'),
      ...idsOf(chooseWatchers(fleet)),
      ...GROUPS.map(name => members.stewardOrder(name)[0]!.id),
    ];
    expect(chosen.filter(id => small.has(id))).toEqual([]);
  });

  it('takes the largest node of a data centre without any large enough', () => {
    const sizes = [
      {linkMbps: 7, cores: 1},
      {linkMbps: 20, cores: 0.8},
      {linkMbps: 30, cores: 0.4},
    ];
    const fleet = createFleet(12, n =>
      n % 3 === 0 ? {...sizes[n / 3]} : {linkMbps: 140},
    );
    const [best] = firstHomes(fleet.slice(0, 9), 'dc-0');
    expect([best, firstHomes(fleet.slice(0, 9), 'dc-0').size]).toEqual([
      'node-3',
      1,
    ]);
    expect(firstHomes(fleet.slice(0, 9)).has('node-3')).toBe(false);
  });

  it('puts slow nodes last as homes only, unless more than a third are', () => {
    const slowFleet = (slow: number) =>
      createFleet(9, n => ({isSlow: n < slow || undefined}));
    const none = slowFleet(0);
    const third = slowFleet(3);
    expect(idsOf(rankHomes('claims', third)).slice(6).toSorted()).toEqual([
      'node-0',
      'node-1',
      'node-2',
    ]);
    expect(idsOf(chooseWatchers(third))).toEqual(idsOf(chooseWatchers(none)));
    const most = idsOf(rankHomes('claims', slowFleet(4)));
    expect(most).toEqual(idsOf(rankHomes('claims', none)));
  });

  it('reads records with and without the new fields', () => {
    const full = {linkMbps: 7, memoryMb: 250, isSlow: true};
    for (const member of [createMember(1), createMember(1, full)])
      expect(decodeMember(encodeMember(member))).toEqual(member);
  });
});

/** A node whose timers fire late, and what the others rank it as. */
function createSlowNode(lateMs: (isHome: boolean) => number) {
  const clock = new VirtualClock();
  const store = new FakeLeasedStore(clock);
  const log = createLogger('silent');
  const stop = new AbortController();
  const self = createMember(0);
  const lease = new MemberLease({
    store,
    clock,
    log,
    self,
    minTtlMs: 1_000,
    hasWork: () => true,
    fleetSize: () => 9,
  });
  const others = createFleet(9, () => ({})).slice(1);
  const isHome = () => {
    const member = decodeMember(store.read(memberKey(self.id)) ?? '');
    return member !== undefined && firstHomes([member, ...others]).has(self.id);
  };
  const lateClock = {
    now: () => clock.now(),
    wallNow: () => clock.wallNow(),
    sleep: (ms: number, signal?: AbortSignal) =>
      clock.sleep(ms + lateMs(isHome()), signal),
  };
  const delay = new NodeDelay({clock: lateClock, log, lease});
  void lease.run(stop.signal);
  void delay.run(stop.signal);
  /** Counts how often the node lost or regained its homes. */
  const countChanges = async (ms: number) => {
    let changes = 0;
    let was = isHome();
    for (let at = 0; at < ms; at += 100) {
      await clock.advance(100);
      changes += Number(isHome() !== was);
      was = isHome();
    }
    return changes;
  };
  return {clock, store, stop, isHome, countChanges};
}

describe('a node whose timers fire late', () => {
  it('loses its homes once and gets them back once', async () => {
    let lateMs = 1;
    const node = createSlowNode(() => lateMs);
    await node.clock.advance(2_000);
    expect(node.isHome()).toBe(true);
    lateMs = 120;
    expect(await node.countChanges(3_000)).toBe(1);
    expect(await node.countChanges(20_000)).toBe(0);
    lateMs = 30;
    expect(await node.countChanges(20_000)).toBe(0);
    expect(node.isHome()).toBe(false);
    lateMs = 1;
    expect(await node.countChanges(4_500)).toBe(0);
    expect(await node.countChanges(30_000)).toBe(1);
    node.stop.abort();
    expect(node.isHome()).toBe(true);
    expect(node.store.calls.get('swap')).toBe(3);
  });

  it('changes its mark ever less often if it is slow only as a home', async () => {
    const node = createSlowNode(isHome => (isHome ? 120 : 1));
    await node.clock.advance(500);
    const first = await node.countChanges(60_000);
    const second = await node.countChanges(60_000);
    node.stop.abort();
    expect(first).toBeLessThanOrEqual(9);
    expect(second).toBeLessThanOrEqual(4);
  });

  it('is not marked for one pause, however long', async () => {
    const clock = new VirtualClock();
    const state = new SlowNode(clock);
    state.recordDelay(20_000);
    for (let n = 0; n < 50; n++) {
      await clock.advance(100);
      expect(state.recordDelay(1)).toBe(false);
    }
  });
});
