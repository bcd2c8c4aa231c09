import {expect, test} from 'vitest';
import {
  comparePositions,
  formatPosition,
  parsePosition,
} from '../../src/session/position.js';

test('orders positions by term before offset', () => {
  expect(
    comparePositions({term: 2, offset: 1}, {term: 1, offset: 9}),
  ).toBeGreaterThan(0);
});

test('parses what it formats and rejects other text', () => {
  expect(parsePosition(formatPosition({term: 3, offset: 42}))).toEqual({
    term: 3,
    offset: 42,
  });
  expect(parsePosition('3/-1')).toBeUndefined();
});
