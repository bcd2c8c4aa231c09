/** The four measures of the brief, from the clients' own record. */
import type {StatementKind} from '../src/telemetry/statement-metrics.js';
import type {Fleet} from './fleet.js';
import type {TeamProfile} from './profiles.js';
import type {LoadRecord} from './record.js';

/** Figures of one run. */
export interface Measures {
  readonly statements: number;
  /** Share of the reads that replicas served, from 0 to 1. */
  readonly replicaShare: number;
  /** The longest time without a completed write in the group that failed. */
  readonly writeGapMs: number;
  readonly readGapMs: number;
  readonly worstTeam: {readonly name: string; readonly share: number};
  /** Refusals by rate of teams that sent less than their rate. */
  readonly refusedInsideRate: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

interface StatementsAnswer {
  readonly slices: readonly {
    readonly kind: StatementKind;
    readonly done: number;
    readonly atReplicas: number;
  }[];
}

/** Derives the measures of a run. */
export async function measure(
  fleet: Fleet,
  record: LoadRecord,
  teams: readonly TeamProfile[],
  failedGroup: string,
): Promise<Measures> {
  const elapsed = record.completions
    .map(c => c.elapsedMs)
    .sort((a, b) => a - b);
  const at = (share: number) =>
    elapsed[Math.min(elapsed.length - 1, Math.floor(elapsed.length * share))] ??
    0;
  const ofGroup = record.completions.filter(c => c.group === failedGroup);
  return {
    statements: record.completions.length,
    replicaShare: await readReplicaShare(fleet),
    writeGapMs: longestGap(ofGroup.filter(c => c.kind === 'write')),
    readGapMs: longestGap(ofGroup.filter(c => c.kind === 'read')),
    worstTeam: findWorstTeam(record, teams),
    refusedInsideRate: record.failures.filter(f => f.sqlstate === '53400')
      .length,
    p50Ms: at(0.5),
    p99Ms: at(0.99),
  };
}

/** The longest time between two completions, in milliseconds. */
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

async function readReplicaShare(fleet: Fleet): Promise<number> {
  let reads = 0;
  let atReplicas = 0;
  for (const node of fleet.nodes) {
    const answer = await fleet
      .readNode<StatementsAnswer>(node, 'statements')
      .catch(() => undefined);
    for (const slice of answer?.slices ?? []) {
      if (slice.kind !== 'read') continue;
      reads += slice.done;
      atReplicas += slice.atReplicas;
    }
  }
  return reads === 0 ? 0 : atReplicas / reads;
}

/** The team with the smallest share of its requests served. */
function findWorstTeam(
  record: LoadRecord,
  teams: readonly TeamProfile[],
): Measures['worstTeam'] {
  const shares = teams.map(({name}) => {
    const done = record.completions.filter(c => c.team === name).length;
    const failed = record.failures.filter(f => f.team === name).length;
    return {name, share: done / Math.max(1, done + failed)};
  });
  return shares.reduce((a, b) => (b.share < a.share ? b : a));
}
