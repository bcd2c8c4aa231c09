import {expect, test} from 'vitest';
import {budgetKey} from '../../src/admission/budget-record.js';
import {EMPTY_SHARE} from '../../src/admission/share.js';
import type {SyncMessage} from '../../src/admission/types.js';
import {Cluster, STANDING_LIMIT_MS, type ClusterNode} from './cluster.js';
import {worstExcess} from './conservation-invariant.js';
import {rendezvousOrder} from './random.js';

const TEAM = 'assessors';
const LIMITS = {rate: 100, burst: 50};
const CONFIG_LAG_MS = 3_200;

function createCluster(nodes: number, perSecond: number, seed = 1): Cluster {
  const cluster = new Cluster({nodes, seed, limits: {[TEAM]: LIMITS}});
  cluster.offer(TEAM, perSecond, Infinity, () => {
    const {alive, random} = cluster;
    return alive[Math.floor(random.next() * alive.length)];
  });
  return cluster;
}

function excessOf(cluster: Cluster): number {
  const admitted = cluster.decisions
    .filter(decision => decision.retryAfterMs === undefined)
    .map(decision => decision.atMs);
  return worstExcess(admitted, [{atMs: 0, limits: LIMITS}], CONFIG_LAG_MS);
}

function admittedBetween(
  cluster: Cluster,
  fromMs: number,
  toMs: number,
  node?: ClusterNode,
): number {
  return cluster.decisions.filter(
    ({atMs, retryAfterMs, node: at}) =>
      retryAfterMs === undefined &&
      atMs >= fromMs &&
      atMs < toMs &&
      (node === undefined || at === node.ref.instance),
  ).length;
}

/** Returns the fraction of offered statements that were admitted. */
function admittedShare(cluster: Cluster, fromMs: number, toMs: number): number {
  const offered = cluster.decisions.filter(
    ({atMs}) => atMs >= fromMs && atMs < toMs,
  );
  return admittedBetween(cluster, fromMs, toMs) / offered.length;
}

function ownerOf(cluster: Cluster): ClusterNode {
  const value = cluster.store.peek(budgetKey(TEAM)) ?? '{}';
  const {owner} = JSON.parse(value) as {owner?: string};
  const node = cluster.nodes.find(({ref}) => ref.instance === owner);
  if (node === undefined) throw new Error('the budget has no owner yet');
  return node;
}

function otherThan(cluster: Cluster, ...nodes: ClusterNode[]): ClusterNode {
  const node = cluster.alive.find(candidate => !nodes.includes(candidate));
  if (node === undefined) throw new Error('no other node runs');
  return node;
}

test('holders keep spending when the owner dies, and its share is reclaimed', async () => {
  const cluster = createCluster(5, 400);
  await cluster.time.advance(5_000);
  cluster.kill(ownerOf(cluster));
  await cluster.time.advance(25_000);
  expect(excessOf(cluster)).toBe(0);
  expect(admittedBetween(cluster, 5_000, 15_000)).toBeGreaterThan(600);
  expect(admittedBetween(cluster, 20_000, 30_000)).toBeGreaterThan(960);
  expect(ownerOf(cluster).isDead).toBe(false);
  await cluster.stop();
});

test('a store outage causes no refusals', async () => {
  const admitted: number[] = [];
  for (const isDown of [false, true]) {
    const cluster = createCluster(5, 90);
    await cluster.time.advance(5_000);
    cluster.store.isDown = isDown;
    await cluster.time.advance(60_000);
    admitted.push(admittedBetween(cluster, 0, Infinity));
    await cluster.stop();
  }
  expect(admitted[1]).toBe(admitted[0]);
});

test('holders keep spending when the owner dies during a store outage', async () => {
  const cluster = createCluster(5, 80);
  await cluster.time.advance(5_000);
  cluster.store.isDown = true;
  cluster.kill(ownerOf(cluster));
  await cluster.time.advance(60_000);
  for (const node of cluster.alive) {
    expect(admittedBetween(cluster, 5_000, 65_000, node)).toBeGreaterThan(600);
  }
  cluster.store.isDown = false;
  await cluster.time.advance(20_000);
  // Arrivals are random, so the bound is relative to the offered statements.
  expect(admittedShare(cluster, 80_000, 85_000)).toBeGreaterThan(0.99);
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a node that was paused while its owner was replaced does not spend its old share', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  const owner = ownerOf(cluster);
  const paused = otherThan(cluster, owner);
  // The platform keeps listing it, so no node retires it.
  paused.lastSeenAtMs = Infinity;
  paused.clock.pause();
  await cluster.time.advance(500);
  cluster.retire(owner);
  await cluster.time.advance(10_000);
  const resumedMs = cluster.time.now();
  // Its share was reclaimed during the pause; it may only spend a new one.
  paused.isPeerTrafficLost = true;
  paused.clock.resume();
  await cluster.time.advance(1_100);
  expect(admittedBetween(cluster, resumedMs, resumedMs + 1_100, paused)).toBe(
    0,
  );
  paused.isPeerTrafficLost = false;
  await cluster.time.advance(10_000);
  expect(admittedBetween(cluster, resumedMs, Infinity, paused)).toBeGreaterThan(
    100,
  );
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a process that was retired while it was paused never spends again', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  for (const node of [otherThan(cluster, ownerOf(cluster)), ownerOf(cluster)]) {
    node.clock.pause();
    await cluster.time.advance(20_000);
    const resumedMs = cluster.time.now();
    node.clock.resume();
    await cluster.time.advance(10_000);
    expect(admittedBetween(cluster, resumedMs, Infinity, node)).toBe(0);
  }
  expect(admittedBetween(cluster, 55_000, 65_000)).toBeGreaterThan(950);
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a holder that the new owner can not reach stops before its share is reclaimed', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  const owner = ownerOf(cluster);
  const others = cluster.alive.filter(node => node !== owner);
  const order = rendezvousOrder(
    budgetKey(TEAM),
    others.map(node => node.ref),
  );
  const isolated = others.find(node => node.ref !== order[0])!;
  isolated.isPeerTrafficLost = true;
  const retiredMs = cluster.time.now();
  cluster.retire(owner);
  await cluster.time.advance(15_000);
  const reclaimedMs = retiredMs + 2 * STANDING_LIMIT_MS;
  expect(
    admittedBetween(cluster, retiredMs, reclaimedMs, isolated),
  ).toBeGreaterThan(20);
  expect(admittedBetween(cluster, reclaimedMs, Infinity, isolated)).toBe(0);
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a partitioned node keeps spending only for the standing limit', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  for (const node of [ownerOf(cluster), otherThan(cluster, ownerOf(cluster))]) {
    node.isPartitioned = true;
    const cutMs = cluster.time.now();
    await cluster.time.advance(5_000);
    expect(
      admittedBetween(cluster, cutMs, cutMs + 3_000, node),
    ).toBeGreaterThan(0);
    expect(admittedBetween(cluster, cutMs + 3_000, Infinity, node)).toBe(0);
    node.isPartitioned = false;
    await cluster.time.advance(5_000);
  }
  await cluster.stop();
});

test('a retired instance spends nothing once it has received its retirement', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  for (const node of [otherThan(cluster, ownerOf(cluster)), ownerOf(cluster)]) {
    cluster.retire(node);
    await cluster.time.advance(150);
    const knownMs = cluster.time.now();
    await cluster.time.advance(10_000);
    expect(admittedBetween(cluster, knownMs, Infinity, node)).toBe(0);
  }
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('an owner that leaves transfers the budget at once', async () => {
  const cluster = createCluster(4, 400);
  await cluster.time.advance(5_000);
  const leaving = ownerOf(cluster);
  const left = cluster.leave(leaving);
  await cluster.time.advance(1_000);
  await left;
  const successor = ownerOf(cluster);
  expect(successor).not.toBe(leaving);
  await cluster.time.advance(2_000);
  expect(admittedBetween(cluster, 6_000, 8_000)).toBeGreaterThan(180);
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a share stays valid over two owners of which only the second was retired', async () => {
  const cluster = createCluster(4, 400);
  await cluster.time.advance(5_000);
  const order = rendezvousOrder(
    budgetKey(TEAM),
    cluster.nodes.map(node => node.ref),
  ).map(ref => cluster.nodes.find(node => node.ref === ref)!);
  const [first, second, , last] = order;
  expect(ownerOf(cluster)).toBe(first);
  last!.isPeerTrafficLost = true;
  void cluster.leave(first!);
  await cluster.time.advance(900);
  // The platform keeps listing it, so no node retires it.
  first!.lastSeenAtMs = Infinity;
  await cluster.time.advance(1_000);
  expect(ownerOf(cluster)).toBe(second);
  cluster.retire(second!);
  await cluster.time.advance(20_000);
  expect(admittedBetween(cluster, 20_000, Infinity, last)).toBeGreaterThan(20);
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a lost reply to the first write of the record credits only one burst', async () => {
  const cluster = createCluster(3, 400);
  cluster.store.loseEveryNthReply(1);
  await cluster.time.advance(10_000);
  expect(excessOf(cluster)).toBe(0);
  expect(admittedBetween(cluster, 0, 10_000)).toBeGreaterThan(950);
  await cluster.stop();
});

test('an owner ignores a sync meant for the owner of a later epoch', async () => {
  const cluster = createCluster(3, 80);
  await cluster.time.advance(5_000);
  const owner = ownerOf(cluster);
  const holder = otherThan(cluster, owner);
  const service = cluster.services.get(owner.ref.instance)!;
  const share = () => service.status()[0]?.share;
  const before = share();
  const reply = service.handle(
    createSync(holder, {knownEpoch: 2}),
    holder.ref.vm,
  );
  await cluster.time.advance(5);
  expect(await reply).toMatchObject({kind: 'notOwner'});
  expect(share()).toEqual(before);
  await cluster.stop();
});

test('an owner that is superseded during a call grants nothing in that call', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  const owner = ownerOf(cluster);
  const newcomer = cluster.startNode('vm9', 0);
  const service = cluster.services.get(owner.ref.instance)!;
  const share = () => service.status()[0]?.share;
  const sync = createSync(newcomer, {waiting: 100, demand: 100});
  const reply = service.handle(sync, newcomer.ref.vm);
  const before = share();
  await service.handle(
    {kind: 'moved', team: TEAM, epoch: 2, owner: newcomer.ref.instance},
    newcomer.ref.vm,
  );
  await cluster.time.advance(20);
  expect(await reply).toEqual({kind: 'stale'});
  expect(share()?.burst).toBeGreaterThanOrEqual(before?.burst ?? Infinity);
  await cluster.stop();
});

test('an owner accepts no more tokens back than the returned share can hold', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  const owner = ownerOf(cluster);
  const newcomer = cluster.startNode('vm9', 0);
  const service = cluster.services.get(owner.ref.instance)!;
  const before = service.status()[0]!.tokens;
  const sync = createSync(newcomer, {knownEpoch: 1, tokensBack: 50});
  await service.handle(sync, newcomer.ref.vm);
  expect(service.status()[0]!.tokens).toBeLessThanOrEqual(before);
  await cluster.stop();
});

function createSync(
  holder: ClusterNode,
  changes: Partial<SyncMessage>,
): SyncMessage {
  return {
    kind: 'sync',
    team: TEAM,
    holder: holder.ref.instance,
    seq: 1_000_000,
    heldEpoch: 0,
    knownEpoch: 1,
    held: EMPTY_SHARE,
    tokens: 0,
    tokensBack: 0,
    demand: 0,
    waiting: 0,
    isStandby: false,
    ...changes,
  };
}
