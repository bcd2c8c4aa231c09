/**
 * `npm run bench -- admission`: compares distributed rate limiting approaches,
 * and limits on the statements that run at a database, under virtual time.
 */

import {ConcurrencyLimit} from '../src/admission/concurrency-limit.js';
import {TokenBucket} from '../src/admission/token-bucket.js';
import {AdaptiveLimit} from '../test/admission/adaptive-limit.js';
import {Cluster} from '../test/admission/cluster.js';
import {worstExcess} from '../test/admission/conservation-invariant.js';
import {ManualClock} from '../test/admission/manual-clock.js';
import {createRandom} from '../test/admission/random.js';
import {runSlotModel, type LimitModel} from '../test/admission/slot-model.js';

const TEAM = 'assessors';
const NODES = 7;
const RUN_MS = 60_000;
const FAULT_MS = 20_000;
const OUTAGE_MS = 30_000;
const RATE_LIMITS = {rate: 200, burst: 100};
const LOAD_RATIO = 0.9;
const SEED = 7;
/** Time until a dead owner is replaced: listing lag, retirement and safety period. */
const OWNER_REPLACEMENT_MS = 10_500;
const HOP_LATENCY_MS = 1.1;
const MODEL_RUN_MS = 60_000;

type Scenario =
  | 'calm'
  | 'skewed entry'
  | 'owner node dead'
  | 'other node dead'
  | 'store out 30 s'
  | 'ten times the rate';

const SCENARIOS: readonly Scenario[] = [
  'calm',
  'skewed entry',
  'owner node dead',
  'other node dead',
  'store out 30 s',
  'ten times the rate',
];

/** A statement that reaches a node. */
interface Arrival {
  readonly atMs: number;
  readonly node: number;
}

interface Outcome {
  /** Admission time of each admitted statement. */
  readonly admittedMs: readonly number[];
  readonly messages: number;
}

type Approach = (
  arrivals: readonly Arrival[],
  scenario: Scenario,
) => Promise<Outcome>;

/**
 * Runs both comparisons and prints their tables.
 *
 * @example
 * await run();
 */
export async function run(): Promise<void> {
  await compareBudgetApproaches();
  compareConcurrencyLimits();
}

/** Compares how approaches to a shared rate limit refuse and exceed under faults. */
async function compareBudgetApproaches(): Promise<void> {
  const approaches: readonly (readonly [string, Approach])[] = [
    ['escrow with owner', runEscrow],
    ['one central owner', runCentralOwner],
    ['fixed 1/N shares', runFixedShares],
  ];
  printRow('scenario', 'approach', 'wrongful %', 'excess', 'msgs/admitted');
  printRow('---', '---', '---', '---', '---');
  for (const scenario of SCENARIOS) {
    const arrivals = createArrivals(scenario);
    const ideal = countIdealAdmissions(arrivals);
    for (const [name, approach] of approaches) {
      const {admittedMs, messages} = await approach(arrivals, scenario);
      const wrongful = (ideal - admittedMs.length) / arrivals.length;
      const changes = [{atMs: 0, limits: RATE_LIMITS}];
      const times = [...admittedMs].sort((a, b) => a - b);
      printRow(
        scenario,
        name,
        (Math.max(0, wrongful) * 100).toFixed(2),
        worstExcess(times, changes, 0).toFixed(1),
        (messages / admittedMs.length).toFixed(3),
      );
    }
  }
}

/** Index of the node that owns the budget at the start, in every approach. */
function initialOwnerIndex(): number {
  return 0;
}

/** Index of the node that is killed in a scenario; undefined if none is. */
function deadNodeOf(scenario: Scenario): number | undefined {
  if (scenario === 'owner node dead') return initialOwnerIndex();
  return scenario === 'other node dead' ? 3 : undefined;
}

/** Creates Poisson arrivals over the nodes; clients of a dead node use the next one. */
function createArrivals(scenario: Scenario): readonly Arrival[] {
  const random = createRandom(SEED);
  const ratio = scenario === 'ten times the rate' ? 10 : LOAD_RATIO;
  const perMs = (RATE_LIMITS.rate * ratio) / 1_000;
  const dead = deadNodeOf(scenario);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random.next()) / perMs;
    if (atMs >= RUN_MS) return arrivals;
    let node = Math.floor(random.next() * NODES);
    if (scenario === 'skewed entry') node = 3;
    if (node === dead && atMs >= FAULT_MS) node = (node + 1) % NODES;
    arrivals.push({atMs, node});
  }
}

/** Counts what a single token bucket that receives all arrivals would admit. */
function countIdealAdmissions(arrivals: readonly Arrival[]): number {
  const clock = new ManualClock();
  const bucket = new TokenBucket(clock, RATE_LIMITS, RATE_LIMITS.burst);
  return arrivals.filter(({atMs}) => {
    clock.advance(atMs - clock.now());
    return bucket.trySpend(1);
  }).length;
}

/** Runs the escrow of the service: the owner grants shares of the budget to the nodes. */
const runEscrow: Approach = async (arrivals, scenario) => {
  const cluster = new Cluster({
    nodes: NODES,
    seed: SEED,
    limits: {[TEAM]: RATE_LIMITS},
  });
  for (const service of cluster.services.values())
    service.setStandbyTeams([TEAM]);
  const nodes = [...cluster.nodes];
  const owner = nodes[initialOwnerIndex()]!;
  cluster.preferOwner(owner);
  for (const {atMs, node} of arrivals) {
    cluster.time.schedule(atMs, () => void cluster.admit(nodes[node]!, TEAM));
  }
  const dead = deadNodeOf(scenario);
  cluster.time.schedule(FAULT_MS, () => {
    if (dead !== undefined) cluster.kill(nodes[dead]!);
    cluster.store.isDown = scenario === 'store out 30 s';
  });
  cluster.time.schedule(FAULT_MS + OUTAGE_MS, () => {
    cluster.store.isDown = false;
  });
  await cluster.time.advance(RUN_MS + 100);
  await cluster.stop();
  const admittedMs = cluster.decisions
    .filter(({retryAfterMs}) => retryAfterMs === undefined)
    .map(({atMs}) => atMs);
  return {admittedMs, messages: cluster.messages};
};

/** Queries the owner for every statement; a dead owner's successor starts without tokens. */
const runCentralOwner: Approach = async (arrivals, scenario) => {
  const clock = new ManualClock();
  let bucket = new TokenBucket(clock, RATE_LIMITS, RATE_LIMITS.burst);
  let owner = initialOwnerIndex();
  let messages = 0;
  const admittedMs: number[] = [];
  for (const {atMs, node} of arrivals) {
    const replacedMs = FAULT_MS + OWNER_REPLACEMENT_MS;
    const isOwnerDead = deadNodeOf(scenario) === owner && atMs >= FAULT_MS;
    if (isOwnerDead && atMs < replacedMs) continue;
    clock.advance(atMs - clock.now());
    if (isOwnerDead) {
      owner += 1;
      bucket = new TokenBucket(clock, RATE_LIMITS, 0);
    }
    const isLocal = node === owner;
    if (!isLocal) messages += 2;
    if (bucket.trySpend(1))
      admittedMs.push(isLocal ? atMs : atMs + 2 * HOP_LATENCY_MS);
  }
  return {admittedMs, messages};
};

/** Gives each node an equal share; a dead node's share is divided after its replacement time. */
const runFixedShares: Approach = async (arrivals, scenario) => {
  const clock = new ManualClock();
  const limitsFor = (nodes: number) => ({
    rate: RATE_LIMITS.rate / nodes,
    burst: RATE_LIMITS.burst / nodes,
  });
  const buckets = Array.from(
    {length: NODES},
    () => new TokenBucket(clock, limitsFor(NODES), RATE_LIMITS.burst / NODES),
  );
  const admittedMs: number[] = [];
  let isRedistributed = deadNodeOf(scenario) === undefined;
  for (const {atMs, node} of arrivals) {
    clock.advance(atMs - clock.now());
    if (!isRedistributed && atMs >= FAULT_MS + OWNER_REPLACEMENT_MS) {
      isRedistributed = true;
      for (const bucket of buckets) bucket.resize(limitsFor(NODES - 1));
    }
    if (buckets[node]!.trySpend(1)) admittedMs.push(atMs);
  }
  return {admittedMs, messages: 0};
};

/** Compares concurrency limits of a database by throughput and urgent latency. */
function compareConcurrencyLimits(): void {
  const limits: readonly (readonly [string, () => LimitModel])[] = [
    ['slots', () => ({value: 2})],
    [
      'slots + 1',
      () => new ConcurrencyLimit({slots: () => 2, connections: () => 16}),
    ],
    ['slots + 2', () => ({value: 4})],
    ['follows latency', () => new AdaptiveLimit(2)],
    ['16 connections', () => ({value: 16})],
  ];
  console.log('');
  printRow('service time', 'limit', 'mean', 'statements/s', 'urgent p99 ms');
  printRow('---', '---', '---', '---', '---');
  for (const name of ['constant', 'exponential', 'mixed'] as const) {
    for (const [label, create] of limits) {
      const res = runSlotModel(create(), {
        slots: 2,
        hopMs: 1,
        serviceMs: createServiceTime(name),
        runMs: MODEL_RUN_MS,
        urgentPerSecond: 50,
        seed: SEED,
      });
      printRow(
        name,
        label,
        res.meanLimit.toFixed(2),
        res.perSecond.toFixed(0),
        res.urgentP99Ms.toFixed(1),
      );
    }
  }
}

/** Returns a generator of service times with a mean of 4 ms. */
function createServiceTime(
  name: 'constant' | 'exponential' | 'mixed',
): () => number {
  const random = createRandom(SEED);
  if (name === 'constant') return () => 4;
  if (name === 'mixed') return () => (random.next() < 0.9 ? 2 : 22);
  return () => -Math.log(1 - random.next()) * 4;
}

function printRow(...cells: readonly string[]): void {
  console.log(`| ${cells.join(' | ')} |`);
}
