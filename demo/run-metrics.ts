/** Metrics of a load run, from the client-side record and the nodes' counters. */
import type {StatementKind} from '../src/telemetry/statement-metrics.js';
import type {Fleet} from './fleet.js';
import type {TeamProfile} from './profiles.js';
import type {LoadRecord} from './load-record.js';

/** Metrics of one load run. */
export interface RunMetrics {
  /** Completed statements. */
  readonly statements: number;
  /** Share of reads served by replicas, from 0 to 1. */
  readonly replicaShare: number;
  /** Longest time without a completed write in the group with the fault. */
  readonly writeGapMs: number;
  /** Longest time without a completed read in that group. */
  readonly readGapMs: number;
  /** Team with the smallest share of its requests served. */
  readonly worstTeam: {readonly name: string; readonly share: number};
  /** Rate-limit refusals; none are expected, as the load stays below the rates. */
  readonly refusedInsideRate: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

interface StatementsResponse {
  readonly slices: readonly {
    readonly kind: StatementKind;
    readonly done: number;
    readonly atReplicas: number;
  }[];
}

/** Computes the metrics of a run. */
export async function computeRunMetrics(
  fleet: Fleet,
  record: LoadRecord,
  teams: readonly TeamProfile[],
  failedGroup: string,
): Promise<RunMetrics> {
  const latencies = record.completions
    .map(c => c.elapsedMs)
    .sort((a, b) => a - b);
  // Latency at a quantile, 0 if nothing completed.
  const at = (share: number) =>
    latencies[
      Math.min(latencies.length - 1, Math.floor(latencies.length * share))
    ] ?? 0;
  const groupCompletions = record.completions.filter(
    c => c.group === failedGroup,
  );
  return {
    statements: record.completions.length,
    replicaShare: await readReplicaShare(fleet),
    writeGapMs: longestGap(groupCompletions.filter(c => c.kind === 'write')),
    readGapMs: longestGap(groupCompletions.filter(c => c.kind === 'read')),
    worstTeam: findWorstTeam(record, teams),
    refusedInsideRate: record.failures.filter(f => f.sqlstate === '53400')
      .length,
    p50Ms: at(0.5),
    p99Ms: at(0.99),
  };
}

/** Returns the longest time between two consecutive completions, in ms. */
export function longestGap(
  completions: readonly {readonly at: number}[],
): number {
  const times = completions.map(({at}) => at).sort((a, b) => a - b);
  let longest = 0;
  for (let i = 1; i < times.length; i++) {
    longest = Math.max(longest, (times[i] ?? 0) - (times[i - 1] ?? 0));
  }
  return longest;
}

/** Reads the replica share of reads from the nodes; skips nodes that do not answer. */
async function readReplicaShare(fleet: Fleet): Promise<number> {
  let reads = 0;
  let atReplicas = 0;
  for (const node of fleet.nodes) {
    const answer = await fleet
      .readNode<StatementsResponse>(node, 'statements')
      .catch(() => undefined);
    for (const slice of answer?.slices ?? []) {
      if (slice.kind !== 'read') continue;
      reads += slice.done;
      atReplicas += slice.atReplicas;
    }
  }
  return reads === 0 ? 0 : atReplicas / reads;
}

/** Returns the team with the smallest share of its requests served. */
function findWorstTeam(
  record: LoadRecord,
  teams: readonly TeamProfile[],
): RunMetrics['worstTeam'] {
  const shares = teams.map(({name}) => {
    const done = record.completions.filter(c => c.team === name).length;
    const failed = record.failures.filter(f => f.team === name).length;
    return {name, share: done / Math.max(1, done + failed)};
  });
  return shares.reduce((a, b) => (b.share < a.share ? b : a));
}
