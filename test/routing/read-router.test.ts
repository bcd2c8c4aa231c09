import {beforeEach, describe, expect, test} from 'vitest';
import {GroupMonitor} from '../../src/groups/monitor.js';
import {isReadCurrent, ReadRouter} from '../../src/routing/read-router.js';
import type {Position} from '../../src/session/position.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

let time: VirtualClock;
let group: FakeGroup;
let router: ReadRouter;

beforeEach(async () => {
  time = new VirtualClock();
  group = new FakeGroup(time);
  const clock = time.forNode({offsetMs: 9_000});
  const controls = group.controlsFor('vm-1', clock);
  const monitor = new GroupMonitor({clock, groupName: 'claims', controls});
  router = new ReadRouter({
    clock,
    monitor,
    dataCentre: 'dc-2',
    outstandingOf: () => 0,
  });
  monitor.start();
  await time.advance(1_000);
});

function choose(position: Position, staleMs = 2_000, maxWaitMs = 0) {
  const weights = {old: 1, new: 0};
  return router.choose({
    sessionId: 's',
    position,
    staleMs,
    weights,
    maxWaitMs,
  });
}

const AT_PRIMARY = {kind: 'primary', databaseId: 'db-1'};
const none = (reason: string) => ({kind: 'none', reason});

describe('ReadRouter', () => {
  test('reads from a replica that the monitor reports as current', () => {
    expect(choose({term: 1, offset: 1})).toEqual({
      kind: 'replica',
      databaseId: 'db-2',
    });
  });

  test('reads from the primary until a replica has applied the write', async () => {
    const write = group.database('db-1').commit('w');
    expect(choose(write)).toEqual(AT_PRIMARY);
    await time.advance(400);
    expect(choose(write)).toMatchObject({kind: 'replica'});
  });

  test('uses positions of requests before the monitor reports them', () => {
    const sentAt = time.now() + 9_000;
    const write = group.database('db-1').commit('w');
    router.recordPosition('db-1', write, sentAt);
    router.recordPosition('db-2', write, sentAt);
    expect(choose(write)).toMatchObject({kind: 'replica'});
  });

  test('waits for a replica that usually catches up soon', async () => {
    for (let i = 0; i < 5; i++) {
      const sentAt = time.now() + 9_000;
      router.recordPosition('db-1', group.database('db-1').commit('w'), sentAt);
      await time.advance(200);
    }
    const sentAt = time.now() + 9_000;
    const write = group.database('db-1').commit('last');
    router.recordPosition('db-1', write, sentAt);
    const choice = choose(write, 2_000, 250);
    expect(choice).toMatchObject({kind: 'wait', databaseId: 'db-2'});
    expect(choose(write, 2_000, 0)).toMatchObject({kind: 'primary'});
  });

  test('sends no session that has seen a newer term to an old primary', () => {
    expect(choose({term: 2, offset: 2})).toEqual(none('staleReplicas'));
    expect(choose({term: 2, offset: 2}, 0)).toEqual(none('noPrimary'));
  });

  test('does not choose a replica cut off for longer than the limit', async () => {
    group.links.cut(['db-2', 'vm-1'], ['db-1', 'db-3']);
    await time.advance(1_500);
    expect(choose({term: 1, offset: 1})).toMatchObject({kind: 'replica'});
    await time.advance(1_000);
    expect(choose({term: 1, offset: 1})).toMatchObject({kind: 'primary'});
  });
});

describe('isReadCurrent', () => {
  const needed = {term: 2, offset: 5};

  test.each([
    [{term: 2, offset: 5}, true],
    [{term: 3, offset: 1}, true],
    [{term: 2, offset: 4}, false],
    [{term: 1, offset: 9}, false],
    [undefined, false],
  ])('a read at %o is current: %s', (ran, current) => {
    expect(isReadCurrent(ran, needed)).toBe(current);
  });

  test('is true if the session needs no position', () => {
    expect(isReadCurrent(undefined, undefined)).toBe(true);
  });
});
