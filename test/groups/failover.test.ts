import {beforeEach, describe, expect, test} from 'vitest';
import {orderFailover} from '../../src/groups/failover.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock, type NodeClock} from '../fakes/virtual-clock.js';

const DATABASES = ['db-1', 'db-2', 'db-3'];

let time: VirtualClock;
let group: FakeGroup;
let clocks: readonly NodeClock[];

beforeEach(async () => {
  time = new VirtualClock();
  group = new FakeGroup(time);
  clocks = [time.forNode(), time.forNode()];
  await time.advance(100);
});

function order(node: number, attempt: number, suspectId?: string) {
  const id = `vm-${node}`;
  const clock = clocks[node - 1]!;
  const controls = group.controlsFor(id, clock);
  const orderer = `${id}/${attempt}`;
  return orderFailover({clock, controls, orderer, suspectId});
}

function settled<T>(promise: Promise<T>, ms = 3_000) {
  return time.outcome(promise, ms);
}

/** Expects the failover to settle within 3 s, with a matching result. */
async function expectOutcome(
  result: ReturnType<typeof orderFailover>,
  expected: object,
) {
  expect(await settled(result)).toMatchObject(expected);
}

/** Runs `fault` whenever a promotion is ordered. */
function onPromotion(fault: (databaseId: string) => void) {
  group.onOrder = (_, kind, databaseId) => {
    if (kind === 'promote') fault(databaseId);
  };
}

function expectOnePrimaryPerTerm() {
  const terms = group.databases.flatMap(({promotions}) =>
    promotions.map(({term}) => term),
  );
  expect(new Set(terms).size).toBe(terms.length);
}

describe('orderFailover', () => {
  test('promotes the most advanced of the fenced databases', async () => {
    group.links.cut(['db-1'], ['db-2']);
    group.database('db-1').commit('w');
    await time.advance(40);
    group.database('db-1').crash();
    expect(await settled(order(1, 1))).toEqual({
      kind: 'promoted',
      term: 2,
      databaseId: 'db-3',
    });
    expect(group.database('db-2').visibleWrites()).toContain('w');
  });

  test('does not promote an isolated primary, although its log is longest', async () => {
    group.links.cut(['db-1'], ['db-2', 'db-3']);
    group.database('db-1').commit('unacknowledged');
    await expectOutcome(order(1, 1, 'db-1'), {
      kind: 'promoted',
      databaseId: 'db-2',
    });
  });

  test('promotes the suspected primary if there is no majority without it', async () => {
    group.database('db-3').crash();
    await expectOutcome(order(1, 1, 'db-1'), {
      kind: 'promoted',
      databaseId: 'db-1',
    });
  });

  test('prefers the highest rank among equally advanced databases', async () => {
    const clock = clocks[0]!;
    const controls = group.controlsFor('vm-1', clock);
    const result = orderFailover({
      clock,
      controls,
      orderer: 'vm-1/1',
      suspectId: 'db-1',
      rank: spec => (spec.provider === 'new' ? 1 : 0),
    });
    await expectOutcome(result, {databaseId: 'db-3'});
  });

  test('fences nothing while it reaches no majority', async () => {
    group.links.cut(['vm-1'], ['db-1', 'db-2']);
    await expectOutcome(order(1, 1), {kind: 'failed', step: 'look'});
    expect(group.database('db-3').fencedTerm).toBe(1);
  });

  test('is outbid if the group has passed the term that was seen', async () => {
    const clock = clocks[0]!;
    const controls = group.controlsFor('vm-1', clock);
    const seen = {clock, controls, orderer: 'vm-1/1', seenTerm: 1};
    group.database('db-2').fence(2, 'vm-9/1');
    await expectOutcome(orderFailover(seen), {kind: 'outbid', step: 'look'});
    expect(group.database('db-3').fencedTerm).toBe(1);
    const now = {...seen, orderer: 'vm-1/2', seenTerm: 2};
    await expectOutcome(orderFailover(now), {term: 3});
  });

  test('grants the term to one of two concurrent orderers', async () => {
    const results = await settled(Promise.all([order(1, 1), order(2, 1)]));
    expect(results!.map(({kind}) => kind).sort()).toEqual([
      'outbid',
      'promoted',
    ]);
    expectOnePrimaryPerTerm();
  });

  test('succeeds at a higher term after a split vote', async () => {
    group.database('db-2').fence(2, 'vm-8/1');
    group.database('db-3').fence(2, 'vm-9/1');
    await expectOutcome(order(1, 1), {kind: 'promoted', term: 3});
  });

  test('promotes no other database after an unanswered promotion', async () => {
    group.database('db-1').crash();
    group.links.cut(['db-2'], ['db-3']);
    onPromotion(id => (group.links.between('vm-1', id).answersToLose = 100));
    expect(await settled(order(1, 1), 6_000)).toMatchObject({
      kind: 'failed',
      step: 'verify',
    });
    expectOnePrimaryPerTerm();
    group.links.reset();
    group.onOrder = () => {};
    await expectOutcome(order(1, 2), {kind: 'promoted', term: 3});
    expectOnePrimaryPerTerm();
  });

  test('promotes nothing if another orderer has a majority at its term', async () => {
    group.onOrder = (_, kind) => {
      group.onOrder = () => {};
      if (kind !== 'fence') return;
      group.database('db-2').fence(2, 'vm-9/1');
      group.database('db-3').fence(2, 'vm-9/1');
    };
    await expectOutcome(order(1, 1), {kind: 'outbid', step: 'fence'});
    expect(group.primary).toBeUndefined();
  });

  test('is outbid if a higher term is fenced before its promotion', async () => {
    onPromotion(id => group.database(id).fence(3, 'vm-9/1'));
    await expectOutcome(order(1, 1), {kind: 'outbid', step: 'promote'});
  });

  test('does not report a promotion that was superseded immediately', async () => {
    onPromotion(id => {
      group.links.between('vm-1', id).delayMs = 50;
      time.schedule(70, () => group.database(id).fence(3, 'vm-9/1'));
    });
    await expectOutcome(order(1, 1), {kind: 'failed', step: 'verify'});
  });

  test('succeeds if the answer to its promotion is lost', async () => {
    onPromotion(id => {
      group.links.between('vm-1', id).answersToLose = 1;
      group.onOrder = () => {};
    });
    await expectOutcome(order(1, 1, 'db-1'), {kind: 'promoted', term: 2});
    expectOnePrimaryPerTerm();
  });

  test('is not affected by duplicated orders', async () => {
    for (const id of DATABASES) {
      group.links.between('vm-1', id).duplicateAfterMs = 700;
    }
    await settled(order(1, 1, 'db-1'), 300);
    await expectOutcome(order(2, 1, 'db-2'), {term: 3});
    await time.advance(2_000);
    expect(group.primary?.term).toBe(3);
    expectOnePrimaryPerTerm();
  });

  const steps = [
    ...DATABASES.map(id => ['fence', id] as const),
    ['promote', 'db-2'] as const,
  ];

  /** Runs `fault` when vm-1 sends this order to this database. */
  function onStep(step: string, databaseId: string, fault: () => void) {
    group.onOrder = (nodeId, kind, id) => {
      if (nodeId === 'vm-1' && kind === step && id === databaseId) fault();
    };
  }

  test.each(steps)(
    'a second failover succeeds after the first orderer freezes at %s of %s',
    async (step, databaseId) => {
      onStep(step, databaseId, () => clocks[0]!.pause());
      const frozen = order(1, 1, 'db-1');
      await time.advance(1_000);
      const followed = await settled(order(2, 1, 'db-1'));
      expect(followed).toMatchObject({kind: 'promoted'});
      clocks[0]!.resume();
      await time.advance(1_000);
      expect(await settled(frozen)).not.toMatchObject({kind: 'promoted'});
      expect(group.primary).toMatchObject(
        followed?.kind === 'promoted' ? {term: followed.term} : {},
      );
      expectOnePrimaryPerTerm();
    },
  );

  test.each(steps)(
    'a second failover succeeds after the first orderer is cut off at %s of %s',
    async (step, databaseId) => {
      onStep(step, databaseId, () => group.links.cut(['vm-1'], DATABASES));
      void order(1, 1, 'db-1');
      await time.advance(20);
      await expectOutcome(order(2, 1, 'db-1'), {kind: 'promoted'});
      await time.advance(3_000);
      expectOnePrimaryPerTerm();
    },
  );
});
