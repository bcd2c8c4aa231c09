import {expect, test} from 'vitest';
import {Cluster, type ClusterNode} from './cluster.js';
import {worstExcess} from './law.js';

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

function ownerOf(cluster: Cluster): ClusterNode {
  const value = cluster.store.peek(`zinnia/budget/${TEAM}`) ?? '{}';
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

test('a store outage stops nobody, even if the owner dies in it', async () => {
  const cluster = createCluster(5, 80);
  await cluster.time.advance(5_000);
  cluster.store.isDown = true;
  await cluster.time.advance(30_000);
  const offered = cluster.decisions.length;
  expect(admittedBetween(cluster, 0, 35_000)).toBeGreaterThan(offered * 0.999);
  cluster.kill(ownerOf(cluster));
  await cluster.time.advance(30_000);
  expect(admittedBetween(cluster, 35_000, 65_000)).toBeGreaterThan(1_500);
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a node frozen with a share spends nothing of it too late', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  const owner = ownerOf(cluster);
  const frozen = otherThan(cluster, owner);
  frozen.clock.pause();
  await cluster.time.advance(500);
  cluster.retire(owner);
  await cluster.time.advance(10_000);
  const resumedMs = cluster.time.now();
  frozen.clock.resume();
  // What it held was counted as free meanwhile.
  await cluster.admit(frozen, TEAM);
  await cluster.time.advance(90);
  expect(admittedBetween(cluster, resumedMs, resumedMs + 90, frozen)).toBe(0);
  await cluster.time.advance(10_000);
  expect(admittedBetween(cluster, resumedMs, Infinity, frozen)).toBeGreaterThan(
    100,
  );
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a holder that no new owner hears of stops before its share is free', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  const owner = ownerOf(cluster);
  const muted = otherThan(cluster, owner);
  muted.isMuted = true;
  await cluster.time.advance(100);
  const retiredMs = cluster.time.now();
  cluster.retire(owner);
  await cluster.time.advance(15_000);
  const stoppedMs = retiredMs + 2 * 3_000;
  expect(admittedBetween(cluster, retiredMs, stoppedMs, muted)).toBeGreaterThan(
    20,
  );
  expect(admittedBetween(cluster, stoppedMs, Infinity, muted)).toBe(0);
  expect(excessOf(cluster)).toBe(0);
  await cluster.stop();
});

test('a node that is cut off spends on for the standing limit only', async () => {
  const cluster = createCluster(3, 400);
  await cluster.time.advance(5_000);
  for (const node of [ownerOf(cluster), otherThan(cluster, ownerOf(cluster))]) {
    node.isCut = true;
    const cutMs = cluster.time.now();
    await cluster.time.advance(5_000);
    expect(
      admittedBetween(cluster, cutMs, cutMs + 3_000, node),
    ).toBeGreaterThan(0);
    expect(admittedBetween(cluster, cutMs + 3_000, Infinity, node)).toBe(0);
    node.isCut = false;
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

test('a lost answer to the first record credits one burst only', async () => {
  const cluster = createCluster(3, 400);
  cluster.store.loseEveryNthAnswer(1);
  await cluster.time.advance(10_000);
  expect(excessOf(cluster)).toBe(0);
  expect(admittedBetween(cluster, 0, 10_000)).toBeGreaterThan(950);
  await cluster.stop();
});
