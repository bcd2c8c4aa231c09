import {expect, test} from 'vitest';
import {createLogger, formatFields} from '../../src/telemetry/log.js';

function capture() {
  const lines: string[] = [];
  const log = createLogger('info', {vm: 'vm1'}, line => lines.push(line));
  return {lines, log};
}

test('writes one line of key=value pairs per event, including a message field', () => {
  const {lines, log} = capture();
  log.warn('storeUnreachable', {message: 'no answer in 2 s'});
  expect(lines).toHaveLength(1);
  expect(lines[0]).toMatch(
    /^time=\S+ level=warn event=storeUnreachable vm=vm1 message="no answer in 2 s"\n$/,
  );
});

test('quotes empty values and values with spaces, line breaks or =', () => {
  expect(formatFields({a: 'x=1 y', b: '', c: 2, d: undefined})).toBe(
    'a="x=1 y" b="" c=2',
  );
  expect(formatFields({a: 'two\nlines'})).toBe('a="two\\nlines"');
});
