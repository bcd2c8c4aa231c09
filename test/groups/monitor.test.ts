import {beforeEach, describe, expect, test} from 'vitest';
import {GroupMonitor} from '../../src/groups/monitor.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock, type NodeClock} from '../fakes/virtual-clock.js';

let time: VirtualClock;
let group: FakeGroup;
let clock: NodeClock;
let monitor: GroupMonitor;

beforeEach(async () => {
  time = new VirtualClock();
  group = new FakeGroup(time);
  clock = time.forNode({offsetMs: 5_000});
  const controls = group.controlsFor('vm-1', clock);
  monitor = new GroupMonitor({clock, groupName: 'claims', controls});
  monitor.start();
  await time.advance(1_000);
});

function view(databaseId: string) {
  const {databases} = monitor.current();
  return databases.find(({spec}) => spec.id === databaseId)!;
}

describe('group monitor', () => {
  test('reports role, term and positions of each database', () => {
    expect(monitor.current()).toMatchObject({term: 1, primaryId: 'db-1'});
    expect(view('db-2').status).toMatchObject({
      role: 'replica',
      term: 1,
      received: {term: 1, offset: 1},
    });
    expect(view('db-2').reachable).toBe(true);
    expect(view('db-2').ageMs).toBeLessThanOrEqual(200);
  });

  test('reports for how long a database has not answered', async () => {
    group.links.cut(['vm-1'], ['db-1']);
    await time.advance(1_000);
    expect(view('db-1').reachable).toBe(false);
    expect(view('db-1').unreachableMs).toBeGreaterThanOrEqual(700);
    expect(view('db-1').unreachableMs).toBeLessThanOrEqual(1_000);
    expect(monitor.current().primaryId).toBe('db-1');
    group.links.heal(['vm-1'], ['db-1']);
    await time.advance(700);
    expect(view('db-1').unreachableMs).toBe(0);
  });

  test('reports no database as unreachable after its own process was paused', async () => {
    group.links.between('vm-1', 'db-1').delayMs = 100;
    await time.advance(250);
    clock.pause();
    group.links.cut(['vm-1'], ['db-1']);
    await time.advance(5_000);
    clock.resume();
    await time.advance(1);
    expect(view('db-1').unreachableMs).toBe(0);
  });

  test('keeps the status of the later request if answers arrive out of order', async () => {
    const link = group.links.between('vm-1', 'db-2');
    link.delayMs = 150;
    await time.advance(250);
    link.delayMs = 0;
    await monitor.refreshNow();
    expect(view('db-2').ageMs).toBe(0);
    await time.advance(120);
    expect(view('db-2').ageMs).toBe(120);
  });

  test('reports each change of term or primary once', async () => {
    const seen: string[] = [];
    const stop = monitor.onChange(({term, primaryId}) => {
      seen.push(`${term} ${primaryId}`);
    });
    for (const {spec} of group.databases) {
      group.database(spec.id).fence(2, 'vm-9/1');
    }
    await time.advance(500);
    group.database('db-3').promote(2, 'vm-9/1');
    await time.advance(1_000);
    expect(seen).toEqual(['1 undefined', '2 undefined', '2 db-3']);
    stop();
  });

  test('refreshes without waiting for a frozen database', async () => {
    group.database('db-3').freeze();
    let refreshed = false;
    void monitor.refreshNow(100).then(() => (refreshed = true));
    await time.advance(100);
    expect(refreshed).toBe(true);
  });
});
