import {existsSync, readFileSync} from 'node:fs';
import {expect, test} from 'vitest';

const PAGE = readFileSync('docs/PROMISES.md', 'utf8');
const ROWS = PAGE.split('\n').filter(line =>
  /^\| (?!promise|measure|-)/.test(line),
);
const CITED = /`(test\/[\w/-]+\.test\.ts)`(?:: "([^"]+)")?/;

test('every row cites an existing test or states that there is none', () => {
  expect(ROWS.length).toBeGreaterThan(15);
  const faults = ROWS.filter(row => {
    if (/not proved|npm run bench/.test(row)) return false;
    const [, file = '', title = ''] = CITED.exec(row) ?? [];
    if (!existsSync(file)) return true;
    return !readFileSync(file, 'utf8').includes(title);
  });
  expect(faults).toEqual([]);
});

test('every row that cites a test in KNOWN-RED.txt says so', () => {
  const known = readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test/'))
    .map(line => line.split(' > ')[0] ?? '');
  const wrong = ROWS.filter(
    row => known.some(file => row.includes(file)) && !row.includes('KNOWN-RED'),
  );
  expect(wrong).toEqual([]);
});
