import {readdirSync, readFileSync} from 'node:fs';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import type {AckMode} from '../../src/groups/replica-confirmer.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {startNodes, type FakeNode, type FakeWrite} from './fake-node.js';

const MODES: readonly AckMode[] = ['replica', 'primary'];
const DATABASES = ['db-1', 'db-2', 'db-3'];
const NODES = ['vm-1', 'vm-2', 'vm-3'];

let time: VirtualClock;
let group: FakeGroup;
let nodes: readonly FakeNode[];

beforeEach(async () => {
  time = new VirtualClock();
  group = new FakeGroup(time);
  nodes = startNodes(group, time, 3);
  await time.advance(1_000);
});

afterEach(() => {
  for (const node of nodes) node.stop();
});

function orderedFailovers() {
  return nodes.flatMap(({events}) =>
    events.filter(event => event.kind === 'ordered'),
  );
}

/** Writes every 10 ms until a write is acknowledged; returns the time taken. */
async function measureWriteGapMs(
  node: FakeNode,
  ack: AckMode,
): Promise<number> {
  const startedAt = time.now();
  let acknowledged = false;
  for (let i = 0; !acknowledged && i < 500; i++) {
    void node.write(`gap-${i}`, ack).then(write => {
      acknowledged ||= write?.result.kind === 'acknowledged';
    });
    await time.advance(10);
  }
  return time.now() - startedAt;
}

function writeAt(node: FakeNode, databaseId: string, id: string, ack: AckMode) {
  const outcome: {write?: FakeWrite | undefined} = {};
  void node.writeAt(databaseId, id, ack).then(write => (outcome.write = write));
  return outcome;
}

describe('failover agent', () => {
  test('orders no failover for a healthy group', async () => {
    await time.advance(10_000);
    expect(orderedFailovers()).toEqual([]);
    expect(nodes[0]!.monitor.current()).toMatchObject({
      term: 1,
      primaryId: 'db-1',
    });
  });

  test.each([
    ['crashes', () => group.database('db-1').crash()],
    ['freezes', () => group.database('db-1').freeze()],
    [
      'is cut off from all nodes and replicas',
      () => group.links.cut(['db-1'], [...NODES, ...DATABASES]),
    ],
    [
      'is cut off from its replicas only',
      () => group.links.cut(['db-1'], DATABASES),
    ],
  ])('promotes a replica within 1.3 s when the primary %s', async (_, fail) => {
    fail();
    expect(await measureWriteGapMs(nodes[1]!, 'replica')).toBeLessThanOrEqual(
      1_300,
    );
    expect(group.primary?.spec.id).not.toBe('db-1');
  });

  test('is not delayed if no other node answers', async () => {
    for (const node of nodes.slice(1)) node.clock.pause();
    // Just before its next poll, so that it is found unreachable before the
    // replicas report its silence.
    await time.advance(190);
    group.database('db-1').crash();
    expect(await measureWriteGapMs(nodes[0]!, 'replica')).toBeLessThanOrEqual(
      1_000,
    );
  });

  test('orders no failover for a primary that answers slowly but within the timeout', async () => {
    for (const node of NODES) group.links.between(node, 'db-1').delayMs = 240;
    await time.advance(10_000);
    expect(orderedFailovers()).toEqual([]);
  });

  test('orders no failover for a primary that is down for 400 ms', async () => {
    group.database('db-1').crash();
    await time.advance(400);
    group.database('db-1').restart();
    await time.advance(2_000);
    expect(orderedFailovers()).toEqual([]);
  });

  test('orders no failover for the flapping link of one node', async () => {
    for (let i = 0; i < 8; i++) {
      group.links.cut(['vm-1'], ['db-1']);
      await time.advance(900);
      group.links.heal(['vm-1'], ['db-1']);
      await time.advance(300);
    }
    expect(orderedFailovers()).toEqual([]);
    expect(nodes[0]!.events).toContainEqual({
      kind: 'linkFault',
      databaseId: 'db-1',
    });
  });

  test('orders no failover from nodes that reach no majority', async () => {
    group.links.cut(['vm-1'], ['db-1', 'db-2']);
    group.links.cut(['vm-2'], ['db-1', 'db-2']);
    await time.advance(5_000);
    expect(orderedFailovers()).toEqual([]);
    expect(group.database('db-3').fencedTerm).toBe(1);
  });

  test('orders no failover after its own process was paused', async () => {
    nodes[0]!.clock.pause();
    await time.advance(5_000);
    nodes[0]!.clock.resume();
    await time.advance(3_000);
    expect(orderedFailovers()).toEqual([]);
  });

  test('an old primary rejoins as a replica', async () => {
    group.database('db-1').crash();
    await time.advance(3_000);
    group.database('db-1').restart();
    await time.advance(1_000);
    expect(group.database('db-1')).toMatchObject({
      role: 'replica',
      term: group.primary!.term,
    });
    expect(orderedFailovers()).toHaveLength(1);
  });

  test.each(MODES)(
    'no write of an isolated old primary is acknowledged, ack=%s',
    async ack => {
      // vm-1 stays on the old primary's side of the partition.
      group.links.cut(['db-1', 'vm-1'], ['db-2', 'db-3', 'vm-2', 'vm-3']);
      await time.advance(3_000);
      expect(group.primary).toMatchObject({term: 2});
      const outcome = writeAt(nodes[0]!, 'db-1', 'late', ack);
      await time.advance(300);
      group.links.cut(['db-1'], DATABASES);
      group.links.heal(['vm-1'], ['db-2', 'db-3']);
      await time.advance(3_000);
      expect(outcome.write?.result.kind).toMatch(/superseded|timeout/);
      expect(group.primary?.visibleWrites()).not.toContain('late');
    },
  );

  test.each(MODES)(
    'acknowledges writes after a failover, ack=%s',
    async ack => {
      group.database('db-1').crash();
      await time.advance(3_000);
      const outcome = writeAt(nodes[0]!, group.primary!.spec.id, 'next', ack);
      await time.advance(500);
      expect(outcome.write?.result).toEqual({kind: 'acknowledged'});
    },
  );

  test('completes a failover that was abandoned after fencing one replica', async () => {
    group.database('db-2').fence(2, 'vm-9/1');
    await time.advance(1_500);
    expect(orderedFailovers()).toEqual([]);
    await time.advance(3_000);
    expect(group.primary).toMatchObject({term: 3});
    expect(group.database('db-2').term).toBe(3);
  });

  test.each([
    ['the primary', ['db-1']],
    ['both replicas', ['db-2', 'db-3']],
    ['all', DATABASES],
  ])(
    'completes a failover that was abandoned after fencing %s',
    async (_, ids) => {
      for (const id of ids) group.database(id).fence(2, 'vm-9/1');
      expect(await measureWriteGapMs(nodes[0]!, 'replica')).toBeLessThanOrEqual(
        1_500,
      );
    },
  );

  test('all nodes agree on one primary when they detect a fault at once', async () => {
    for (const node of NODES) {
      for (const id of DATABASES) group.links.between(node, id).delayMs = 40;
    }
    group.links.cut(['db-1'], DATABASES);
    await time.advance(6_000);
    const terms = group.databases.flatMap(({promotions}) =>
      promotions.map(({term}) => term),
    );
    expect(new Set(terms).size).toBe(terms.length);
    for (const node of nodes) {
      expect(node.monitor.current().primaryId).toBe(group.primary?.spec.id);
    }
  });

  test('promotes once for one fault, although all nodes detect it', async () => {
    group.links.cut(['db-1'], [...NODES, ...DATABASES]);
    await time.advance(3_000);
    group.links.heal(['db-1'], [...NODES, ...DATABASES]);
    await time.advance(3_000);
    expect(group.primary?.term).toBe(2);
  });

  test('orders no failover while it is held', async () => {
    for (const {agent} of nodes) agent.hold();
    group.database('db-1').crash();
    await time.advance(3_000);
    expect(orderedFailovers()).toEqual([]);
    nodes[0]!.agent.release();
    await time.advance(1_000);
    expect(group.primary).toMatchObject({term: 2});
  });

  test('gives each attempt a new orderer id', () => {
    const names = nodes.flatMap(({agent}) => [
      agent.nextOrderer(),
      agent.nextOrderer(),
    ]);
    expect(new Set(names).size).toBe(6);
  });

  test('imports no module of the store', () => {
    for (const file of readdirSync('src/groups')) {
      const text = readFileSync(`src/groups/${file}`, 'utf8');
      expect(text).not.toMatch(/platform\/store/);
    }
  });
});
