import {expect, test} from 'vitest';
import {parseDuration} from '../../src/cli/durations.js';

test.each([
  ['500ms', 500],
  ['10s', 10_000],
  ['2m', 120_000],
  ['1h', 3_600_000],
  ['0s', 0],
  ['999999999h', 999_999_999 * 3_600_000],
])('parses %s', (text, ms) => {
  expect(parseDuration(text)).toBe(ms);
});

test.each([
  '',
  '5',
  'h',
  '1.5s',
  '-1s',
  '1 s',
  '1d',
  '1S',
  '1h30m',
  '9'.repeat(10) + 's',
])('rejects "%s" and lists valid durations', text => {
  expect(() => parseDuration(text)).toThrow(
    `${text} is no duration; write 500ms, 10s, 2m or 1h`,
  );
});
