/**
 * `npm run bench -- fleet [seconds] [profile]`: measures service and rate limits
 * while one team sends ten times its rate and the others stay below theirs,
 * without faults and with faults of VMs and the store.
 */
import {Fleet, type FleetNode} from '../demo/fleet.js';
import {LUMBRE, TASMAN, type Profile} from '../demo/profiles.js';
import type {TeamRow} from '../src/rollout/table.js';
import {
  formatNumber,
  formatTable,
  sleep,
  formatPercent,
  quantile,
} from './figures.js';
import {
  runOpenLoad,
  type OpenLoadResult,
  type SentStatement,
} from './open-load.js';

const DEFAULT_SECONDS = 10;
const RATE = 50;
const BURST = 25;
/** Share of its rate that a team below its limit sends. */
const NORMAL_LOAD_SHARE = 0.8;
const OVERLOAD_FACTOR = 10;
const FAULT_DELAY_MS = 2_000;
const FREEZE_MS = 5_000;
const WINDOW_STEP_MS = 200;
const EDITS = 20;
/** Time for JIT compilation and garbage collection after the start to end. */
const IDLE_SETTLE_MS = 60_000;
const IDLE_MS = 20_000;

/** A load and fault scenario. */
interface Scenario {
  readonly name: string;
  readonly overload: boolean;
  /** True if all teams connect to one node. */
  readonly skewed: boolean;
  readonly fault?: (fleet: Fleet) => Promise<void>;
}

const SCENARIOS: readonly Scenario[] = [
  {name: 'calm', overload: false, skewed: false},
  {name: 'one team at 10x', overload: true, skewed: false},
  {name: '10x, skewed entry', overload: true, skewed: true},
  {
    name: '10x, store out',
    overload: true,
    skewed: false,
    fault: fleet => fleet.controlStore('outage', {on: true}),
  },
  {
    name: '10x, a VM frozen 5 s',
    overload: true,
    skewed: false,
    fault: freezeNode,
  },
  {name: '10x, a VM killed', overload: true, skewed: false, fault: killNode},
];

/** Runs the benchmark and prints its tables. */
export async function run(args: readonly string[]): Promise<void> {
  const seconds = Number(args[0] ?? DEFAULT_SECONDS);
  const profiles = [TASMAN, LUMBRE].filter(
    ({name}) => args[1] === undefined || name === args[1],
  );
  for (const profile of profiles) await runProfile(profile, seconds);
}

async function runProfile(profile: Profile, seconds: number): Promise<void> {
  const teams = profile.teams.map(({name}): Partial<TeamRow> => ({
    name,
    rate: RATE,
    burst: BURST,
  }));
  const fleet = await Fleet.start({profile, teams});
  try {
    console.log(
      `\nprofile ${profile.name}: 7 nodes, 8 teams, rate ${RATE}/s, burst ${BURST}`,
    );
    await reportIdleUsage(fleet);
    await reportEditPropagation(fleet);
    const rows: string[][] = [];
    for (const scenario of SCENARIOS) {
      rows.push(await runScenario(fleet, profile, scenario, seconds * 1_000));
    }
    const header = [
      'scenario',
      'worst-served (target 0.95)',
      'refused inside rate',
      'other failures',
      'admitted / allowed',
      'windows over',
    ];
    console.log(formatTable(header, rows));
  } finally {
    await fleet.stop();
  }
}

async function runScenario(
  fleet: Fleet,
  profile: Profile,
  scenario: Scenario,
  durationMs: number,
): Promise<string[]> {
  const nodes = scenario.skewed ? fleet.nodes.slice(0, 1) : fleet.nodes;
  const overloadedTeam = profile.teams[0]?.name ?? '';
  const loads = profile.teams.map(({name}, index) => {
    const factor =
      scenario.overload && name === overloadedTeam
        ? OVERLOAD_FACTOR
        : NORMAL_LOAD_SHARE;
    return runOpenLoad({
      fleet,
      team: name,
      group: profile.groups[index % profile.groups.length] ?? '',
      rate: RATE * factor,
      nodes,
      durationMs,
    });
  });
  const faultDone = sleep(FAULT_DELAY_MS).then(() => scenario.fault?.(fleet));
  const results = await Promise.all(loads);
  await faultDone;
  await fleet.controlStore('outage', {on: false});
  return describeResults(
    scenario.name,
    results,
    overloadedTeam,
    scenario.overload,
  );
}

function describeResults(
  name: string,
  results: readonly OpenLoadResult[],
  overloadedTeam: string,
  overload: boolean,
): string[] {
  const withinRate = results.filter(
    ({team}) => !overload || team !== overloadedTeam,
  );
  const served = withinRate.map(
    ({sent, offered}) => sent.filter(isDone).length / Math.max(1, offered),
  );
  const inside = withinRate.flatMap(({sent}) => sent);
  const rateLimited = inside.filter(({outcome}) => outcome === 'rateLimited');
  const failed = inside.filter(
    ({outcome}) => outcome === 'refused' || outcome === 'unknown',
  );
  const all = results.map(({sent}) => checkRateWindows(sent));
  const over = all.reduce((sum, one) => sum + one.over, 0);
  return [
    name,
    formatNumber(Math.min(...served), 3),
    `${rateLimited.length} of ${inside.length} (${formatPercent(rateLimited.length / Math.max(1, inside.length), 2)})`,
    String(failed.length),
    formatNumber(Math.max(...all.map(({ratio}) => ratio)), 3),
    String(over),
  ];
}

function isDone({outcome}: SentStatement): boolean {
  return outcome === 'done';
}

/**
 * Counts the time windows in which more statements completed than rate and burst
 * allow. Statements sent at or after `s` and done at or before `e` were admitted
 * in between, so at most rate x (e - s) + burst of them may exist.
 */
function checkRateWindows(sent: readonly SentStatement[]): {
  readonly over: number;
  readonly ratio: number;
} {
  const done = sent.filter(isDone);
  if (done.length === 0) return {over: 0, ratio: 0};
  const from = Math.min(...done.map(({sentAt}) => sentAt));
  const to = Math.max(...done.map(({endedAt}) => endedAt));
  let over = 0;
  for (let s = from; s < to; s += WINDOW_STEP_MS) {
    const later = done.filter(({sentAt}) => sentAt >= s);
    for (let e = s + WINDOW_STEP_MS; e <= to; e += WINDOW_STEP_MS) {
      const count = later.filter(({endedAt}) => endedAt <= e).length;
      if (count > (RATE * (e - s)) / 1_000 + BURST) over++;
    }
  }
  const allowed = (RATE * (to - from)) / 1_000 + BURST;
  return {over, ratio: done.length / allowed};
}

async function freezeNode(fleet: Fleet): Promise<void> {
  const node = nodeToFault(fleet);
  node.process.signal('SIGSTOP');
  await sleep(FREEZE_MS);
  node.process.signal('SIGCONT');
}

async function killNode(fleet: Fleet): Promise<void> {
  await nodeToFault(fleet).process.kill();
}

function nodeToFault(fleet: Fleet): FleetNode {
  const node = fleet.nodes[3];
  if (node === undefined) throw new Error('the fleet is too small');
  return node;
}

interface ResourceUsage {
  readonly cpuMicros: number;
  readonly rssBytes: number;
}

interface StoreCallCounts {
  readonly [kind: string]: number;
}

/** Prints CPU, memory and store calls of a fleet without callers. */
async function reportIdleUsage(fleet: Fleet): Promise<void> {
  const usage = () =>
    Promise.all(
      fleet.nodes.map(node => fleet.readNode<ResourceUsage>(node, 'metrics')),
    );
  const calls = async () => {
    const res = await fetch(`${fleet.storeUrl}/standin/calls`);
    return (await res.json()) as StoreCallCounts;
  };
  await sleep(IDLE_SETTLE_MS);
  const [before, callsBefore] = await Promise.all([usage(), calls()]);
  await sleep(IDLE_MS);
  const [after, callsAfter] = await Promise.all([usage(), calls()]);
  const shares = after.map(
    ({cpuMicros}, i) =>
      (cpuMicros - (before[i]?.cpuMicros ?? 0)) / (IDLE_MS * 1_000),
  );
  const rss = after.map(({rssBytes}) => rssBytes / 2 ** 20);
  const total = (all: StoreCallCounts) =>
    Object.values(all).reduce((sum, one) => sum + (Number(one) || 0), 0);
  const rate = (total(callsAfter) - total(callsBefore)) / (IDLE_MS / 1_000);
  console.log(
    `idle: CPU of a node ${formatPercent(quantile(shares, 0.5))} median, ${formatPercent(Math.max(...shares))} busiest (budget 2.5%); resident ${formatNumber(quantile(rss, 0.5))} MiB median (budget 256); store calls ${formatNumber(rate, 1)}/s in all`,
  );
}

/** Prints the time until a configuration edit is in force on all nodes. */
async function reportEditPropagation(fleet: Fleet): Promise<void> {
  const times: number[] = [];
  for (let i = 0; i < EDITS; i++) {
    const row = {
      kind: 'team',
      name: 'propagation',
      rate: 10 + i,
      burst: 10,
      priority: 'urgent',
    } as const;
    const edits = [{kind: 'put', row} as const];
    const identity = {id: `edit-${i}`, by: 'bench'};
    const result = await fleet.editor.edit({kind: 'rows', edits}, identity);
    if (result.kind !== 'applied')
      throw new Error(`the edit was not applied but ${result.kind}`);
    const from = performance.now();
    const {version} = result;
    while (!(await isInForce(fleet, version))) await sleep(2);
    times.push(performance.now() - from);
  }
  console.log(
    `edit in force on 7 of 7: p50 ${formatNumber(quantile(times, 0.5))} ms, p99 ${formatNumber(quantile(times, 0.99))} ms of ${EDITS} (target 4,000 ms)`,
  );
}

async function isInForce(fleet: Fleet, version: number): Promise<boolean> {
  const versions = await Promise.all(
    fleet.nodes.map(node => fleet.readNode<{config: number}>(node, 'versions')),
  );
  return versions.every(({config}) => config >= version);
}
