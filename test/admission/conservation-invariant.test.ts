import {expect, test} from 'vitest';
import {worstExcess} from './conservation-invariant.js';

const LIMITS = {rate: 10, burst: 3};

test('the check returns by how much admissions exceed rate and burst', () => {
  const changes = [{atMs: 0, limits: LIMITS}];
  expect(worstExcess([0, 0, 0, 100, 200], changes, 100)).toBe(0);
  expect(worstExcess([0, 0, 0, 0], changes, 100)).toBeCloseTo(1);
  expect(worstExcess([500, 500, 500, 550], changes, 100)).toBeCloseTo(0.5);
});

test('the check applies lower limits after the lag and higher limits at once', () => {
  const lower = [
    {atMs: 0, limits: LIMITS},
    {atMs: 1_000, limits: {rate: 1, burst: 1}},
  ];
  expect(worstExcess([1_050, 1_050, 1_050], lower, 100)).toBe(0);
  expect(worstExcess([1_200, 1_200], lower, 100)).toBeCloseTo(1);
  const higher = [
    {atMs: 0, limits: LIMITS},
    {atMs: 1_000, limits: {rate: 10, burst: 6}},
  ];
  expect(worstExcess(Array(6).fill(1_000), higher, 100)).toBe(0);
  expect(worstExcess(Array(7).fill(1_001), higher, 100)).toBeGreaterThan(0.9);
});
