import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {decodeReport, encodeReport} from '../../src/load/report-codec.js';
import {needsReport, REPORT_PERIOD_MS} from '../../src/load/report-need.js';
import {ReportedLoads} from '../../src/load/reported-loads.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

/** Loads reported by `reader`, whose current process the test can change. */
function createLoads() {
  const clock = new VirtualClock();
  const current = {instance: 'first', isSilent: false};
  const loads = new ReportedLoads({
    clock,
    isCurrent: (_, instance) =>
      !current.isSilent && instance === current.instance,
  });
  const report = (
    outstanding: number,
    sequence = clock.now(),
    instance = 'first',
  ) =>
    loads.record('reader', {
      group: 'claims',
      instance,
      sequence,
      loads: [{databaseId: 'db', outstanding, costMs: 50, concurrency: 6}],
    });
  const counted = () => loads.outstandingElsewhere('db');
  return {clock, current, loads, report, counted};
}

describe('the load that other nodes report', () => {
  it('fades out within a second if its reporter dies', async () => {
    const {clock, loads, report, counted} = createLoads();
    report(12);
    await clock.advance(300);
    expect(counted()).toBe(12);
    await clock.advance(350);
    expect(counted()).toBeCloseTo(6);
    await clock.advance(350);
    expect([counted(), loads.ageMs()]).toEqual([0, undefined]);
  });

  it('is not replaced by a report that is overtaken by a later one', async () => {
    const {clock, report, counted} = createLoads();
    await clock.advance(400);
    report(12);
    expect(report(3, 200)).toBe(false);
    expect(report(3, 400)).toBe(false);
    expect(counted()).toBe(12);
  });

  it('is that of the current process if its node restarts', async () => {
    const {clock, current, report, counted} = createLoads();
    await clock.advance(5_000);
    report(12);
    current.instance = 'second';
    expect(counted()).toBe(0);
    expect(report(5, 10, 'second')).toBe(true);
    expect(report(12, 5_200, 'first')).toBe(false);
    expect(counted()).toBe(5);
  });

  it('does not count while its node is silent', () => {
    const {current, report, counted} = createLoads();
    report(12);
    current.isSilent = true;
    expect(counted()).toBe(0);
  });

  it('counts by the time when it was sent after a pause of this process', async () => {
    const {clock, report, counted} = createLoads();
    for (let n = 0; n < 5; n++) {
      report(12);
      await clock.advance(REPORT_PERIOD_MS);
    }
    // The reporter dies 200 ms into a pause, and its report arrives at the end.
    const sentAt = clock.now();
    await clock.advance(2_000);
    report(12, sentAt);
    expect(counted()).toBe(0);
  });

  it('holds for any order, loss and delay of reports', () => {
    const sending = fc.record({
      outstanding: fc.nat(50),
      delayMs: fc.nat(900),
      isLost: fc.boolean(),
    });
    const schedule = fc.array(sending, {minLength: 1, maxLength: 30});
    return fc.assert(
      fc.asyncProperty(schedule, async sendings => {
        const {clock, report, counted} = createLoads();
        const sent = sendings.map((each, n) => ({
          ...each,
          at: n * REPORT_PERIOD_MS,
        }));
        const end = sent.length * REPORT_PERIOD_MS + 2_000;
        const arrivals = sent
          .filter(({isLost}) => !isLost)
          .toSorted((a, b) => a.at + a.delayMs - b.at - b.delayMs);
        let newest = -1;
        for (const {outstanding, at, delayMs} of arrivals) {
          await clock.advance(Math.max(0, at + delayMs - clock.now()));
          const isAccepted = report(outstanding, at);
          expect(isAccepted).toBe(at > newest);
          newest = Math.max(newest, at);
          const last = sent.find(each => each.at === newest)!;
          // Never more than the newest report that arrived says.
          expect(counted()).toBeLessThanOrEqual(last.outstanding);
        }
        await clock.advance(Math.max(0, end - clock.now()));
        expect(counted()).toBe(0);
      }),
    );
  });

  it('is decoded as it was encoded, and not from malformed bodies', () => {
    const loads = [
      {databaseId: 'db', outstanding: 3, costMs: 50, concurrency: 6},
    ];
    const report = {group: 'claims', instance: 'a', sequence: 7, loads};
    expect(decodeReport(encodeReport(report))).toEqual(report);
    const malformed = [{}, [], ['g', 'i', 'x', []], ['g', 'i', 1, [['d', -1]]]];
    for (const body of malformed) expect(decodeReport(body)).toBeUndefined();
  });
});

describe('the need to report', () => {
  const load = (outstanding: number) => [
    {databaseId: 'db', outstanding, costMs: 50, concurrency: 6},
  ];
  /** Counts the reports of 10 s in which a node has this many statements. */
  function countReports(outstandingAt: (ms: number) => number): number {
    let last: Parameters<typeof needsReport>[1];
    let count = 0;
    for (let now = 0; now < 10_000; now += REPORT_PERIOD_MS) {
      const outstanding = outstandingAt(now);
      const loads = outstanding === 0 ? [] : load(outstanding);
      if (!needsReport(loads, last, now)) continue;
      last = {at: now, loads};
      count += 1;
    }
    return count;
  }

  it('repeats a steady load before it fades, and says its end once', () => {
    expect(countReports(() => 12)).toBe(25);
    expect(countReports(ms => (ms < 200 ? 12 : 0))).toBe(2);
    expect(countReports(() => 0)).toBe(0);
  });

  it('does not arise from single statements on an almost idle database', () => {
    expect(countReports(ms => (ms / REPORT_PERIOD_MS) % 2)).toBe(0);
  });

  it('is at most one report in 200 ms', () => {
    const last = {at: 1_000, loads: load(1)};
    expect(needsReport(load(40), last, 1_199)).toBe(false);
    expect(needsReport(load(40), last, 1_200)).toBe(true);
  });
});
