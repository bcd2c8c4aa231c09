import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PositionCertificates} from '../../src/routing/certificates.js';
import {comparePositions} from '../../src/session/position.js';

describe('position certificates', () => {
  it('cover every commit acknowledged before the requested time', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(60), fc.nat(3)), {maxLength: 80}),
        fc.nat(3_000),
        (steps, ageMs) => {
          const certificates = new PositionCertificates();
          const commits: {at: number; offset: number}[] = [];
          let now = 0;
          let offset = 0;
          for (const [gapMs, written] of steps) {
            now += gapMs;
            if (written > 0) {
              offset += written;
              commits.push({at: now, offset});
            }
            certificates.record({term: 1, offset}, now);
          }
          const moment = now - ageMs;
          const covering = certificates.covering(moment);
          if (covering === undefined) return;
          const required = commits.findLast(({at}) => at < moment)?.offset ?? 0;
          expect(covering.offset).toBeGreaterThanOrEqual(required);
        },
      ),
    );
  });

  it('require no newer position than the maximum staleness needs', () => {
    const certificates = new PositionCertificates();
    for (let n = 0; n <= 100; n++) {
      certificates.record({term: 1, offset: n}, n * 50);
    }
    const covering = certificates.covering(5_000 - 1_500);
    expect(covering?.offset).toBeLessThanOrEqual(72);
  });

  it('prove nothing if the newest one is too old', () => {
    const certificates = new PositionCertificates();
    expect(certificates.covering(0)).toBeUndefined();
    certificates.record({term: 1, offset: 5}, 100);
    expect(certificates.covering(101)).toBeUndefined();
  });

  it('ignore positions that are out of order', () => {
    const certificates = new PositionCertificates();
    certificates.record({term: 1, offset: 9}, 100);
    certificates.record({term: 1, offset: 4}, 200);
    certificates.record({term: 1, offset: 9}, 50);
    const covering = certificates.covering(0)!;
    expect(comparePositions(covering, {term: 1, offset: 9})).toBe(0);
    expect(certificates.newestAt).toBe(100);
  });
});
