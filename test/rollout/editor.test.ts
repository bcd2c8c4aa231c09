import {beforeEach, expect, test} from 'vitest';
import {encodeDocument} from '../../src/rollout/config-codec.js';
import {
  CONFIG_KEY,
  ConfigDocument,
  MAX_EDITS,
} from '../../src/rollout/config-document.js';
import {describeEditResult} from '../../src/rollout/edit-result.js';
import {readConfig, type ConfigEditor} from '../../src/rollout/editor.js';
import {createKey} from '../../src/rollout/keys.js';
import {teamRow} from '../../src/rollout/table.js';
import {MemoryStore} from '../fakes/memory-store.js';
import {
  InstantClock,
  createEditor,
  putRow,
  insertRacingEdit,
} from './editor-fixture.js';
import {createTeamRow} from './rows.js';

const lab = createTeamRow('lab');
const ana = (id: string) => ({id, by: 'ana'});

let store: MemoryStore;
let editor: ConfigEditor;

beforeEach(async () => {
  store = new MemoryStore(new InstantClock());
  editor = createEditor(store);
  await editor.edit(putRow(lab), ana('seed'));
});

async function readDocument(): Promise<ConfigDocument> {
  return (await readConfig(store)).document;
}

test('creates the configuration in an empty store', async () => {
  const document = await readDocument();
  expect(document.version).toBe(1);
  expect(document.edits).toMatchObject([
    {id: 'seed', by: 'ana', version: 1, summary: 'set team lab'},
  ]);
});

test('merges a concurrent edit of another row', async () => {
  insertRacingEdit(store, 'ben', createTeamRow('other'));
  const result = await editor.edit(putRow({...lab, rate: 9}), ana('e'));
  expect(result).toEqual({kind: 'applied', version: 3, repeated: false});
  const {table} = await readDocument();
  expect(teamRow(table, 'lab')?.rate).toBe(9);
  expect(teamRow(table, 'other')).toBeDefined();
});

test('names both operators when they edit one row concurrently', async () => {
  insertRacingEdit(store, 'ben', {...lab, rate: 7});
  const result = await editor.edit(putRow({...lab, rate: 9}), ana('e'));
  expect(result).toMatchObject({
    kind: 'conflict',
    row: {kind: 'team', name: 'lab'},
    version: 2,
    yours: 'ana',
    theirs: 'ben',
  });
  expect(describeEditResult(result)).toContain('agree with ben');
  expect(teamRow((await readDocument()).table, 'lab')?.rate).toBe(7);
});

test('reports a conflict for a row changed since the base version', async () => {
  await editor.edit(putRow({...lab, rate: 7}), {id: 'b', by: 'ben'});
  const result = await editor.edit(putRow({...lab, rate: 9}, 1), ana('e'));
  expect(result).toMatchObject({kind: 'conflict', theirs: 'ben'});
});

test('reports a concurrent edit with the same content as unchanged', async () => {
  insertRacingEdit(store, 'ben', {...lab, rate: 9});
  const result = await editor.edit(putRow({...lab, rate: 9}), ana('e'));
  expect(result).toEqual({kind: 'unchanged', version: 2});
});

test('finds the edit by its id after a lost answer', async () => {
  store.loseAnswers(1);
  const result = await editor.edit(putRow({...lab, rate: 9}), ana('e'));
  expect(result).toEqual({kind: 'applied', version: 2, repeated: true});
  expect((await readDocument()).edits).toHaveLength(2);
});

test('retries a write whose request was lost', async () => {
  store.loseRequests(2);
  const result = await editor.edit(putRow({...lab, rate: 9}), ana('e'));
  expect(result).toEqual({kind: 'applied', version: 2, repeated: false});
});

test('finds the edit by its id after another edit of the same row', async () => {
  const change = putRow({...lab, rate: 9});
  store.loseAnswers(1);
  const first = await editor.edit(change, ana('e'));
  await editor.edit(putRow({...lab, rate: 3}), {id: 'b', by: 'ben'});
  expect(await editor.edit(change, ana('e'))).toEqual(first);
  expect(teamRow((await readDocument()).table, 'lab')?.rate).toBe(3);
});

test('applies an edit once when it is retried after success', async () => {
  const change = putRow({...lab, rate: 9}, 1);
  await editor.edit(change, ana('e'));
  const again = await editor.edit(change, ana('e'));
  expect(again).toEqual({kind: 'applied', version: 2, repeated: true});
});

test('returns unsettled when the edit id may have been discarded', async () => {
  store.loseRequests(1);
  store.interfere(CONFIG_KEY, current => current ?? '');
  const {document} = await readConfig(store);
  const original = store.get.bind(store);
  let reads = 0;
  store.get = async key => {
    reads += 1;
    if (reads === 2) store.put(CONFIG_KEY, encodeDocument(editMany(document)));
    return original(key);
  };
  const result = await editor.edit(putRow({...lab, rate: 9}), ana('e'));
  expect(result).toMatchObject({kind: 'unsettled', editId: 'e'});
  expect(describeEditResult(result)).toContain('zinnia table history');
});

function editMany(document: ConfigDocument): ConfigDocument {
  let next = document;
  for (let edit = 0; edit <= MAX_EDITS; edit += 1) {
    next = next.withEdit({id: `m${edit}`, by: 'ben', at: 0, summary: ''});
  }
  return next;
}

test('reports a conflict for a retried edit whose id was discarded', async () => {
  const change = putRow({...lab, rate: 9}, 1);
  await editor.edit(change, ana('e'));
  await editor.edit(putRow({...lab, rate: 3}), {id: 'b', by: 'ben'});
  const {document} = await readConfig(store);
  store.put(CONFIG_KEY, encodeDocument(editMany(document)));
  expect(await editor.edit(change, ana('e'))).toMatchObject({
    kind: 'conflict',
    theirs: 'an operator of an older edit',
  });
});

test('reports a store outage as not applied', async () => {
  store.down = true;
  const result = await editor.edit(putRow({...lab, rate: 9}), ana('e'));
  expect(result).toMatchObject({kind: 'unreachable'});
  expect(describeEditResult(result)).toContain('not applied');
});

test('reports a store outage after a lost answer as unsettled', async () => {
  store.loseAnswers(1);
  const swap = store.compareAndSwap.bind(store);
  store.compareAndSwap = async (...args) => {
    const result = await swap(...args).finally(() => {
      store.down = true;
    });
    return result;
  };
  const result = await editor.edit(putRow({...lab, rate: 9}), ana('e'));
  expect(result).toMatchObject({kind: 'unsettled', editId: 'e'});
});

test('grants a key once and withdraws it once', async () => {
  const {record} = createKey('lab', 0);
  const grant = {kind: 'grantKey', key: record} as const;
  const withdraw = {kind: 'withdrawKey', keyId: record.id} as const;
  expect(await editor.edit(grant, ana('g'))).toMatchObject({version: 2});
  expect(await editor.edit(grant, ana('g2'))).toMatchObject({
    kind: 'unchanged',
  });
  expect(await editor.edit(withdraw, ana('w'))).toMatchObject({version: 3});
  expect(await editor.edit(withdraw, ana('w2'))).toMatchObject({
    kind: 'unchanged',
  });
  expect(await editor.edit(grant, ana('g3'))).toMatchObject({kind: 'refused'});
});

test('refuses keys for unknown teams and unknown keys', async () => {
  const {record} = createKey('nobody', 0);
  const results = [
    await editor.edit({kind: 'grantKey', key: record}, ana('g')),
    await editor.edit({kind: 'withdrawKey', keyId: 'none'}, ana('w')),
  ];
  expect(results.map(result => result.kind)).toEqual(['refused', 'refused']);
});

test('refuses to remove a team that still has keys', async () => {
  const {record} = createKey('lab', 0);
  await editor.edit({kind: 'grantKey', key: record}, ana('g'));
  const result = await editor.edit(
    {kind: 'rows', edits: [{kind: 'remove', ref: lab}]},
    ana('r'),
  );
  expect(result).toMatchObject({kind: 'refused'});
  expect(describeEditResult(result)).toContain('withdraw them first');
});

test('refuses an edit that would exceed the size limit of the store', async () => {
  const {document} = await readConfig(store);
  const records = Array.from(
    {length: 10_000},
    () => createKey('lab', 1_700_000_000_000).record,
  );
  const keys = new Map(records.map(record => [record.id, record]));
  const full = new ConfigDocument({...document.state, keys});
  store.put(CONFIG_KEY, encodeDocument(full));
  const result = await editor.edit(putRow(createTeamRow('new')), ana('e'));
  expect(result).toMatchObject({kind: 'refused'});
  expect(describeEditResult(result)).toContain('over the store');
});

test('refuses an empty or overlong edit id', async () => {
  for (const id of ['', 'x'.repeat(65)]) {
    const result = await editor.edit(putRow({...lab, rate: 9}), ana(id));
    expect(result).toMatchObject({kind: 'refused'});
  }
});

test('retires an instance once', async () => {
  const change = {kind: 'retire', instance: 'vm1#4'} as const;
  expect(await editor.edit(change, ana('r1'))).toMatchObject({version: 2});
  expect(await editor.edit(change, ana('r2'))).toMatchObject({
    kind: 'unchanged',
  });
  expect((await readDocument()).isRetired('vm1#4')).toBe(true);
});
