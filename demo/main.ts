/** `npm run demo`: runs a fleet under load, kills one primary and checks the guarantees. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {checkGuarantees} from './guarantee-checks.js';
import {Fleet} from './fleet.js';
import {computeRunMetrics} from './run-metrics.js';
import {PROFILES, TASMAN} from './profiles.js';
import {LoadRecord} from './load-record.js';
import {SessionLoad} from './session-load.js';

const LOAD_MS = 10_000;
const KILL_AT_MS = 4_000;
const PACE_MS = 20;
/** Time for replication and open requests to finish before the checks. */
const SETTLE_MS = 500;

const args = await yargs(hideBin(process.argv))
  .option('profile', {
    choices: Object.keys(PROFILES),
    default: 'tasman',
    describe: 'whose deployment to run',
  })
  .option('seed', {type: 'number', default: 1, describe: 'seed of the load'})
  .option('show-log', {
    type: 'boolean',
    default: false,
    describe: "print the nodes' logs at the end",
  })
  .strict()
  .parse();

process.exitCode = await runDemo();

async function runDemo(): Promise<number> {
  const profile = PROFILES[args.profile] ?? TASMAN;
  print(`starting 7 nodes, 1 store and 9 databases (profile ${profile.name})`);
  const fleet = await Fleet.start({profile});
  try {
    const record = new LoadRecord();
    const failedGroup = profile.groups[0] ?? '';
    await runLoad(fleet, record, failedGroup);
    await sleep(SETTLE_MS);
    return await report(fleet, record, failedGroup);
  } finally {
    if (args.showLog) {
      for (const node of fleet.nodes) console.log(node.process.log);
    }
    await fleet.stop();
  }
}

async function runLoad(
  fleet: Fleet,
  record: LoadRecord,
  failedGroup: string,
): Promise<void> {
  const profile = PROFILES[args.profile] ?? TASMAN;
  const generator = xoroshiro128plus(args.seed);
  const random = () => (generator.next() >>> 0) / 2 ** 32;
  const startedAt = performance.now();
  const isOver = () => performance.now() - startedAt > LOAD_MS;
  const sessions = profile.teams.flatMap(team =>
    Array.from({length: team.sessions}, (_, index) =>
      new SessionLoad({
        id: `${team.name}-${index}`,
        team: team.name,
        key: fleet.keys.get(team.name) ?? '',
        group: profile.groups[index % profile.groups.length] ?? '',
        nodes: fleet.nodes,
        record,
        paceMs: PACE_MS,
        random,
        isOver,
      }).run(),
    ),
  );
  const progress = setInterval(() => {
    const seconds = Math.round((performance.now() - startedAt) / 1_000);
    const {completions, failures} = record;
    print(
      `${seconds} s: ${completions.length} done, ${failures.length} failed`,
    );
  }, 1_000);
  await sleep(KILL_AT_MS);
  const primary = await fleet.findPrimary(failedGroup);
  print(`killing ${primary?.spec.id}, the primary of ${failedGroup}`);
  await primary?.process.kill();
  await Promise.all(sessions);
  clearInterval(progress);
}

/** Prints the metrics and checks; returns the exit code, 1 if a guarantee was violated. */
async function report(
  fleet: Fleet,
  record: LoadRecord,
  failedGroup: string,
): Promise<number> {
  const {teams} = PROFILES[args.profile] ?? TASMAN;
  const metrics = await computeRunMetrics(fleet, record, teams, failedGroup);
  print(
    `statements done: ${metrics.statements}, p50 ${metrics.p50Ms.toFixed(1)} ms, p99 ${metrics.p99Ms.toFixed(1)} ms`,
  );
  print(`reads served by replicas: ${percent(metrics.replicaShare)}`);
  print(
    `failover gap of ${failedGroup}: writes ${Math.round(metrics.writeGapMs)} ms, reads ${Math.round(metrics.readGapMs)} ms`,
  );
  print(
    `worst-served team: ${metrics.worstTeam.name}, ${percent(metrics.worstTeam.share)} of its requests`,
  );
  print(`refused inside the rate: ${metrics.refusedInsideRate}`);
  for (const [failure, count] of countFailures(record))
    print(`failures ${failure}: ${count}`);
  const checks = await checkGuarantees(fleet, record);
  for (const {guarantee, violations} of checks) {
    const mark = violations.length === 0 ? 'held  ' : 'BROKEN';
    print(
      `${mark} ${guarantee}${violations.length ? `: ${violations.slice(0, 3).join('; ')}` : ''}`,
    );
  }
  return checks.every(({violations}) => violations.length === 0) ? 0 : 1;
}

/** Counts failures by outcome, SQLSTATE and message; returns the 8 most frequent. */
function countFailures(record: LoadRecord): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {outcome, sqlstate, message} of record.failures) {
    const key = `${outcome} ${sqlstate} ${message.slice(0, 80)}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return new Map([...counts].sort((a, b) => b[1] - a[1]).slice(0, 8));
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function print(line: string): void {
  console.log(line);
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
