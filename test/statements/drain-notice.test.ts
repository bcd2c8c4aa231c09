import {describe, expect, it} from 'vitest';
import {newWorkEndsAt} from '../../src/groups/drain-notice.js';

const DRAIN_MS = 7_000;

describe('end of new work at a draining database', () => {
  it('precedes the end of the drain by the age of the copy and a missed poll', () => {
    const end = newWorkEndsAt({learntAt: 1_000, copyAgeMs: 600}, DRAIN_MS);
    expect(end).toBe(1_000 + DRAIN_MS - 600 - 2_000);
  });

  it('leaves time to replace the primary if the announcement may be old', () => {
    for (const copyAgeMs of [DRAIN_MS, Infinity]) {
      expect(newWorkEndsAt({learntAt: 0, copyAgeMs}, DRAIN_MS)).toBe(2_000);
    }
  });

  it('leaves a third of a short drain for that at most', () => {
    expect(newWorkEndsAt({learntAt: 0, copyAgeMs: Infinity}, 3_000)).toBe(
      1_000,
    );
  });
});
