/**
 * `npm run bench -- replicas`: measures the share of reads served by replicas
 * for several replication lags, replica wait times and load mixes.
 */
import {checkGuarantees} from '../demo/guarantee-checks.js';
import {Fleet} from '../demo/fleet.js';
import {computeRunMetrics} from '../demo/run-metrics.js';
import {TASMAN, type Profile} from '../demo/profiles.js';
import type {LoadRecord} from '../demo/load-record.js';
import {MIXED_LOAD, type LoadMix} from '../demo/session-load.js';
import {
  formatNumber,
  formatTable,
  sleep,
  formatPercent,
  quantile,
} from './figures.js';
import {RunningLoad} from './load.js';

const LAGS_MS: readonly number[] = [10, 200, 2_000];
/** 25% and 2% of the operations write. */
const MIXES: readonly LoadMix[] = [MIXED_LOAD, {writes: 0.02, transactions: 0}];
/** Maximum time that a read waits for a replica to catch up, by replication lag. */
const REPLICA_WAITS: readonly ((lagMs: number) => number)[] = [
  () => 0,
  () => 25,
  lagMs => lagMs + 50,
];
/** One group only: the processes of a larger fleet would compete for the CPU. */
const PROFILE: Profile = {...TASMAN, groups: TASMAN.groups.slice(0, 1)};
const NODES = 3;
const RUN_MS = 6_000;
const STALE_MS = 5_000;
const TEAM = 'lodgements';

/** Runs the benchmark and prints its table. */
export async function run(): Promise<void> {
  const rows: string[][] = [];
  for (const mix of MIXES) {
    for (const lagMs of LAGS_MS) {
      for (const waitForLag of REPLICA_WAITS) {
        rows.push(await measureReplicaReads(lagMs, mix, waitForLag(lagMs)));
      }
    }
  }
  const header = [
    'writes',
    'lag ms',
    'wait ms',
    'reads at replicas',
    'stale reads',
    'refused',
    'reads/s',
    'read p50 ms',
    'read p99 ms',
    'statements at primary',
  ];
  console.log(`\nreads of sessions that also write, stale_ms=${STALE_MS}`);
  console.log(formatTable(header, rows));
}

/** Runs one load on a new fleet; returns its table row. */
async function measureReplicaReads(
  lagMs: number,
  mix: LoadMix,
  waitMs: number,
): Promise<string[]> {
  const fleet = await Fleet.start({
    profile: PROFILE,
    nodes: NODES,
    lagMs,
    staleMs: STALE_MS,
    teams: [{name: TEAM, rate: 100_000, burst: 100_000}],
    env: {ZINNIA_REPLICA_WAIT_MS: String(waitMs)},
  });
  try {
    const group = PROFILE.groups[0] ?? '';
    const load = new RunningLoad({
      fleet,
      group,
      team: TEAM,
      sessions: [{mix, count: 16}],
      paceMs: 20,
      seed: 1,
    });
    await sleep(RUN_MS);
    const record = await load.stop();
    const metrics = await computeRunMetrics(
      fleet,
      record,
      PROFILE.teams,
      group,
    );
    const checks = await checkGuarantees(fleet, record);
    const stale = checks.find(({guarantee}) =>
      guarantee.includes('own writes'),
    );
    const reads = record.completions
      .filter(({kind}) => kind === 'read')
      .map(({elapsedMs}) => elapsedMs);
    return [
      formatPercent(mix.writes + mix.transactions, 0),
      String(lagMs),
      String(waitMs),
      formatPercent(metrics.replicaShare),
      String(stale?.violations.length ?? 0),
      formatFailureCounts(record),
      formatNumber(reads.length / (RUN_MS / 1_000)),
      formatNumber(quantile(reads, 0.5), 1),
      formatNumber(quantile(reads, 0.99), 1),
      formatPercent(await readPrimaryShare(fleet, group)),
    ];
  } finally {
    await fleet.stop();
  }
}

/** Formats the number of failed statements by SQLSTATE; `0` if none failed. */
function formatFailureCounts({failures}: LoadRecord): string {
  const codes = [...new Set(failures.map(({sqlstate}) => sqlstate))];
  const counts = codes.map(
    code => `${failures.filter(f => f.sqlstate === code).length} ${code}`,
  );
  return counts.join(', ') || '0';
}

/** Reads the share of the group's statements that its primary ran. */
async function readPrimaryShare(fleet: Fleet, group: string): Promise<number> {
  const primary = await fleet.findPrimary(group);
  let atPrimary = 0;
  let all = 0;
  for (const database of fleet.databases.filter(one => one.group === group)) {
    const {statements} = await fleet.readDatabase<{
      readonly statements: number;
    }>(database, 'counts');
    all += statements;
    if (database === primary) atPrimary = statements;
  }
  return atPrimary / Math.max(1, all);
}
