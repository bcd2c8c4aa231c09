import {describe, expect, test} from 'vitest';
import {
  collectBurnReport,
  highestBurnRate,
  type BurnRow,
} from '../../src/telemetry/burn-report.js';
import {StatementMetrics} from '../../src/telemetry/statement-metrics.js';
import {DONE, mayHaveRun, notRun} from '../../src/verdict/verdict.js';
import {ManualClock} from '../admission/manual-clock.js';
import {createReport, createSlice, NOW, OBJECTIVE, VMS} from './fixture.js';

function rowOf(team: string): BurnRow {
  const row = createReport().rows.find(candidate => candidate.team === team);
  if (row === undefined) throw new Error(`no row of ${team}`);
  return row;
}

describe('collectBurnReport', () => {
  test('merges the slices of all vms', () => {
    const row = rowOf('assessors');
    expect(row).toMatchObject({statements: 301, done: 300, wrongful: 1});
    expect(row.atReplicas).toBe(90);
    expect(row.availability).toBeCloseTo(300 / 301, 12);
  });

  test('computes percentiles of the merged latencies', () => {
    // 1 to 100 ms, 2 to 200 ms and 5 to 500 ms, 100 values each.
    const all = [1, 2, 5]
      .flatMap(step => Array.from({length: 100}, (_, i) => (i + 1) * step))
      .sort((a, b) => a - b);
    const row = rowOf('assessors');
    const isNear = (actual: number | null, expected: number) =>
      Math.abs((actual ?? NaN) / expected - 1) <= 0.01;
    expect(isNear(row.p50Ms, all[149]!)).toBe(true);
    expect(isNear(row.p99Ms, all[296]!)).toBe(true);
    expect(isNear(row.maxMs, 500)).toBe(true);
    expect(row.withinLatency).toBeCloseTo(250 / 300, 2);
  });

  test.each([0.137, 21.1, 39.4, 999])(
    'reports equal p50, p99 and max when every latency is %s ms',
    elapsedMs => {
      const metrics = new StatementMetrics(new ManualClock(NOW));
      const series = {team: 'members', group: 'claims', kind: 'read'} as const;
      const sample = {...series, verdict: DONE, elapsedMs, servedBy: undefined};
      metrics.observe({...sample, statements: 1});
      const slices = metrics.slices(0);
      const [row] = createReport([
        {vm: 'vm1', slices},
        {vm: 'vm2', slices},
      ]).rows;
      expect(row?.p99Ms).toBe(row?.maxMs);
      expect(row?.p50Ms).toBe(row?.maxMs);
      expect(Math.abs((row?.maxMs ?? NaN) / elapsedMs - 1)).toBeLessThan(0.011);
    },
  );

  test('does not count a statement that its caller cancelled', () => {
    const metrics = new StatementMetrics(new ManualClock(NOW));
    const series = {team: 'members', group: 'claims', kind: 'read'} as const;
    const verdict = notRun('cancelled', 'why');
    metrics.observe({
      ...series,
      verdict,
      statements: 1,
      elapsedMs: 1,
      servedBy: undefined,
    });
    expect(metrics.slices(0)).toEqual([]);
  });

  test('counts each statement of a batch', () => {
    const metrics = new StatementMetrics(new ManualClock(NOW));
    const series = {
      team: 'members',
      group: 'claims',
      servedBy: 'replica',
    } as const;
    const lost = mayHaveRun('targetLost', 'lost');
    const refusedOverRate = notRun('rateLimited', 'over the rate');
    for (const [verdict, statements, elapsedMs] of [
      [DONE, 1, 10],
      [DONE, 3, 400],
      [lost, 2, 400],
      [refusedOverRate, 5, 1],
    ] as const) {
      metrics.observe({
        ...series,
        kind: 'transaction',
        verdict,
        statements,
        elapsedMs,
      });
    }
    const [row] = createReport([{vm: 'vm1', slices: metrics.slices(0)}]).rows;
    expect(row).toMatchObject({
      kind: 'transaction',
      statements: 11,
      done: 4,
      mayHaveRun: 2,
      overRate: 5,
      atReplicas: 6,
    });
    expect(row?.withinLatency).toBeCloseTo(1 / 6, 12);
  });

  test('does not count refusals over the rate as unavailability', () => {
    const row = rowOf('members');
    expect(row).toMatchObject({statements: 84, overRate: 30, wrongful: 4});
    expect(row.availability).toBeCloseTo(48 / 54, 12);
    expect(rowOf('quiet')).toMatchObject({
      overRate: 4,
      availability: null,
      p50Ms: null,
      withinLatency: null,
    });
    expect(rowOf('quiet').burn.map(({rate}) => rate)).toEqual([
      null,
      null,
      null,
    ]);
  });

  test('computes the burn rate of each window, shortest first', () => {
    const {burn} = rowOf('assessors');
    expect(burn.map(({window}) => window)).toEqual(['5m', '30m', '1h']);
    expect(burn[0]?.rate).toBe(0);
    expect(burn[1]?.rate).toBeCloseTo(1_000 / 201, 5);
    expect(burn[2]?.rate).toBeCloseTo(1_000 / 301, 5);
    expect(burn[0]?.meaning).toBe('no errors');
    expect(burn[2]?.meaning).toBe(
      'over budget: a 30-day budget lasts 9.0 days at this rate',
    );
  });

  test('names the vms that did not answer', () => {
    const {answered, unanswered} = createReport();
    expect(answered).toEqual(['vm1', 'vm2']);
    expect(unanswered).toEqual(['vm3']);
  });

  test('counts a vm with a damaged histogram as unanswered', () => {
    const slices = [createSlice(0, [1], {latency: 'bm90IGEgaGlzdG9ncmFt'})];
    const report = createReport([...VMS, {vm: 'vm4', slices}]);
    expect(report.unanswered).toEqual(['vm3', 'vm4']);
    expect(report.rows).toEqual(createReport().rows);
  });

  test('excludes slices older than the longest window', () => {
    const report = collectBurnReport({
      vms: VMS,
      now: NOW,
      windows: [{label: '5m', ms: 300_000}],
      objective: OBJECTIVE,
    });
    const row = report.rows.find(({team}) => team === 'assessors');
    expect(row?.statements).toBe(100);
  });

  test('plots about sixty steps at most, with gaps where nothing ran', () => {
    const plot = createReport().plots.find(({team}) => team === 'members');
    expect(plot?.points.length).toBeGreaterThanOrEqual(45);
    expect(plot?.points.length).toBeLessThanOrEqual(61);
    const ran = plot?.points.filter(({burn}) => burn !== null);
    expect(ran).toHaveLength(1);
    expect(ran?.[0]?.burn).toBeCloseTo(6_000 / 54, 5);
  });

  test('returns the highest burn rate, or null without rows', () => {
    expect(highestBurnRate(createReport())).toBeCloseTo(6_000 / 54, 5);
    expect(highestBurnRate(createReport([]))).toBeNull();
  });
});
