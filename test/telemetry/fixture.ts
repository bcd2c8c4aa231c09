/** Statement counts of two VMs, and a third VM that did not answer. */
import {build, encodeIntoCompressedBase64} from 'hdr-histogram-js';
import {
  collectBurnReport,
  type BurnReport,
  type VmStatements,
} from '../../src/telemetry/burn-report.js';
import type {ReportedSlice} from '../../src/telemetry/series-totals.js';

export const NOW = Date.UTC(2026, 2, 1, 10, 0, 5);

export const WINDOWS = [
  {label: '1h', ms: 3_600_000},
  {label: '5m', ms: 300_000},
  {label: '30m', ms: 1_800_000},
] as const;

export const OBJECTIVE = {availabilityPercent: 99.9, latencyMs: 250} as const;

/** Creates the slice that contains the time `agoMs` before {@link NOW}. */
export function createSlice(
  agoMs: number,
  latenciesMs: readonly number[],
  parts: Partial<ReportedSlice> = {},
): ReportedSlice {
  const histogram = build({numberOfSignificantValueDigits: 2});
  for (const ms of latenciesMs) histogram.recordValue(ms * 1_000);
  return {
    team: 'assessors',
    group: 'claims',
    kind: 'read',
    startedAt: Math.floor((NOW - agoMs) / 10_000) * 10_000,
    done: latenciesMs.length,
    mayHaveRun: 0,
    refused: {},
    atReplicas: 0,
    latency: encodeIntoCompressedBase64(histogram),
    ...parts,
  };
}

const latencySteps = (count: number, stepMs: number) =>
  Array.from({length: count}, (_, i) => (i + 1) * stepMs);

export const VMS: readonly VmStatements[] = [
  {
    vm: 'vm1',
    slices: [
      createSlice(3_000_000, latencySteps(100, 1)),
      createSlice(60_000, latencySteps(100, 5), {atReplicas: 90}),
      createSlice(60_000, latencySteps(50, 2), {
        team: 'members',
        group: 'ledger',
        kind: 'write',
        done: 48,
        mayHaveRun: 2,
        refused: {rateLimited: 30, overloaded: 1, noPrimary: 3},
      }),
    ],
  },
  {
    vm: 'vm2',
    slices: [
      createSlice(1_200_000, latencySteps(100, 2), {refused: {overloaded: 1}}),
      createSlice(60_000, [400], {team: '<b>"R&D"</b>'}),
      createSlice(70_000, [], {team: 'quiet', refused: {rateLimited: 4}}),
    ],
  },
  {vm: 'vm3', slices: undefined},
];

/** Creates a report, by default on {@link VMS}. */
export function createReport(vms = VMS): BurnReport {
  return collectBurnReport({
    vms,
    now: NOW,
    windows: WINDOWS,
    objective: OBJECTIVE,
  });
}
