import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {
  createStoreServer,
  type StoreServer,
} from '../../standins/store/server.js';
import {runCli} from './cli-fixture.js';

const HEADER = 'kind,name,old,new,rate,burst,stale_ms,ack,urgent,open,priority';
const CLAIMS = 'group,claims,100,0,,,500,replica,writes,false,';
const LAB = 'team,lab,,,50,100,,,,,urgent';

let server: StoreServer;
let folder: string;

beforeEach(async () => {
  server = await createStoreServer();
  folder = await mkdtemp(join(tmpdir(), 'zinnia-table-'));
});

afterEach(async () => {
  await server.close();
  await rm(folder, {recursive: true});
});

const run = (...args: readonly string[]) => runCli(server.url, ...args);

/** Runs a command line, split at spaces. */
const runLine = (line: string) => run(...line.split(' '));

async function writeTable(...rows: readonly string[]): Promise<string> {
  const path = join(folder, 'table.csv');
  await writeFile(path, [HEADER, ...rows, ''].join('\n'));
  return path;
}

async function seed(): Promise<void> {
  const path = await writeTable(CLAIMS, LAB);
  const {code} = await run('table', 'apply', path, '--by', 'ana');
  expect(code).toBe(0);
}

test('prints an empty table and its version', async () => {
  const {code, out, err} = await runLine('table get');
  expect({code, out, err}).toEqual({code: 0, out: HEADER, err: 'version=0'});
});

test('writes the table to a file that can be applied without changes', async () => {
  await seed();
  const path = join(folder, 'out.csv');
  expect((await run('table', 'get', '--output', path)).err).toBe('version=1');
  const text = await readFile(path, 'utf8');
  expect(text).toBe(`${[HEADER, CLAIMS, LAB].join('\n')}\n`);
  const again = await run('table', 'apply', path, '--base-version', '1');
  expect(again.out).toBe('nothing to change, version 1 already says so');
});

test('sets columns of a row and resets one to its default', async () => {
  await seed();
  await runLine('table set group claims old=80 new=20 ack=primary');
  const reset = await runLine('table set group claims ack=');
  expect(reset).toMatchObject({code: 0, out: 'accepted as version 3'});
  const {out} = await runLine('table get');
  expect(out).toContain('group,claims,80,20,,,500,replica');
});

test('adds a valid row and lists every fault of an invalid one', async () => {
  const added = await runLine('table set team 7 rate=2.5 burst=9');
  expect(added.code).toBe(0);
  const faulty = await runLine('table set team x rate=no old=1');
  expect(faulty.code).toBe(1);
  expect(faulty.err.split('\n')).toEqual([
    'error: team x, column rate: "no" is not allowed; give statements per second, above 0 and at most 1000000',
    'error: team x, column burst: "" is missing; give a whole number of statements from 1 to 1000000',
    'error: team x, column old: "1" is in a column that a team row does not have; leave it blank',
  ]);
});

test('rejects assignments to unknown columns or without a value', async () => {
  const unknown = await runLine('table set team lab colour=red');
  expect(unknown).toMatchObject({code: 1});
  expect(unknown.err).toContain('use one of old, new, rate');
  const bare = await runLine('table set team lab rate');
  expect(bare.err).toContain('write column=value');
});

test('shows the changes of a dry run without applying them', async () => {
  await seed();
  const path = await writeTable(
    CLAIMS.replace('100,0', '90,10'),
    'team,new,,,1,2,,,,,',
  );
  const dry = await runLine(`table apply ${path} --dry-run --base-version 1`);
  expect(dry.out.split('\n')).toEqual([
    '~ group claims: old 100 -> 90, new 0 -> 10',
    '+ team new: rate=1 burst=2 priority=urgent',
    '- team lab',
    'dry run: nothing was changed',
  ]);
  expect((await runLine('table get')).err).toBe('version=1');
});

test('keeps the changes that others made since the base version', async () => {
  await seed();
  await runLine('table set group claims old=70 new=30 --by ben');
  await runLine('table set team extra rate=1 burst=1 --by ben');
  const path = await writeTable(CLAIMS, LAB.replace('50', '60'));
  const applied = await run('table', 'apply', path, '--base-version', '1');
  expect(applied.out.split('\n')).toEqual([
    '~ team lab: rate 50 -> 60',
    'accepted as version 4',
  ]);
  const {out} = await runLine('table get');
  expect(out).toContain('group,claims,70,30');
  expect(out).toContain('team,extra');
});

test('rejects a file with a row that another operator has changed', async () => {
  await seed();
  await runLine('table set team lab rate=70 --by ben');
  const path = await writeTable(CLAIMS, LAB.replace('50', '60'));
  const args = ['table', 'apply', path, '--base-version', '1', '--by', 'ana'];
  for (const extra of [['--dry-run'], []]) {
    const refused = await run(...args, ...extra);
    expect(refused.code).toBe(1);
    expect(refused.err).toContain(
      'error: team lab: the edit of ana was not applied, because ben changed',
    );
  }
  const future = await run(...args.with(4, '9'));
  expect(future.err).toContain('base version 9 does not exist');
});

test('warns if a file is applied without its base version', async () => {
  await seed();
  const path = await writeTable(CLAIMS, LAB);
  const {err} = await run('table', 'apply', path);
  expect(err).toContain('warning: without --base-version');
});

test('validates a file without the store', async () => {
  await server.startOutage('refuse');
  const good = await writeTable(CLAIMS, LAB);
  const cli = (path: string) => run('table', 'check', path);
  const {code, out} = await cli(good);
  expect({code, out}).toEqual({
    code: 0,
    out: `${good} is valid: 1 groups, 1 teams`,
  });
  const bad = await cli(await writeTable('team,lab,,,x,100,,,,,'));
  expect(bad.code).toBe(1);
  expect(bad.err).toContain('error: line 2, team lab, column rate');
  const missing = await cli(join(folder, 'none.csv'));
  expect(missing).toMatchObject({code: 1});
  expect(missing.err).toContain('give the path of a CSV file');
});

test('prints the history of edits', async () => {
  await seed();
  await runLine('table set team lab rate=60 --by ben --edit-id e1');
  const {out} = await runLine('table history');
  const [first, second] = out.split('\n');
  expect(first).toMatch(/^version=1 at=\S+Z by=ana id=\S+ summary="set group/);
  expect(second).toMatch(/^version=2 .* by=ben id=e1 summary="set team lab"$/);
});

test('applies an edit with the same id once', async () => {
  await seed();
  const args = ['table', 'set', 'team', 'lab', '--edit-id', 'e1'];
  await run(...args, 'rate=60');
  await runLine('table set team lab rate=70');
  expect((await run(...args, 'rate=60')).out).toBe('accepted as version 2');
  expect((await runLine('table get')).out).toContain('team,lab,,,70');
});

test('exits with 4 if the store is down', async () => {
  await server.startOutage('refuse');
  const {code, err} = await runLine('table get');
  expect(code).toBe(4);
  expect(err).toContain('check --store and that the store is up');
});
