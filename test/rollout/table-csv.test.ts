import fc from 'fast-check';
import {expect, test} from 'vitest';
import {TableError} from '../../src/rollout/faults.js';
import {formatTableCsv, parseTableCsv} from '../../src/rollout/table-csv.js';
import {groupRow, teamRow} from '../../src/rollout/table.js';
import {createGroupRow, createTeamRow, tableArbitrary} from './rows.js';

const HEADER =
  'kind,name,old,new,rate,burst,stale_ms,ack,urgent,open,priority\n';

function readFaults(text: string): readonly string[] {
  try {
    parseTableCsv(text);
  } catch (err) {
    if (err instanceof TableError) return err.message.split('\n');
    throw err;
  }
  return [];
}

test('round-trips any table', () => {
  fc.assert(
    fc.property(tableArbitrary, table => {
      expect(parseTableCsv(formatTableCsv(table))).toEqual(table);
    }),
    {seed: 7},
  );
});

test('fills in defaults for blank cells', () => {
  const table = parseTableCsv(
    `${HEADER}group,claims,100,0,,,500,,,,\nteam,lab,,,50,100,,,,,\n`,
  );
  expect(groupRow(table, 'claims')).toEqual(createGroupRow('claims'));
  expect(teamRow(table, 'lab')).toEqual(createTeamRow('lab'));
  expect(teamRow(table, 'claims')).toBeUndefined();
});

test('accepts a byte order mark, CRLF, quotes, spaces and blank rows', () => {
  const header = HEADER.replace('\n', '\r\n');
  const text = `\uFEFF${header}"team", lab ,,,50,100,,,,,\r\n,,,,,,,,,,\r\n`;
  expect(teamRow(parseTableCsv(text), 'lab')).toEqual(createTeamRow('lab'));
});

test('lists every fault at once with its line, column, value and remedy', () => {
  const faults = readFaults(
    `${HEADER}team,lab,,,x,0,,,,,\n` +
      'group,claims,0,0,,,500,none,,,\n' +
      'group,cover,100,0,,,,,,,\n' +
      'team,lab2,5,,50,100,,,,,\n' +
      'queue,q,,,,,,,,,\n' +
      'team,short\n' +
      'team,ok,,,1,1,,,,,\n' +
      'team,ok,,,1,1,,,,,\n',
  );
  expect(faults).toMatchInlineSnapshot(`
    [
      "line 2, team lab, column rate: "x" is not allowed; give statements per second, above 0 and at most 1000000",
      "line 2, team lab, column burst: "0" is not allowed; give a whole number of statements from 1 to 1000000",
      "line 3, group claims, column ack: "none" is not allowed; give replica or primary",
      "line 3, group claims, column new: "0" leaves both weights at 0; give a whole number from 0 to 100, not 0 on both sides",
      "line 4, group cover, column stale_ms: "" is missing; give whole milliseconds from 0 to 86400000",
      "line 5, team lab2, column old: "5" is in a column that a team row does not have; leave it blank",
      "line 6, queue q, column kind: "queue" is not allowed; give team or group",
      "line 7, team short, column priority: "team,short" has 2 cells, not 11; give one cell for each column; leave a cell blank for its default",
      "line 9, team ok, column name: "ok" names a team that an earlier row names; keep one of the rows",
    ]
  `);
});

test('rejects a header with unknown, missing or repeated columns', () => {
  const faults = readFaults('kind,name,name,colour\n');
  expect(faults[0]).toContain('line 1, header, column colour');
  expect(faults.some(fault => fault.includes('"rate" is missing'))).toBe(true);
  expect(faults.some(fault => fault.includes('"name" stands twice'))).toBe(
    true,
  );
});

test('rejects a file over 1 MiB and a file that is not CSV', () => {
  expect(readFaults('x'.repeat(1024 * 1024 + 1))[0]).toContain(
    'over the limit',
  );
  expect(readFaults('"kind')[0]).toContain('is not a CSV file');
});

test('rejects a table whose document would exceed the store limit', () => {
  const rows = Array.from(
    {length: 20_000},
    (_, index) => `team,${'t'.repeat(28)}${index},,,1,1,,,,,`,
  );
  const text = `${HEADER}${rows.join('\n')}\n`;
  expect(text.length).toBeLessThan(1024 * 1024);
  expect(readFaults(text)[0]).toContain('over its limit of 1000000 bytes');
});
