import {describe, expect, it} from 'vitest';
import {ExecutionTimes} from '../../src/home/execution-times.js';

describe('execution times', () => {
  it('are kept by kind, so that long reads do not inflate those of writes', () => {
    const times = new ExecutionTimes();
    for (let n = 0; n < 50; n++) {
      times.record('primary write', 4);
      for (let reads = 0; reads < 5; reads++) times.record('bounded read', 55);
    }
    expect(times.expectedMs('primary write')).toBeCloseTo(4);
    expect(times.expectedMs('bounded read')).toBeCloseTo(55);
    expect(times.averageMs).toBeGreaterThan(40);
    expect(times.expectedMs('session read')).toBe(times.averageMs);
  });

  it('rise little by one slow answer, and follow lasting slowness', () => {
    const times = new ExecutionTimes();
    for (let n = 0; n < 20; n++) times.record('read', 10);
    times.record('read', 1_000);
    expect(times.expectedMs('read')).toBeLessThanOrEqual(13.1);
    for (let n = 0; n < 20; n++) times.record('read', 100);
    expect(times.expectedMs('read')).toBeGreaterThan(80);
  });
});
