import {beforeEach, describe, expect, test} from 'vitest';
import {orderFailover} from '../../src/groups/failover.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock, type NodeClock} from '../fakes/virtual-clock.js';

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

async function settled<T>(promise: Promise<T>, ms = 3_000) {
  let value: T | undefined;
  void promise.then(result => (value = result));
  await time.advance(ms);
  return value;
}

function primariesByTerm(): Map<number, string[]> {
  const terms = new Map<number, string[]>();
  for (const {spec, promotions} of group.databases) {
    for (const {term} of promotions) {
      terms.set(term, [...(terms.get(term) ?? []), spec.id]);
    }
  }
  return terms;
}

function expectOnePrimaryPerTerm() {
  for (const ids of primariesByTerm().values()) expect(ids).toHaveLength(1);
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

  test('passes over an isolated primary that holds more', async () => {
    group.links.cut(['db-1'], ['db-2', 'db-3']);
    group.database('db-1').commit('unacknowledged');
    expect(await settled(order(1, 1, 'db-1'))).toMatchObject({
      kind: 'promoted',
      databaseId: 'db-2',
    });
  });

  test('takes the suspect when there is no majority without it', async () => {
    group.database('db-3').crash();
    expect(await settled(order(1, 1, 'db-1'))).toMatchObject({
      kind: 'promoted',
      databaseId: 'db-1',
    });
  });

  test('prefers by rank among equals', async () => {
    const clock = clocks[0]!;
    const controls = group.controlsFor('vm-1', clock);
    const result = orderFailover({
      clock,
      controls,
      orderer: 'vm-1/1',
      suspectId: 'db-1',
      rank: spec => (spec.provider === 'new' ? 1 : 0),
    });
    expect(await settled(result)).toMatchObject({databaseId: 'db-3'});
  });

  test('fences nothing while it reaches no majority', async () => {
    group.links.cut(['vm-1'], ['db-1', 'db-2']);
    expect(await settled(order(1, 1))).toMatchObject({
      kind: 'failed',
      step: 'look',
    });
    expect(group.database('db-3').fencedTerm).toBe(1);
  });

  test('gives way when the group is past the term that was seen', async () => {
    const clock = clocks[0]!;
    const controls = group.controlsFor('vm-1', clock);
    const seen = {clock, controls, orderer: 'vm-1/1', seenTerm: 1};
    group.database('db-2').fence(2, 'vm-9/1');
    expect(await settled(orderFailover(seen))).toMatchObject({
      kind: 'outbid',
      step: 'look',
    });
    expect(group.database('db-3').fencedTerm).toBe(1);
    const now = {...seen, orderer: 'vm-1/2', seenTerm: 2};
    expect(await settled(orderFailover(now))).toMatchObject({term: 3});
  });

  test('lets one of two orderers at once have the term', async () => {
    const results = await settled(Promise.all([order(1, 1), order(2, 1)]));
    expect(results!.map(({kind}) => kind).sort()).toEqual([
      'outbid',
      'promoted',
    ]);
    expectOnePrimaryPerTerm();
  });

  test('is followed at a higher term after orderers split the votes', async () => {
    group.database('db-2').fence(2, 'vm-8/1');
    group.database('db-3').fence(2, 'vm-9/1');
    expect(await settled(order(1, 1))).toMatchObject({
      kind: 'promoted',
      term: 3,
    });
  });

  test('promotes no second database after an unanswered promotion', async () => {
    group.database('db-1').crash();
    group.links.cut(['db-2'], ['db-3']);
    group.onOrder = (_, kind, databaseId) => {
      if (kind !== 'promote') return;
      group.links.between('vm-1', databaseId).answersToLose = 100;
    };
    expect(await settled(order(1, 1), 6_000)).toMatchObject({
      kind: 'failed',
      step: 'verify',
    });
    expectOnePrimaryPerTerm();
    group.links.reset();
    group.onOrder = () => {};
    expect(await settled(order(1, 2))).toMatchObject({
      kind: 'promoted',
      term: 3,
    });
    expectOnePrimaryPerTerm();
  });

  test('promotes nothing when another has the majority of its term', async () => {
    group.onOrder = (_, kind) => {
      group.onOrder = () => {};
      if (kind !== 'fence') return;
      group.database('db-2').fence(2, 'vm-9/1');
      group.database('db-3').fence(2, 'vm-9/1');
    };
    expect(await settled(order(1, 1))).toMatchObject({
      kind: 'outbid',
      step: 'fence',
    });
    expect(group.leader).toBeUndefined();
  });

  test('gives way when it is outbid before its promotion', async () => {
    group.onOrder = (_, kind, databaseId) => {
      if (kind !== 'promote') return;
      group.database(databaseId).fence(3, 'vm-9/1');
    };
    expect(await settled(order(1, 1))).toMatchObject({
      kind: 'outbid',
      step: 'promote',
    });
  });

  test('reports no promotion that was superseded at once', async () => {
    group.onOrder = (_, kind, databaseId) => {
      if (kind !== 'promote') return;
      group.links.between('vm-1', databaseId).delayMs = 50;
      time.schedule(70, () => group.database(databaseId).fence(3, 'vm-9/1'));
    };
    expect(await settled(order(1, 1))).toMatchObject({
      kind: 'failed',
      step: 'verify',
    });
  });

  test('succeeds when the answer to its promotion is lost', async () => {
    group.onOrder = (_, kind, databaseId) => {
      if (kind !== 'promote') return;
      group.links.between('vm-1', databaseId).answersToLose = 1;
      group.onOrder = () => {};
    };
    expect(await settled(order(1, 1, 'db-1'))).toMatchObject({
      kind: 'promoted',
      term: 2,
    });
    expectOnePrimaryPerTerm();
  });

  test('is not disturbed by orders that arrive twice', async () => {
    for (const id of ['db-1', 'db-2', 'db-3']) {
      group.links.between('vm-1', id).duplicateAfterMs = 700;
    }
    await settled(order(1, 1, 'db-1'), 300);
    expect(await settled(order(2, 1, 'db-2'))).toMatchObject({term: 3});
    await time.advance(2_000);
    expect(group.leader?.term).toBe(3);
    expectOnePrimaryPerTerm();
  });

  const steps = [
    ['fence', 'db-1'],
    ['fence', 'db-2'],
    ['fence', 'db-3'],
    ['promote', 'db-2'],
  ] as const;

  test.each(steps)(
    'is followed by another when its orderer freezes at %s of %s',
    async (step, databaseId) => {
      group.onOrder = (nodeId, kind, id) => {
        if (nodeId !== 'vm-1' || kind !== step || id !== databaseId) return;
        clocks[0]!.pause();
      };
      const frozen = order(1, 1, 'db-1');
      await time.advance(1_000);
      const followed = await settled(order(2, 1, 'db-1'));
      expect(followed).toMatchObject({kind: 'promoted'});
      clocks[0]!.resume();
      await time.advance(1_000);
      expect(await settled(frozen)).not.toMatchObject({kind: 'promoted'});
      expect(group.leader).toMatchObject(
        followed?.kind === 'promoted' ? {term: followed.term} : {},
      );
      expectOnePrimaryPerTerm();
    },
  );

  test.each(steps)(
    'is followed by another when its orderer dies at %s of %s',
    async (step, databaseId) => {
      group.onOrder = (nodeId, kind, id) => {
        if (nodeId !== 'vm-1' || kind !== step || id !== databaseId) return;
        group.links.cut(['vm-1'], ['db-1', 'db-2', 'db-3']);
      };
      void order(1, 1, 'db-1');
      await time.advance(20);
      expect(await settled(order(2, 1, 'db-1'))).toMatchObject({
        kind: 'promoted',
      });
      await time.advance(3_000);
      expectOnePrimaryPerTerm();
    },
  );
});
