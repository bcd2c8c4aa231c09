import {expect, test} from 'vitest';
import {
  DocumentError,
  MAX_DOCUMENT_BYTES,
  decodeDocument,
  encodeDocument,
} from '../../src/rollout/config-codec.js';
import {
  ConfigDocument,
  MAX_EDITS,
  MAX_RETIRED,
  type RowEdit,
} from '../../src/rollout/config-document.js';
import {MAX_ROW_CHANGES} from '../../src/rollout/row-history.js';
import {createKey} from '../../src/rollout/keys.js';
import {groupRow, teamRow, type TableRow} from '../../src/rollout/table.js';
import {createGroupRow, createTeamRow} from './rows.js';

const put = (row: TableRow): RowEdit => ({kind: 'put', row});

function acceptEdit(document: ConfigDocument, id: string): ConfigDocument {
  return document.withEdit({id, by: 'ana', at: 0, summary: 'test'});
}

function times<Value>(count: number, create: (index: number) => Value) {
  return Array.from({length: count}, (_, index) => create(index));
}

test('does not modify the original document', () => {
  const before = ConfigDocument.EMPTY.withRows([put(createTeamRow('lab'))]);
  const after = before.withRows([put(createTeamRow('lab', {rate: 1}))]);
  expect(teamRow(before.table, 'lab')?.rate).toBe(50);
  expect(teamRow(after.table, 'lab')?.rate).toBe(1);
});

test('increments the version with each edit', () => {
  const document = acceptEdit(acceptEdit(ConfigDocument.EMPTY, 'e1'), 'e2');
  expect(document.version).toBe(2);
  expect(document.findEdit('e1')?.version).toBe(1);
});

test('records the version that last wrote or removed a row', () => {
  const lab = createTeamRow('lab');
  const written = acceptEdit(ConfigDocument.EMPTY.withRows([put(lab)]), 'e1');
  const other = acceptEdit(written.withRows([put(createTeamRow('x'))]), 'e2');
  const removed = other.withRows([{kind: 'remove', ref: lab}]);
  expect(other.rowChangedAt(lab)).toBe(1);
  expect(removed.rowChangedAt(lab)).toBe(3);
  expect(removed.rowChangedAt({kind: 'group', name: 'lab'})).toBe(0);
});

test('treats an absent row as changed once its removal may have been discarded', () => {
  const rows = times(MAX_ROW_CHANGES + 1, i => createTeamRow(`t${i}`));
  let document = acceptEdit(ConfigDocument.EMPTY.withRows(rows.map(put)), 'e');
  for (const ref of rows) {
    document = acceptEdit(document.withRows([{kind: 'remove', ref}]), 'r');
  }
  expect(document.rowChangedAt(createTeamRow('t0'))).toBe(3);
});

test('reconstructs older tables while their history is stored', () => {
  const lab = createTeamRow('lab');
  const claims = createGroupRow('claims');
  const first = acceptEdit(
    ConfigDocument.EMPTY.withRows([put(lab), put(claims)]),
    'e1',
  );
  const second = acceptEdit(
    first.withRows([
      put({...lab, rate: 1}),
      {kind: 'remove', ref: claims},
      put(createGroupRow('cover')),
    ]),
    'e2',
  );
  const third = acceptEdit(second.withRows([put({...lab, rate: 2})]), 'e3');
  expect(third.tableAt(3)).toEqual(third.table);
  expect(third.tableAt(2)).toEqual(second.table);
  expect(third.tableAt(1)).toEqual(first.table);
  expect(third.tableAt(0)).toEqual(ConfigDocument.EMPTY.table);
  const many = times(MAX_ROW_CHANGES, i => put(createTeamRow(`t${i}`)));
  const last = acceptEdit(third.withRows(many), 'e4');
  expect(last.tableAt(3)).toBeUndefined();
  expect(last.tableAt(4)).toEqual(last.table);
});

test('discards the oldest edits and reports that they are missing', () => {
  let document = ConfigDocument.EMPTY;
  for (let edit = 1; edit <= MAX_EDITS; edit += 1) {
    document = acceptEdit(document, `e${edit}`);
  }
  expect(document.hasEditsSince(0)).toBe(true);
  document = acceptEdit(document, 'last');
  expect(document.findEdit('e1')).toBeUndefined();
  expect(document.hasEditsSince(0)).toBe(false);
  expect(document.hasEditsSince(1)).toBe(true);
});

test('retires an instance once and keeps only the latest ones', () => {
  let document = ConfigDocument.EMPTY;
  for (const id of times(MAX_RETIRED + 1, i => `vm${i}`)) {
    document = acceptEdit(document.withRetired(id), id);
  }
  expect(document.isRetired('vm0')).toBe(false);
  expect(document.retired).toHaveLength(MAX_RETIRED);
  expect(document.withRetired('vm1')).toBe(document);
});

test('round-trips a document', () => {
  const {record} = createKey('lab', 5);
  const rows = [
    createTeamRow('lab', {staleMs: 0}),
    createTeamRow('x'),
    createGroupRow('claims', {open: true}),
  ];
  const document = acceptEdit(
    acceptEdit(ConfigDocument.EMPTY.withRows(rows.map(put)), 'e1')
      .withKey(record)
      .withKey(createKey('x', 6).record)
      .withRetired('vm1#1')
      .withRows([{kind: 'remove', ref: createTeamRow('x')}]),
    'e2',
  ).withoutKey(record.id);
  expect(decodeDocument(encodeDocument(document)).state).toEqual(
    document.state,
  );
});

test('fits 1,300 groups and 2,000 teams with two keys each into the size limit', () => {
  const groups = times(1_300, i => createGroupRow(`mutual-claims-group-${i}`));
  const teams = times(2_000, i => createTeamRow(`customer-team-name-${i}`));
  let document = ConfigDocument.EMPTY.withRows([...groups, ...teams].map(put));
  const keys = new Map(
    teams.flatMap(team =>
      times(2, () => createKey(team.name, 1_700_000_000_000).record).map(
        key => [key.id, key] as const,
      ),
    ),
  );
  document = new ConfigDocument({...document.state, keys});
  for (let edit = 1; edit <= MAX_EDITS; edit += 1) {
    document = document.withEdit({
      id: 'x'.repeat(36),
      by: 'y'.repeat(64),
      at: 1_700_000_000_000,
      summary: 'z'.repeat(500),
    });
  }
  const text = encodeDocument(document);
  expect(Buffer.byteLength(text)).toBeLessThan(MAX_DOCUMENT_BYTES);
  const read = decodeDocument(text);
  expect(groupRow(read.table, 'mutual-claims-group-7')).toBeDefined();
  expect(read.keys).toHaveLength(4_000);
});

test('rejects a malformed document', () => {
  expect(() => decodeDocument('{')).toThrow(DocumentError);
  expect(() => decodeDocument('{"version":-1}')).toThrow('same release');
});
