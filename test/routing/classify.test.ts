import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {createClassifier} from '../../src/routing/classify.js';
import type {Statement} from '../../src/routing/statement.js';

const classifier = createClassifier();

async function strictest(sql: string): Promise<Statement> {
  return (await classifier.classify(sql)).strictest;
}

const READS = [
  'select 1',
  'SELECT balance FROM ledger WHERE member = $1',
  'select count(*), sum(x), coalesce(a, 0), lower(b::text), now() from t',
  'values (1), (2)',
  'table t',
  'select * from generate_series(1, 10) g order by g limit 3',
  'with a as (select 1) select * from a union all select 2',
  'select pg_sleep(0.1)',
  'select pg_catalog.length(x), current_user, nullif(a, b) from t',
  'select (select max(x) from u where u.id = t.id) from t join v using (id)',
  'select rank() over (partition by a order by b) from t',
  'select case when x > 1 then array[1, 2] else null end from t',
  'select random(), gen_random_uuid(), clock_timestamp()',
  'explain select 1',
  'explain (analyze) select 1',
  'show server_version',
  'select 1; select 2',
];

const WRITES = [
  'insert into t values (1)',
  'update t set x = 1',
  'delete from t',
  'merge into t using u on t.id = u.id when matched then delete',
  'truncate t',
  'select * from t for update',
  'select * from (select * from t for share) s',
  'select 1 into t',
  'create table t as select 1',
  'create table t (x int)',
  'with d as (delete from t returning *) select * from d',
  'select * from t where x in (with u as (update t set x = 1 returning x) select x from u)',
  "select nextval('s')",
  'select pay(1)',
  'select public.lower(x) from t',
  'select * from reopen_claims()',
  'explain analyze delete from t',
  'explain delete from t',
  'call pay(1)',
  'do $$ begin perform 1; end $$',
  'select pg_advisory_xact_lock(1)',
  'set local work_mem = 1',
  'set transaction isolation level serializable',
  'declare c cursor for select 1',
  'select 1; delete from t; select 2',
];

const UNSUPPORTED = [
  'copy t from stdin',
  'copy (select 1) to stdout',
  'listen c',
  "notify c, 'x'",
  'unlisten *',
  'prepare p as select 1',
  'execute p',
  'deallocate all',
  'create table t as execute p',
  'create temp table t (x int)',
  'create temporary view v as select 1',
  'select 1 into temp t',
  'insert into pg_temp.t values (1)',
  'declare c cursor with hold for select 1',
  'set work_mem = 1',
  'set session characteristics as transaction read only',
  "set search_path = 'a'",
  'reset all',
  'discard all',
  "load 'x'",
  'select pg_advisory_lock(1)',
  'select pg_try_advisory_lock_shared(1)',
  "select set_config('a.b', 'c', false)",
  "prepare transaction 'x'",
  "commit prepared 'x'",
  "set timezone = 'UTC'; select 1",
  'show zinnia.session; select 1',
  'delete from t; listen c',
];

const OTHER_STATEMENTS: readonly (readonly [string, Statement])[] = [
  ['', {kind: 'empty'}],
  [' ; -- nothing', {kind: 'empty'}],
  ['begin', {kind: 'begin', readOnly: false}],
  ['begin read write', {kind: 'begin', readOnly: false}],
  ['start transaction read only', {kind: 'begin', readOnly: true}],
  ['begin read only, read write', {kind: 'begin', readOnly: false}],
  ['commit', {kind: 'commit', chain: false}],
  ['end', {kind: 'commit', chain: false}],
  ['commit and chain', {kind: 'commit', chain: true}],
  ['abort', {kind: 'rollback', chain: false}],
  ['savepoint a', {kind: 'savepoint'}],
  ['rollback to a', {kind: 'savepoint'}],
  ['release a', {kind: 'savepoint'}],
  [
    "SET zinnia.session = 'z1.a.b'",
    {kind: 'set', name: 'zinnia.session', value: 'z1.a.b'},
  ],
  [
    'set zinnia.stale_ms to 0',
    {kind: 'set', name: 'zinnia.stale_ms', value: '0'},
  ],
  [
    'set DateStyle to iso, dmy',
    {kind: 'set', name: 'datestyle', value: 'iso, dmy'},
  ],
  ["set time zone 'UTC'", {kind: 'set', name: 'timezone', value: 'UTC'}],
  ["set names 'UTF8'", {kind: 'set', name: 'client_encoding', value: 'UTF8'}],
  ['reset timezone', {kind: 'set', name: 'timezone', value: undefined}],
  ['show zinnia.session', {kind: 'show', name: 'zinnia.session'}],
  ['show TimeZone', {kind: 'show', name: 'timezone'}],
];

describe('classify', () => {
  test.each(READS)('classifies as read: %s', async sql => {
    expect(await strictest(sql)).toEqual({kind: 'read'});
  });

  test.each(WRITES)('classifies as write: %s', async sql => {
    expect(await strictest(sql)).toEqual({kind: 'write'});
  });

  test.each(UNSUPPORTED)('classifies as unsupported: %s', async sql => {
    expect(await strictest(sql)).toMatchObject({
      kind: 'unsupported',
      message: expect.stringMatching(/not supported|of its own/) as string,
    });
  });

  test.each(OTHER_STATEMENTS)('classifies: %s', async (sql, expected) => {
    expect(await strictest(sql)).toEqual(expected);
  });

  test('lists the statements in order and returns the strictest', async () => {
    const {statements, strictest} = await classifier.classify(
      'begin; select 1; commit',
    );
    expect(statements.map(({kind}) => kind)).toEqual([
      'begin',
      'read',
      'commit',
    ]);
    expect(strictest.kind).toBe('begin');
  });

  test('returns the message and position of a syntax error', async () => {
    expect(await strictest('select from where')).toEqual({
      kind: 'invalid',
      sqlstate: '42601',
      message: 'syntax error at or near "where"',
      position: 13,
    });
  });

  test('rejects a text with a NUL, which would hide the rest from the parser', async () => {
    expect(await strictest('select 1\0; delete from t')).toMatchObject({
      kind: 'invalid',
    });
  });

  test('rejects statements that are nested too deeply and keeps working', async () => {
    const sum = Array(20_000).fill('1').join('+');
    expect((await strictest(`select ${sum}`)).kind).toBe('invalid');
    const brackets = `${'('.repeat(20_000)}1${')'.repeat(20_000)}`;
    expect((await strictest(`select ${brackets}`)).kind).toBe('invalid');
    expect((await strictest('select 1')).kind).toBe('read');
  });

  test('never classifies a text with a data change as a read', async () => {
    const changes = fc.constantFrom<string>(
      'insert into t values (1)',
      'update t set x = 2 where y = 3',
      'delete from t using u',
      'merge into t using u on true when not matched then insert default values',
    );
    const wrappers = fc.constantFrom<(sql: string) => string>(
      sql => sql,
      sql => `/* select */ ${sql}`,
      sql => `select 1; ${sql}`,
      sql => `${sql}; select 1`,
      sql => `with c as (${sql} returning *) select * from c`,
      sql => `select 1 union (with c as (${sql} returning *) select 2 from c)`,
      sql => `with a as (select 1), b as (${sql} returning 1) select 2`,
      sql => `explain analyze ${sql}`,
    );
    await fc.assert(
      fc.asyncProperty(changes, fc.array(wrappers), async (sql, wraps) => {
        const text = wraps.reduce((inner, wrap) => wrap(inner), sql);
        const {strictest} = await classifier.classify(text);
        expect(['write', 'invalid']).toContain(strictest.kind);
      }),
      {seed: 21, numRuns: 1_000},
    );
  });
});
