import {expect, test} from 'vitest';
import {budgetKey} from '../../src/admission/budget-record.js';
import {EMPTY_SHARE} from '../../src/admission/share.js';
import type {SyncMessage} from '../../src/admission/types.js';
import {Cluster, STANDING_LIMIT_MS, type ClusterNode} from './cluster.js';
import {worstExcess} from './law.js';
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

/** The admitted part of what was offered. */
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
  const node = cluster.alive.find(one => !nodes.includes(one));
  if (node === undefined) throw new Error('no other node runs');
  return node;
}

test('a dead owner stops no holder and its part comes back', async () => {
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

test('a store outage refuses nothing that would be admitted without it', async () => {
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

test('holders go on when the owner dies in a store outage', async () => {
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
  // The arrivals are random, so the bound counts from what was offered.
  expect(admittedShare(cluster, 80_000, 85_000)).toBeGreaterThan(0.99);
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a node cut off while its owner is replaced spends nothing too late', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  const owner = ownerOf(cluster);
  const frozen = otherThan(cluster, owner);
  // The platform goes on listing it, so nobody retires it.
  frozen.listedAtMs = Infinity;
  frozen.clock.pause();
  await cluster.time.advance(500);
  cluster.retire(owner);
  await cluster.time.advance(10_000);
  const resumedMs = cluster.time.now();
  // The share was free meanwhile; only a new one may be spent.
  frozen.isPeerTrafficLost = true;
  frozen.clock.resume();
  await cluster.time.advance(1_100);
  expect(admittedBetween(cluster, resumedMs, resumedMs + 1_100, frozen)).toBe(
    0,
  );
  frozen.isPeerTrafficLost = false;
  await cluster.time.advance(10_000);
  expect(admittedBetween(cluster, resumedMs, Infinity, frozen)).toBeGreaterThan(
    100,
  );
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a frozen process that was retired never spends again', async () => {
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

test('a holder that no new owner hears of stops before its share is free', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  const owner = ownerOf(cluster);
  const others = cluster.alive.filter(node => node !== owner);
  const order = rendezvousOrder(
    budgetKey(TEAM),
    others.map(node => node.ref),
  );
  const muted = others.find(node => node.ref !== order[0])!;
  muted.isPeerTrafficLost = true;
  const retiredMs = cluster.time.now();
  cluster.retire(owner);
  await cluster.time.advance(15_000);
  const freeMs = retiredMs + 2 * STANDING_LIMIT_MS;
  expect(admittedBetween(cluster, retiredMs, freeMs, muted)).toBeGreaterThan(
    20,
  );
  expect(admittedBetween(cluster, freeMs, Infinity, muted)).toBe(0);
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a node that is cut off spends on for the standing limit only', async () => {
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

test('a retired instance spends nothing once it knows', async () => {
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

test('an owner that leaves hands everything on at once', async () => {
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

test('a share outlives two owners of which only the second was retired', async () => {
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
  // The platform goes on listing it, so nobody retires it.
  first!.listedAtMs = Infinity;
  await cluster.time.advance(1_000);
  expect(ownerOf(cluster)).toBe(second);
  cluster.retire(second!);
  await cluster.time.advance(20_000);
  expect(admittedBetween(cluster, 20_000, Infinity, last)).toBeGreaterThan(20);
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a lost answer to the first record credits one burst only', async () => {
  const cluster = createCluster(3, 400);
  cluster.store.loseEveryNthAnswer(1);
  await cluster.time.advance(10_000);
  expect(excessOf(cluster)).toBe(0);
  expect(admittedBetween(cluster, 0, 10_000)).toBeGreaterThan(950);
  await cluster.stop();
});

test('an owner counts nothing that was told to a later one', async () => {
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

test('an owner that is succeeded during a call grants nothing in it', async () => {
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

test('an owner takes back no more tokens than fit into what was returned', async () => {
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
