import fc from 'fast-check';
import {budgetKey} from '../../src/admission/budget-record.js';
import {WHOLE_UNITS} from '../../src/admission/share.js';
import type {BudgetLimits} from '../../src/admission/types.js';
import {Cluster, STANDING_LIMIT_MS, type ClusterNode} from './cluster.js';
import {worstExcess, type LimitsChange} from './conservation-invariant.js';

export const TEAM = 'assessors';
const END_MS = 30_000;
const FIRST_LIMITS: BudgetLimits = {rate: 40, burst: 24};
/** The standing limit with the maximum clock error, and one heartbeat. */
const CONFIG_LAG_MS = STANDING_LIMIT_MS * 1.02 + 150;

/** One fault, or one change, at a given time. */
export interface ScheduledEvent {
  readonly kind:
    | 'kill'
    | 'killOwner'
    | 'pause'
    | 'partition'
    | 'losePeerMessages'
    | 'replace'
    | 'partitionAndRetire'
    | 'pauseAndRetire'
    | 'retire'
    | 'leave'
    | 'storeOutage'
    | 'limits'
    | 'moveLoad';
  readonly atMs: number;
  readonly node: number;
  readonly forMs: number;
  readonly scale: number;
}

/** The parameters of one simulation run. */
export interface Schedule {
  readonly seed: number;
  readonly nodes: number;
  readonly load: number;
  readonly lossRatio: number;
  readonly repeatRatio: number;
  readonly slowRatio: number;
  readonly events: readonly ScheduledEvent[];
}

const eventArb: fc.Arbitrary<ScheduledEvent> = fc.record({
  kind: fc.constantFrom(
    'kill',
    'killOwner',
    'pause',
    'partition',
    'losePeerMessages',
    'replace',
    'partitionAndRetire',
    'pauseAndRetire',
    'retire',
    'leave',
    'storeOutage',
    'limits',
    'moveLoad',
  ),
  atMs: fc.integer({min: 200, max: END_MS - 2_000}),
  node: fc.nat({max: 4}),
  forMs: fc.integer({min: 50, max: 14_000}),
  scale: fc.constantFrom(0.25, 0.5, 2, 3),
});

export const scheduleArb: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.integer(),
  nodes: fc.integer({min: 2, max: 5}),
  load: fc.constantFrom(1, 2, 4),
  lossRatio: fc.constantFrom(0, 0.05, 0.3),
  repeatRatio: fc.constantFrom(0, 0.1, 0.3),
  slowRatio: fc.constantFrom(0, 0.05, 0.2),
  events: fc.array(eventArb, {maxLength: 10}),
});

/** The results of one simulation run. */
export interface ScheduleResult {
  readonly admitted: number;
  readonly excess: number;
  readonly epoch: number;
  /** The fraction of the rate that owner and holders have at the end. */
  readonly held: number;
}

/** Runs a schedule under virtual time and checks the conservation invariant. */
export async function runSchedule(schedule: Schedule): Promise<ScheduleResult> {
  const cluster = new Cluster({
    nodes: schedule.nodes,
    seed: schedule.seed,
    limits: {[TEAM]: FIRST_LIMITS},
    clockErrors: [0.01, -0.01, 0.01, 0.005, -0.005],
    faults: {
      lossRatio: schedule.lossRatio,
      repeatRatio: schedule.repeatRatio,
      slowRatio: schedule.slowRatio,
      slowMs: 2_000,
    },
  });
  cluster.store.loseEveryNthReply(3);
  for (const service of cluster.services.values())
    service.setStandbyTeams([TEAM]);
  const changes: LimitsChange[] = [{atMs: 0, limits: FIRST_LIMITS}];
  let hotNode = 0;
  for (const event of schedule.events) {
    cluster.time.schedule(event.atMs, () => {
      if (event.kind === 'moveLoad') hotNode = event.node;
      else applyEvent(cluster, event, changes);
    });
  }
  cluster.offer(TEAM, FIRST_LIMITS.rate * schedule.load, END_MS, () => {
    const {alive, random} = cluster;
    const isSkewed = random.next() < 0.5;
    const index = isSkewed ? hotNode : Math.floor(random.next() * alive.length);
    return alive[index % Math.max(1, alive.length)];
  });
  await cluster.time.advance(END_MS);
  const held = heldAtEnd(cluster);
  const epoch = epochOf(cluster);
  await cluster.stop();
  const admitted = cluster.decisions
    .filter(decision => decision.retryAfterMs === undefined)
    .map(decision => decision.atMs);
  const excess = worstExcess(admitted, changes, CONFIG_LAG_MS);
  return {admitted: admitted.length, excess, epoch, held};
}

function applyEvent(
  cluster: Cluster,
  event: ScheduledEvent,
  changes: LimitsChange[],
): void {
  const {time, store, alive} = cluster;
  const node = alive[event.node % Math.max(1, alive.length)];
  if (node === undefined) return;
  const afterDuration = (run: () => void) => time.schedule(event.forMs, run);
  switch (event.kind) {
    case 'kill':
      return cluster.kill(node);
    case 'killOwner':
      return cluster.kill(ownerOf(cluster) ?? node);
    case 'replace':
      cluster.kill(node);
      return afterDuration(() => void cluster.startNode(node.ref.vm, 0.01));
    case 'leave':
      void cluster.leave(node);
      return;
    case 'pause':
      return pause(cluster, node, event.forMs);
    case 'partition':
      return partition(cluster, node, event.forMs);
    case 'losePeerMessages':
      node.isPeerTrafficLost = true;
      return afterDuration(() => void (node.isPeerTrafficLost = false));
    case 'partitionAndRetire':
      partition(cluster, node, event.forMs);
      return replaceRetired(cluster, node);
    case 'pauseAndRetire':
      pause(cluster, node, event.forMs);
      return replaceRetired(cluster, node);
    case 'retire':
      return cluster.retire(node);
    case 'storeOutage':
      store.isDown = true;
      return afterDuration(() => void (store.isDown = false));
    case 'limits':
      return changeLimits(cluster, event, changes);
    case 'moveLoad':
      return;
  }
}

function pause(cluster: Cluster, node: ClusterNode, forMs: number): void {
  node.clock.pause();
  cluster.time.schedule(forMs, () => {
    if (!node.isDead) node.clock.resume();
  });
}

function partition(cluster: Cluster, node: ClusterNode, forMs: number): void {
  node.isPartitioned = true;
  cluster.time.schedule(forMs, () => {
    node.isPartitioned = false;
  });
}

/** Retires a node that may still run, and starts another on its VM. */
function replaceRetired(cluster: Cluster, node: ClusterNode): void {
  cluster.retire(node);
  cluster.startNode(node.ref.vm, 0.01);
}

function changeLimits(
  cluster: Cluster,
  event: ScheduledEvent,
  changes: LimitsChange[],
): void {
  // A configuration change needs the store.
  if (cluster.store.isDown) return;
  const limits = {
    rate: FIRST_LIMITS.rate * event.scale,
    burst: FIRST_LIMITS.burst * event.scale,
  };
  cluster.setLimits(TEAM, limits);
  changes.push({atMs: cluster.time.now(), limits});
}

function ownerOf(cluster: Cluster): ClusterNode | undefined {
  const owners = cluster.alive.map(
    ({ref}) =>
      cluster.services
        .get(ref.instance)
        ?.status()
        .find(status => status.team === TEAM)?.owner,
  );
  return cluster.alive.find(node => owners.includes(node.ref.instance));
}

function epochOf(cluster: Cluster): number {
  const value = cluster.store.peek(budgetKey(TEAM));
  return value === undefined ? 0 : JSON.parse(value).epoch;
}

function heldAtEnd(cluster: Cluster): number {
  const shares = cluster.alive.flatMap(({ref}) =>
    (cluster.services.get(ref.instance)?.status() ?? []).map(
      status => status.share.rate / WHOLE_UNITS,
    ),
  );
  return shares.reduce((sum, rate) => sum + rate, 0);
}
