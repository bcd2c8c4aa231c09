import {expect, test} from 'vitest';
import {TokenBucket} from '../../src/admission/token-bucket.js';
import type {BudgetLimits} from '../../src/admission/types.js';
import {ManualClock} from './manual-clock.js';
import {Cluster, type ClusterNode} from './cluster.js';
import {worstExcess} from './conservation-invariant.js';

const END_MS = 30_000;
const CONFIG_LAG_MS = 3_200;

function refusedRatio(cluster: Cluster, team: string): number {
  const decided = cluster.decisions.filter(decision => decision.team === team);
  const refused = decided.filter(
    decision => decision.retryAfterMs !== undefined,
  );
  return refused.length / decided.length;
}

function admittedTimes(cluster: Cluster, team: string): number[] {
  return cluster.decisions
    .filter(
      decision => decision.team === team && decision.retryAfterMs === undefined,
    )
    .map(decision => decision.atMs);
}

/** Returns how many statements one central token bucket would have admitted. */
function countCentrallyAdmitted(
  cluster: Cluster,
  team: string,
  limits: BudgetLimits,
): number {
  const clock = new ManualClock();
  const bucket = new TokenBucket(clock, limits, limits.burst);
  return cluster.decisions
    .filter(decision => decision.team === team)
    .filter(decision => {
      clock.advance(decision.atMs - clock.now());
      return bucket.trySpend(1);
    }).length;
}

function randomNode(cluster: Cluster): ClusterNode | undefined {
  return cluster.nodes[
    Math.floor(cluster.random.next() * cluster.nodes.length)
  ];
}

test('refuses nothing within the rate, even if all load enters at one node', async () => {
  const limits = {rate: 100, burst: 50};
  const cluster = new Cluster({
    nodes: 7,
    seed: 2,
    limits: {even: limits, skewed: limits},
  });
  cluster.offer('even', 80, END_MS, () => randomNode(cluster));
  cluster.offer('skewed', 80, END_MS, () => cluster.nodes[3]);
  await cluster.time.advance(END_MS);
  expect(refusedRatio(cluster, 'even')).toBe(0);
  expect(refusedRatio(cluster, 'skewed')).toBe(0);
  await cluster.stop();
});

test('shares follow load that moves from node to node', async () => {
  const cluster = new Cluster({
    nodes: 7,
    seed: 3,
    limits: {a: {rate: 100, burst: 50}},
  });
  cluster.offer('a', 80, END_MS, () => {
    const turn = Math.floor(cluster.time.now() / 3_000);
    return cluster.nodes[turn % cluster.nodes.length];
  });
  await cluster.time.advance(END_MS);
  expect(refusedRatio(cluster, 'a')).toBeLessThan(0.005);
  await cluster.stop();
});

test('a team at ten times its rate does not reduce what others are entitled to', async () => {
  const teams = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const limits = Object.fromEntries(
    teams.map(team => [team, {rate: 50, burst: 25}]),
  );
  const cluster = new Cluster({nodes: 7, seed: 4, limits});
  for (const team of teams) {
    cluster.offer(team, team === 'a' ? 500 : 50, END_MS, () =>
      randomNode(cluster),
    );
  }
  await cluster.time.advance(END_MS);
  const overloaded = admittedTimes(cluster, 'a');
  expect(overloaded.length).toBeGreaterThan(0.95 * 50 * (END_MS / 1_000));
  expect(
    worstExcess(overloaded, [{atMs: 0, limits: limits['a']!}], CONFIG_LAG_MS),
  ).toBe(0);
  for (const team of teams.slice(1)) {
    const entitled = countCentrallyAdmitted(cluster, team, limits[team]!);
    const admitted = admittedTimes(cluster, team).length;
    expect(admitted).toBeGreaterThanOrEqual(0.95 * entitled);
  }
  await cluster.stop();
});

test('a refusal comes at once with the time until the next token', async () => {
  const cluster = new Cluster({
    nodes: 2,
    seed: 5,
    limits: {a: {rate: 10, burst: 4}},
  });
  const node = cluster.nodes[0]!;
  for (let i = 0; i < 8; i++) void cluster.admit(node, 'a');
  await cluster.time.advance(300);
  const refused = cluster.decisions.filter(
    decision => decision.retryAfterMs !== undefined,
  );
  expect(refused).toHaveLength(4);
  await cluster.time.advance(2_000);
  for (let i = 0; i < 8; i++) void cluster.admit(node, 'a');
  const admitMs = cluster.time.now();
  await cluster.time.advance(50);
  const last = cluster.decisions.at(-1)!;
  expect(last.atMs - admitMs).toBeLessThanOrEqual(25);
  expect(last.retryAfterMs).toBeGreaterThan(0);
  await cluster.time.advance(
    last.atMs + last.retryAfterMs! - cluster.time.now(),
  );
  await cluster.admit(node, 'a');
  expect(cluster.decisions.at(-1)?.retryAfterMs).toBeUndefined();
  await cluster.stop();
});

test('a statement past its deadline is refused without a wait for tokens', async () => {
  const cluster = new Cluster({
    nodes: 2,
    seed: 6,
    limits: {a: {rate: 10, burst: 4}},
  });
  const [node] = cluster.nodes;
  const service = cluster.services.get(node!.ref.instance)!;
  const res = await service.admit('a', node!.clock.now());
  expect(res.kind).toBe('refused');
  await cluster.stop();
});

test('changed limits take effect at every node within 200 ms', async () => {
  const low = {rate: 20, burst: 10};
  const high = {rate: 200, burst: 60};
  const cluster = new Cluster({nodes: 4, seed: 7, limits: {a: high}});
  cluster.offer('a', 600, END_MS, () => randomNode(cluster));
  await cluster.time.advance(10_000);
  cluster.setLimits('a', low);
  await cluster.time.advance(10_000);
  cluster.setLimits('a', high);
  await cluster.time.advance(10_000);
  const times = admittedTimes(cluster, 'a');
  const changes = [
    {atMs: 0, limits: high},
    {atMs: 10_000, limits: low},
    {atMs: 20_000, limits: high},
  ];
  expect(worstExcess(times, changes, 200)).toBe(0);
  const inLast = times.filter(atMs => atMs > 21_000).length;
  expect(inLast).toBeGreaterThan(0.95 * 200 * 9);
  await cluster.stop();
});

test('a team without limits is refused', async () => {
  const cluster = new Cluster({nodes: 1, seed: 8, limits: {}});
  await cluster.admit(cluster.nodes[0]!, 'unknown');
  expect(cluster.decisions[0]?.retryAfterMs).toBeGreaterThan(0);
  await cluster.stop();
});

test('an idle node returns its share and stops sending messages', async () => {
  const cluster = new Cluster({
    nodes: 3,
    seed: 9,
    limits: {a: {rate: 100, burst: 50}},
  });
  for (const node of cluster.nodes) void cluster.admit(node, 'a');
  await cluster.time.advance(4_000);
  const held = cluster.nodes.map(
    ({ref}) => cluster.services.get(ref.instance)?.status()[0],
  );
  expect(held.filter(status => (status?.share.burst ?? 0) > 0)).toHaveLength(1);
  expect(held.reduce((sum, status) => sum + (status?.tokens ?? 0), 0)).toBe(50);
  const before = cluster.messages;
  await cluster.time.advance(20_000);
  expect(cluster.messages).toBe(before);
  await cluster.stop();
});

test.each([260, 400])(
  'a team at a third of its rate is refused nothing while processes pause for %i ms',
  async pauseMs => {
    for (let seed = 1; seed <= 25; seed++) {
      const limits = {a: {rate: 200, burst: 100}};
      const cluster = new Cluster({nodes: 3, seed, limits});
      pauseNodesInTurn(cluster, pauseMs);
      for (const node of cluster.nodes) offerAtIntervals(cluster, node, 'a');
      await cluster.time.advance(6_000);
      expect(refusedRatio(cluster, 'a'), `seed ${seed}`).toBe(0);
      await cluster.stop();
    }
  },
);

/** Pauses a random process at a time, with gaps of the same length. */
function pauseNodesInTurn(cluster: Cluster, pauseMs: number): void {
  const node = randomNode(cluster);
  node?.clock.pause();
  cluster.time.schedule(pauseMs, () => node?.clock.resume());
  cluster.time.schedule(2 * pauseMs, () => pauseNodesInTurn(cluster, pauseMs));
}

/** Offers 20 statements a second; those of a pause are decided after it. */
function offerAtIntervals(
  cluster: Cluster,
  node: ClusterNode,
  team: string,
): void {
  const offer = () => {
    node.clock.whenRunning(() => void cluster.admit(node, team));
    cluster.time.schedule(200, offer);
  };
  for (const atMs of [5, 21, 37, 53]) cluster.time.schedule(atMs, offer);
}
