import {expect, test} from 'vitest';
import {GroupDatabases} from '../../src/home/group-databases.js';
import type {Clock} from '../../src/infra/clock.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {createRandom} from '../admission/random.js';

const HEALTHY_SECONDS = 10;
/** One wake-up per round of status queries. */
const MAX_WAKEUPS_PER_SECOND = 5;

/** Records the times at which sleeps end. */
class WakeupCounter implements Clock {
  readonly wakeups = new Set<number>();
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  now(): number {
    return this.#clock.now();
  }

  wallNow(): number {
    return this.#clock.wallNow();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.#clock.sleep(ms, signal);
    this.wakeups.add(this.now());
  }
}

test('wakes a node up once for the periodic tasks of all its healthy groups', async () => {
  const time = new VirtualClock();
  const clock = new WakeupCounter(time.forNode({offsetMs: 5_037}));
  const groups = Array.from({length: 2}, (_, seed) => {
    const group = new FakeGroup(time);
    const controls = group.controlsFor('vm-1', time.forNode());
    return new GroupDatabases({
      clock,
      random: createRandom(seed + 1),
      spec: group.spec,
      dataCentre: 'dc-1',
      access: {
        control: spec => {
          const control = controls.find(item => item.spec.id === spec.id)!;
          return Object.assign(control, {close: () => {}});
        },
        connect: () => Promise.reject(new Error('not used')),
      },
      reachability: {canReach: () => Promise.resolve([])},
      instanceId: 'vm-1/a',
      connectionLimit: () => 4,
      weightOf: () => 1,
      onFailover: () => {},
    });
  });
  for (const group of groups) {
    group.start();
    await time.advance(33);
  }
  await time.advance(1_000);
  clock.wakeups.clear();
  await time.advance(HEALTHY_SECONDS * 1_000);
  const limit = HEALTHY_SECONDS * MAX_WAKEUPS_PER_SECOND;
  expect(clock.wakeups.size).toBeLessThanOrEqual(limit);
  expect(groups.every(group => group.view().primaryId === 'db-1')).toBe(true);
  for (const group of groups) group.stop();
});
