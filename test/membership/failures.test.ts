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

/** The statuses that the other running nodes hold of a VM. */
function statusesOf(id: string): Set<MemberStatus | undefined> {
  const others = fleet.ids().filter(other => other !== id);
  return new Set(
    others.map(other => fleet.node(other).members.find(id)?.status),
  );
}

/** Every status that other nodes held of the given VMs while time passed. */
async function statusesDuring(
  ms: number,
  ids: readonly string[],
): Promise<Set<MemberStatus | undefined>> {
  const seen = new Set<MemberStatus | undefined>();
  for (let passed = 0; passed < ms; passed += 100) {
    await fleet.clock.advance(100);
    for (const id of ids) statusesOf(id).forEach(status => seen.add(status));
  }
  return seen;
}

describe('failure detection', () => {
  it.each([7, 30])(
    'reports a stopped VM as dead on all of %d nodes',
    async size => {
      await startFleet({size});
      fleet.end('vm-003');
      const startMs = fleet.clock.now();
      const found = await fleet.clock.advanceUntil(
        () =>
          statusesOf('vm-003').size === 1 && statusesOf('vm-003').has('dead'),
        10_000,
      );
      expect(found).toBe(true);
      expect(fleet.clock.now() - startMs).toBeLessThanOrEqual(6_000);
      for (const id of fleet.ids()) {
        const home = fleet.node(id).members.homeOrder('claims');
        expect(home.map(vm => vm.id)).not.toContain('vm-003');
      }
    },
  );

  it('reports a VM as dead when its packets are silently dropped', async () => {
    await startFleet();
    fleet.net.partition(['vm-003']);
    await fleet.clock.advance(8_000);
    const rest = fleet.ids().filter(id => id !== 'vm-003');
    const statuses = rest.map(id => fleet.node(id).members.find('vm-003'));
    expect(new Set(statuses.map(vm => vm?.status))).toEqual(new Set(['dead']));
  });

  it('does not suspect VMs when established connections stop delivering', async () => {
    await startFleet();
    for (const a of fleet.ids()) {
      for (const b of fleet.ids()) fleet.net.silenceConnections(a, b);
    }
    const seen = await statusesDuring(10_000, fleet.ids());
    expect(seen).toEqual(new Set(['alive']));
  });

  it('does not suspect a VM that only one node cannot reach', async () => {
    await startFleet();
    fleet.net.cutLink('vm-000', 'vm-001');
    const seen = await statusesDuring(20_000, ['vm-000', 'vm-001']);
    expect(seen).toEqual(new Set(['alive']));
  });

  it('does not suspect other VMs after a pause of its own process', async () => {
    await startFleet();
    const clock = fleet.clockOf('vm-002');
    clock.pause();
    await fleet.clock.advance(30_000);
    expect(statusesOf('vm-002')).toEqual(new Set(['dead']));
    clock.resume();
    const others = fleet.ids().filter(id => id !== 'vm-002');
    const seen = await statusesDuring(10_000, others);
    expect(seen).toEqual(new Set(['alive']));
    expect(statusesOf('vm-002')).toEqual(new Set(['alive']));
  });

  it('reports a VM as alive again after its process restarts', async () => {
    await startFleet();
    const record = fleet.node('vm-004').members.find('vm-004')!;
    fleet.end('vm-004');
    await fleet.clock.advance(8_000);
    expect(statusesOf('vm-004')).toEqual(new Set(['dead']));
    fleet.start({...record, state: 'live'});
    await fleet.clock.advance(8_000);
    expect(statusesOf('vm-004')).toEqual(new Set(['alive']));
    const instance = fleet.node('vm-004').members.selfIdentity.instance;
    const known = fleet.node('vm-000').members.identityOf('vm-004');
    expect(known?.instance).toBe(instance);
  });

  it('merges the partitions once the network heals', async () => {
    await startFleet();
    fleet.net.partition(['vm-000', 'vm-001', 'vm-002']);
    await fleet.clock.advance(30_000);
    expect(statusesOf('vm-000').has('dead')).toBe(true);
    fleet.net.heal();
    await fleet.clock.advance(20_000);
    const all = fleet.ids().map(id => [...statusesOf(id)]);
    expect(all).toEqual(fleet.ids().map(() => ['alive']));
  });

  it('propagates that a VM is leaving', async () => {
    await startFleet();
    await Promise.all([
      fleet.node('vm-005').leave(),
      fleet.clock.advance(3_000),
    ]);
    expect(statusesOf('vm-005')).toEqual(new Set(['leaving']));
    const live = fleet.node('vm-000').members.live();
    expect(live.map(vm => vm.id)).not.toContain('vm-005');
  });

  it('discovers a VM that is not on the list yet', async () => {
    await startFleet();
    const record = {...fleet.records[0]!, id: 'vm-new', host: '10.0.9.9'};
    fleet.start(record);
    await fleet.clock.advance(5_000);
    expect(statusesOf('vm-new')).toEqual(new Set(['alive']));
  });

  it('updates a node that was partitioned while another VM failed', async () => {
    await startFleet({size: 12});
    fleet.net.partition(['vm-001']);
    fleet.end('vm-009');
    await fleet.clock.advance(120_000);
    fleet.net.heal();
    await fleet.clock.advance(20_000);
    expect(statusesOf('vm-009')).toEqual(new Set(['dead']));
    expect(statusesOf('vm-001')).toEqual(new Set(['alive']));
  });
});
