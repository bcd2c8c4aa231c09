import {afterEach, describe, expect, it} from 'vitest';
import type {MemberStatus} from '../../src/membership/member.js';
import {Fleet, type FleetOptions} from './fleet.js';

let fleet: Fleet;

async function startFleet(options: Partial<FleetOptions> = {}): Promise<void> {
  fleet = new Fleet({size: 7, ...options});
  fleet.startAll();
  await fleet.clock.advance(5_000);
}

afterEach(() => fleet.stop());

/** What the running nodes other than `id` think of it. */
function opinions(id: string): Set<MemberStatus | undefined> {
  const others = fleet.ids().filter(other => other !== id);
  return new Set(
    others.map(other => fleet.node(other).members.find(id)?.status),
  );
}

async function opinionsDuring(
  ms: number,
  ids: readonly string[],
): Promise<Set<MemberStatus | undefined>> {
  const seen = new Set<MemberStatus | undefined>();
  for (let passed = 0; passed < ms; passed += 100) {
    await fleet.clock.advance(100);
    for (const id of ids) opinions(id).forEach(status => seen.add(status));
  }
  return seen;
}

describe('failure detection', () => {
  it.each([7, 30])('finds a dead VM everywhere among %d', async size => {
    await startFleet({size});
    fleet.end('vm-003');
    const startMs = fleet.clock.now();
    const found = await fleet.clock.advanceUntil(
      () => opinions('vm-003').size === 1 && opinions('vm-003').has('dead'),
      10_000,
    );
    expect(found).toBe(true);
    expect(fleet.clock.now() - startMs).toBeLessThanOrEqual(6_000);
    for (const id of fleet.ids()) {
      const home = fleet.node(id).members.homeOrder('claims');
      expect(home.map(vm => vm.id)).not.toContain('vm-003');
    }
  });

  it('finds a VM dead whose packets are dropped without a sign', async () => {
    await startFleet();
    fleet.net.partition(['vm-003']);
    await fleet.clock.advance(8_000);
    const rest = fleet.ids().filter(id => id !== 'vm-003');
    const statuses = rest.map(id => fleet.node(id).members.find('vm-003'));
    expect(new Set(statuses.map(vm => vm?.status))).toEqual(new Set(['dead']));
  });

  it('does not suspect VMs whose connections go silent', async () => {
    await startFleet();
    for (const a of fleet.ids()) {
      for (const b of fleet.ids()) fleet.net.silenceConnections(a, b);
    }
    const seen = await opinionsDuring(10_000, fleet.ids());
    expect(seen).toEqual(new Set(['alive']));
  });

  it('does not suspect a VM that a single node cannot reach', async () => {
    await startFleet();
    fleet.net.cutLink('vm-000', 'vm-001');
    const seen = await opinionsDuring(20_000, ['vm-000', 'vm-001']);
    expect(seen).toEqual(new Set(['alive']));
  });

  it('does not suspect others after a pause of its own', async () => {
    await startFleet();
    const clock = fleet.clockOf('vm-002');
    clock.pause();
    await fleet.clock.advance(30_000);
    expect(opinions('vm-002')).toEqual(new Set(['dead']));
    clock.resume();
    const others = fleet.ids().filter(id => id !== 'vm-002');
    const seen = await opinionsDuring(10_000, others);
    expect(seen).toEqual(new Set(['alive']));
    expect(opinions('vm-002')).toEqual(new Set(['alive']));
  });

  it('takes a VM back whose process starts again', async () => {
    await startFleet();
    const record = fleet.node('vm-004').members.find('vm-004')!;
    fleet.end('vm-004');
    await fleet.clock.advance(8_000);
    expect(opinions('vm-004')).toEqual(new Set(['dead']));
    fleet.start({...record, state: 'live'});
    await fleet.clock.advance(8_000);
    expect(opinions('vm-004')).toEqual(new Set(['alive']));
    const instance = fleet.node('vm-004').members.selfIdentity.instance;
    const known = fleet.node('vm-000').members.identityOf('vm-004');
    expect(known?.instance).toBe(instance);
  });

  it('rejoins islands once the partition ends', async () => {
    await startFleet();
    fleet.net.partition(['vm-000', 'vm-001', 'vm-002']);
    await fleet.clock.advance(30_000);
    expect(opinions('vm-000').has('dead')).toBe(true);
    fleet.net.heal();
    await fleet.clock.advance(20_000);
    const all = fleet.ids().map(id => [...opinions(id)]);
    expect(all).toEqual(fleet.ids().map(() => ['alive']));
  });

  it('spreads word of a VM that is leaving', async () => {
    await startFleet();
    await Promise.all([
      fleet.node('vm-005').leave(),
      fleet.clock.advance(3_000),
    ]);
    expect(opinions('vm-005')).toEqual(new Set(['leaving']));
    const live = fleet.node('vm-000').members.live();
    expect(live.map(vm => vm.id)).not.toContain('vm-005');
  });

  it('learns of a VM that the list does not show yet', async () => {
    await startFleet();
    const record = {...fleet.records[0]!, id: 'vm-new', host: '10.0.9.9'};
    fleet.start(record);
    await fleet.clock.advance(5_000);
    expect(opinions('vm-new')).toEqual(new Set(['alive']));
  });

  it('tells a node that was away what it missed', async () => {
    await startFleet({size: 12});
    fleet.net.partition(['vm-001']);
    fleet.end('vm-009');
    await fleet.clock.advance(120_000);
    fleet.net.heal();
    await fleet.clock.advance(20_000);
    expect(opinions('vm-009')).toEqual(new Set(['dead']));
    expect(opinions('vm-001')).toEqual(new Set(['alive']));
  });
});
