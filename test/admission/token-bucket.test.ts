import {expect, test} from 'vitest';
import {TokenBucket} from '../../src/admission/token-bucket.js';
import {ManualClock} from './manual-clock.js';

test('admits a burst and then the rate', () => {
  const clock = new ManualClock();
  const bucket = new TokenBucket(clock, {rate: 10, burst: 5}, 5);
  let admitted = 0;
  for (let ms = 0; ms <= 10_000; ms++) {
    if (bucket.trySpend(1)) admitted++;
    clock.advance(1);
  }
  expect(admitted).toBe(105);
});

test('returns the exact time until a token is available', () => {
  const clock = new ManualClock();
  const bucket = new TokenBucket(clock, {rate: 10, burst: 5}, 0.5);
  expect(bucket.msUntil(1)).toBeCloseTo(50);
  clock.advance(50);
  expect(bucket.trySpend(1)).toBe(true);
  expect(bucket.msUntil(6)).toBe(Infinity);
});

test('drops tokens beyond the burst when it is made smaller', () => {
  const clock = new ManualClock();
  const bucket = new TokenBucket(clock, {rate: 10, burst: 5}, 5);
  bucket.resize({rate: 1, burst: 2});
  expect(bucket.tokens).toBe(2);
  clock.advance(60_000);
  expect(bucket.tokens).toBe(2);
});

test('ignores a clock that goes backwards', () => {
  const clock = new ManualClock(1_000);
  const bucket = new TokenBucket(clock, {rate: 10, burst: 5}, 0);
  clock.advance(-500);
  expect(bucket.tokens).toBe(0);
});
