import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {
  switchPrimary,
  type WriteHold,
} from '../../src/groups/planned-switch.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {startNodes, type FakeNode, type FakeWrite} from './fake-node.js';

let time: VirtualClock;
let group: FakeGroup;
let nodes: readonly FakeNode[];
let hold: CountingHold;

class CountingHold implements WriteHold {
  held = false;
  heldMs = 0;
  onHold: () => void = () => {};
  #since = 0;

  holdWrites(): Promise<void> {
    this.held = true;
    this.#since = time.now();
    this.onHold();
    return Promise.resolve();
  }

  releaseWrites(): void {
    this.held = false;
    this.heldMs = time.now() - this.#since;
  }
}

beforeEach(async () => {
  time = new VirtualClock();
  group = new FakeGroup(time);
  nodes = startNodes(group, time, 3);
  hold = new CountingHold();
  await time.advance(1_000);
});

afterEach(() => {
  for (const node of nodes) node.stop();
});

function switchTo(targetDatabaseId: string) {
  const {clock, controls, agent} = nodes[0]!;
  return switchPrimary({
    clock,
    controls,
    targetDatabaseId,
    hold,
    nextOrderer: () => agent.nextOrderer(),
  });
}

function settled<T>(promise: Promise<T>, ms = 5_000) {
  return time.outcome(promise, ms);
}

async function expectSwitchResult(targetDatabaseId: string, expected: object) {
  expect(await settled(switchTo(targetDatabaseId))).toMatchObject(expected);
}

/** The expected result of a switch that changed nothing, with its reason. */
function notStarted(reason: string) {
  return {
    kind: 'notStarted',
    reason: expect.stringContaining(reason) as string,
  };
}

describe('switchPrimary', () => {
  test('makes the target primary and holds writes for at most 100 ms', async () => {
    await settled(nodes[1]!.write('before', 'replica'), 100);
    expect(await settled(switchTo('db-3'))).toEqual({
      kind: 'switched',
      term: 2,
    });
    expect(group.primary?.spec.id).toBe('db-3');
    expect(group.primary?.visibleWrites()).toContain('before');
    expect(hold.held).toBe(false);
    expect(hold.heldMs).toBeLessThanOrEqual(100);
    expect(nodes.flatMap(({events}) => events)).toEqual([]);
  });

  test('loses no write that other nodes send during the switch', async () => {
    const writes: FakeWrite[] = [];
    const send = async (id: string) => {
      const write = await nodes[1]!.write(id, 'replica');
      if (write !== undefined) writes.push(write);
    };
    const result = switchTo('db-3');
    for (let i = 0; i < 100; i++) {
      void send(`w${i}`);
      await time.advance(5);
    }
    expect((await settled(result))?.kind).toMatch(/switched|fellBack/);
    const acknowledged = writes.filter(
      write => write.result.kind === 'acknowledged',
    );
    expect(acknowledged.length).toBeGreaterThan(10);
    for (const {id} of acknowledged) {
      expect(group.primary?.visibleWrites()).toContain(id);
    }
  });

  test('changes nothing if the target can not catch up', async () => {
    group.links.cut(['db-3'], ['db-1', 'db-2']);
    group.database('db-1').commit('w');
    await expectSwitchResult('db-3', notStarted('did not reach'));
    expect(group.primary?.spec.id).toBe('db-1');
    expect(hold.held).toBe(false);
  });

  test('changes nothing if the target falls behind while writes are held', async () => {
    hold.onHold = () => {
      group.links.cut(['db-3'], ['db-1', 'db-2']);
      group.database('db-1').commit('last');
    };
    await expectSwitchResult('db-3', notStarted('did not reach'));
    expect(group.primary).toMatchObject({term: 1});
    expect(hold.heldMs).toBeLessThanOrEqual(600);
  });

  test('waits until a slow primary is fenced', async () => {
    group.links.between('vm-1', 'db-1').delayMs = 40;
    await expectSwitchResult('db-3', {kind: 'switched'});
  });

  test('falls back to a failover if the old primary can not be fenced', async () => {
    group.onOrder = (_, kind) => {
      if (kind === 'fence') group.links.cut(['vm-1'], ['db-1']);
    };
    await expectSwitchResult('db-3', {
      kind: 'fellBack',
      reason: 'db-1 could not be fenced',
      failover: {kind: 'promoted'},
    });
  });

  test.each([
    ['db-1', 'leads already'],
    ['db-9', 'has no database'],
  ])('refuses a switch to %s', async (id, reason) => {
    await expectSwitchResult(id, notStarted(reason));
  });

  test('falls back to a failover if the target lacks a late write', async () => {
    group.onOrder = (_, kind) => {
      if (kind !== 'fence') return;
      group.onOrder = () => {};
      group.database('db-1').commit('late');
    };
    await expectSwitchResult('db-3', {
      kind: 'fellBack',
      failover: {kind: 'promoted', databaseId: 'db-1'},
    });
    await time.advance(1_000);
    expect(group.primary?.visibleWrites()).toContain('late');
    expect(hold.held).toBe(false);
  });

  test('falls back to a failover if the target fails during the switch', async () => {
    group.onOrder = (_, kind, databaseId) => {
      if (kind === 'promote' && databaseId === 'db-3') {
        group.database('db-3').crash();
      }
    };
    await expectSwitchResult('db-3', {
      kind: 'fellBack',
      failover: {kind: 'promoted'},
    });
    expect(group.primary?.up).toBe(true);
    expect(hold.held).toBe(false);
  });

  test('other nodes complete a switch whose node stops', async () => {
    group.onOrder = (nodeId, kind) => {
      if (nodeId === 'vm-1' && kind === 'promote') nodes[0]!.clock.pause();
    };
    void switchTo('db-3');
    await time.advance(5_000);
    expect(group.primary).toMatchObject({term: 3});
    const after = await settled(nodes[1]!.write('after', 'replica'), 500);
    expect(after?.result).toEqual({kind: 'acknowledged'});
  });
});
