/**
 * `npm run bench -- failover [trials]`: measures the time without service when
 * the primary is killed, frozen or partitioned, with the store up and down.
 */
import {checkGuarantees} from '../demo/guarantee-checks.js';
import {Fleet, type FleetDatabase} from '../demo/fleet.js';
import {longestGap} from '../demo/run-metrics.js';
import {TASMAN} from '../demo/profiles.js';
import {READ_ONLY_LOAD, WRITE_ONLY_LOAD} from '../demo/session-load.js';
import {formatNumber, formatTable, sleep, quantile} from './figures.js';
import {RunningLoad} from './load.js';

const DEFAULT_TRIALS = 20;
const TEAM = 'lodgements';
const WARM_UP_MS = 2_000;
const BEFORE_FAULT_MS = 300;
const AFTER_FAULT_MS = 3_500;
const FREEZE_MS = 3_000;
const CATCH_UP_TIMEOUT_MS = 10_000;
/** The users' upper bound on the duration of a failover. */
const MAX_FAILOVER_MS = 12_000;
const FAILOVER_GOAL_MS = 2_000;

type Fault = 'kill' | 'freeze' | 'partition';
const FAULTS: readonly Fault[] = ['kill', 'freeze', 'partition'];

interface Trial {
  readonly fault: Fault;
  readonly storeUp: boolean;
  readonly writeGapMs: number;
  readonly readGapMs: number;
}

/** Runs the benchmark and prints its tables. */
export async function run(args: readonly string[]): Promise<void> {
  const trials = Number(args[0] ?? DEFAULT_TRIALS);
  for (const ack of ['replica', 'primary'] as const) {
    await runTrials(ack, trials);
  }
}

/** Runs all trials on a new fleet with one acknowledgement mode. */
async function runTrials(
  ack: 'replica' | 'primary',
  trials: number,
): Promise<void> {
  const rate = {name: TEAM, rate: 100_000, burst: 100_000};
  const fleet = await Fleet.start({profile: TASMAN, ack, teams: [rate]});
  try {
    const group = TASMAN.groups[0] ?? '';
    const sessions = [
      {mix: WRITE_ONLY_LOAD, count: 8},
      {mix: READ_ONLY_LOAD, count: 8},
    ];
    const load = new RunningLoad({
      fleet,
      group,
      team: TEAM,
      sessions,
      paceMs: 10,
      seed: 1,
    });
    await sleep(WARM_UP_MS);
    const results: Trial[] = [];
    for (let i = 0; i < trials; i++) {
      for (const fault of FAULTS) {
        for (const storeUp of [true, false]) {
          results.push(await runTrial(fleet, load, group, fault, storeUp));
        }
      }
    }
    await load.stop();
    await sleep(1_000);
    printGaps(ack, results);
    await printGuarantees(fleet, load);
  } finally {
    await fleet.stop();
  }
}

/** Injects a fault, repairs it and returns the longest gaps around it. */
async function runTrial(
  fleet: Fleet,
  load: RunningLoad,
  group: string,
  fault: Fault,
  storeUp: boolean,
): Promise<Trial> {
  if (!storeUp) await fleet.controlStore('outage', {on: true});
  await sleep(BEFORE_FAULT_MS);
  const primary = await fleet.findPrimary(group);
  if (primary === undefined) throw new Error(`group ${group} has no primary`);
  const from = performance.now();
  await injectFault(fleet, primary, group, fault);
  await sleep(AFTER_FAULT_MS);
  const until = performance.now();
  await repairFault(fleet, primary, fault);
  if (!storeUp) await fleet.controlStore('outage', {on: false});
  await waitForReplicas(fleet, group);
  const trialCompletions = load.record.completions.filter(
    ({at}) => at >= from && at <= until,
  );
  const gapOf = (kind: 'read' | 'write') =>
    longestGap([
      {at: from},
      ...trialCompletions.filter(c => c.kind === kind),
      {at: until},
    ]);
  return {fault, storeUp, writeGapMs: gapOf('write'), readGapMs: gapOf('read')};
}

async function injectFault(
  fleet: Fleet,
  primary: FleetDatabase,
  group: string,
  fault: Fault,
): Promise<void> {
  if (fault === 'kill') return primary.process.kill();
  if (fault === 'freeze') {
    return fleet.controlDatabase(primary, 'freeze', {ms: FREEZE_MS});
  }
  const others = fleet.databases
    .filter(other => other.group === group && other !== primary)
    .map(({spec}) => spec.id);
  return fleet.controlDatabase(primary, 'partition', {from: others});
}

async function repairFault(
  fleet: Fleet,
  database: FleetDatabase,
  fault: Fault,
): Promise<void> {
  if (fault === 'kill') {
    fleet.restartDatabase(database);
    await database.process.waitFor('state=listening');
  }
  if (fault === 'partition') {
    await fleet.controlDatabase(database, 'partition', {from: []});
  }
}

interface GroupsResponse {
  readonly views: readonly {
    readonly name: string;
    readonly primaryId?: string;
    readonly databases: readonly {
      readonly reachable: boolean;
      readonly status?: {
        readonly role: string;
        readonly received: {readonly term: number; readonly offset: number};
      };
    }[];
  }[];
}

/** Waits until all databases of the group are reachable and nearly caught up with one primary. */
async function waitForReplicas(fleet: Fleet, group: string): Promise<void> {
  const until = performance.now() + CATCH_UP_TIMEOUT_MS;
  let lastView: unknown;
  while (performance.now() < until) {
    for (const node of fleet.nodes) {
      const answer = await fleet.readNode<GroupsResponse>(node, 'groups');
      const view = answer.views.find(({name}) => name === group);
      if (view === undefined) continue;
      lastView = view;
      if (view.primaryId === undefined) continue;
      const known = view.databases.map(({status}) => status);
      const maxOffset = Math.max(...known.map(s => s?.received.offset ?? 0));
      const areCaughtUp = known.every(
        s => (s?.received.offset ?? 0) > maxOffset - 50,
      );
      if (areCaughtUp && view.databases.every(({reachable}) => reachable))
        return;
    }
    await sleep(50);
  }
  throw new Error(
    `not all databases of group ${group} recovered: ${JSON.stringify(lastView)}`,
  );
}

function printGaps(ack: string, results: readonly Trial[]): void {
  const rows: string[][] = [];
  for (const fault of FAULTS) {
    for (const storeUp of [true, false]) {
      const matching = results.filter(
        trial => trial.fault === fault && trial.storeUp === storeUp,
      );
      const writes = matching.map(trial => trial.writeGapMs);
      const reads = matching.map(trial => trial.readGapMs);
      rows.push([
        fault,
        storeUp ? 'up' : 'down',
        String(matching.length),
        ...[0.5, 0.99, 1].map(share => formatNumber(quantile(writes, share))),
        ...[0.5, 0.99, 1].map(share => formatNumber(quantile(reads, share))),
      ]);
    }
  }
  const header = [
    'fault',
    'store',
    'runs',
    'write gap p50 ms',
    'p99',
    'max',
    'read gap p50 ms',
    'p99',
    'max',
  ];
  console.log(
    `\nfailover with ack=${ack} (bound ${MAX_FAILOVER_MS} ms, aim ${FAILOVER_GOAL_MS} ms)`,
  );
  console.log(formatTable(header, rows));
  const worst = Math.max(...results.map(({writeGapMs}) => writeGapMs));
  console.log(
    `longest write gap / bound: ${formatNumber(worst / MAX_FAILOVER_MS, 2)}`,
  );
}

async function printGuarantees(fleet: Fleet, load: RunningLoad): Promise<void> {
  const {completions, failures, counters} = load.record;
  const writes = completions.filter(({kind}) => kind === 'write').length;
  const unknown = counters.reduce((sum, counter) => sum + counter.unknown, 0);
  console.log(
    `acknowledged writes: ${writes}; unknown: ${unknown}; refused or failed: ${failures.length - unknown}`,
  );
  for (const {guarantee, violations} of await checkGuarantees(
    fleet,
    load.record,
  )) {
    console.log(
      `${violations.length} violations: ${guarantee}${violations.length > 0 ? ` (${violations.slice(0, 2).join('; ')})` : ''}`,
    );
  }
}
