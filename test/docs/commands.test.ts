import {execFile} from 'node:child_process';
import {randomUUID} from 'node:crypto';
import {
  copyFile,
  mkdir,
  mkdtemp,
  readdir,
  readFile,
  rm,
  writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {delimiter, join, resolve} from 'node:path';
import {afterAll, beforeAll, expect, test} from 'vitest';
import {Fleet, toVmRecord} from '../../demo/fleet.js';
import {EtcdStore} from '../../src/infra/etcd-store.js';
import {VM_LIST_KEY} from '../../src/infra/vm-list.js';
import {parseTableCsv} from '../../src/rollout/table-csv.js';
import {listRows} from '../../src/rollout/table.js';
import {connect, insert, PROFILE, TEAM, waitUntil} from '../fleet/fixture.js';
import {
  matchesPage,
  readBlocks,
  readCommands,
  type PageCommand,
} from './page-commands.js';

/** The pages in the order in which a new operator reads them. */
const PAGES = [
  'README.md',
  'docs/getting-started.md',
  'docs/operators/tables.md',
  'docs/operators/keys.md',
  'docs/operators/limits.md',
  'docs/operators/failover.md',
  'docs/operators/databases.md',
  'docs/operators/evacuation.md',
  'docs/operators/restarts.md',
  'docs/operators/report.md',
  'docs/operators/store-outages.md',
];
const LANGUAGES = ['sh', 'console', 'json', 'sql', 'text'];
/** Programs that a page may run. */
const ALLOWED_PROGRAMS = /^(zinnia|cat|sed|curl) /;

const STANDING_TIMEOUT_MS = 15_000;

/** Commands that this test skips, with the reason and what runs them instead. */
const SKIPPED_COMMANDS: readonly (readonly [RegExp, string])[] = [
  [/^npm ci$/, 'installs the packages: run by .ci/run'],
  [/^npm ci && npm test$/, 'runs this test: run by .ci/run'],
  [/^npm run build$/, 'compiles the code under test: run by npm test'],
  [/^alias zinnia=/, 'replaced by a script of that name'],
  [/^(npm ci && )?npm run demo$/, 'starts its own fleet: run separately'],
  [
    /^(export ZINNIA_|node dist\/)/,
    'starts its own deployment: run by test/docs/getting-started.test.ts',
  ],
];

/** Setup before the commands of a page, or of a `page#heading`. */
const SETUPS: Readonly<Record<string, () => Promise<unknown>>> = {
  'docs/operators/tables.md': writeTable,
  'docs/operators/tables.md#When a VM does not answer': () => listVms(true),
  'docs/operators/keys.md': () => listVms(false),
  'docs/operators/limits.md': runStatements,
  'docs/operators/evacuation.md': () =>
    copyFile('test/explain/evacuated.txt', join(dir, 'nodes.log')),
  'docs/operators/report.md': () => listVms(true),
  'docs/operators/store-outages.md': async () => {
    await fleet.storeProcess.kill();
    await waitForStanding('outage');
  },
};

/** The table that the pages start from. */
const TABLE = `kind,name,old,new,rate,burst,stale_ms,ack,urgent,open,priority
group,claims,100,0,,,500,replica,writes,false,
group,ledger,100,0,,,0,replica,writes,false,
team,assessors,,,200,400,,,,,urgent
team,members,,,120,300,2000,,,,ordinary
`;

const NODE_COUNT = 3;
let dir: string;
let fleet: Fleet;
/** Table version and key id that earlier commands printed. */
let baseVersion = '';
let keyId = '';

beforeAll(async () => {
  const teams = PROFILE.teams.filter(({name}) => name === TEAM);
  const profile = {...PROFILE, dataCentres: ['hobart'], teams};
  fleet = await Fleet.start({profile, nodes: NODE_COUNT});
  dir = await mkdtemp(join(tmpdir(), 'commands-'));
  await mkdir(join(dir, 'bin'));
  const script = `#!/bin/sh\nexec node ${resolve('dist/src/cli/main.js')} "$@"\n`;
  await writeFile(join(dir, 'bin/zinnia'), script, {mode: 0o755});
});

afterAll(async () => {
  await fleet?.stop();
  await rm(dir, {recursive: true});
});

async function writeTable(): Promise<void> {
  const rows = listRows(parseTableCsv(TABLE));
  const edits = rows.map(row => ({kind: 'put', row}) as const);
  const identity = {id: randomUUID(), by: 'ana'};
  await fleet.editor.edit({kind: 'rows', edits}, identity);
}

/** Writes the platform's list of VMs, optionally with an unreachable VM. */
async function listVms(withUnreachable: boolean): Promise<void> {
  const store = new EtcdStore({url: fleet.storeUrl});
  const vms = fleet.nodes.map(toVmRecord);
  const unreachable = {...vms[0], id: 'vm4', peerPort: 1, adminPort: 1};
  const list = JSON.stringify(withUnreachable ? [...vms, unreachable] : vms);
  const current = await store.get(VM_LIST_KEY);
  await store.compareAndSwap(VM_LIST_KEY, current?.revision ?? 0, list);
}

async function runStatements(): Promise<void> {
  for (const node of fleet.nodes) {
    const client = await connect(fleet, node);
    await insert(client, `row-of-${node.vm}`);
    const read = 'SELECT id, team, value FROM entries';
    await client.query(read);
    await client.query(`BEGIN; ${read}; COMMIT`);
    await client.end();
  }
}

async function waitForStanding(wanted: string): Promise<void> {
  const [node] = fleet.nodes;
  await waitUntil(`standing ${wanted}`, STANDING_TIMEOUT_MS, async () => {
    const {standing} = await fleet.readNode<{readonly standing: string}>(
      node!,
      'versions',
    );
    return standing === wanted ? true : undefined;
  });
}

/** Replaces the page's addresses, versions and key ids with those of the fleet. */
function fillIn(line: string): string {
  return line
    .replace('127.0.0.1:6434', `127.0.0.1:${fleet.nodes[0]?.adminPort}`)
    .replace(/--base-version \d+/, `--base-version ${baseVersion}`)
    .replace(/\b[\da-f]{16}\b/, keyId);
}

function run(line: string): Promise<{code: number; output: string}> {
  const env = {
    ...process.env,
    PATH: `${join(dir, 'bin')}${delimiter}${process.env['PATH']}`,
    ZINNIA_STORE: fleet.storeUrl,
    ZINNIA_BY: 'ana',
  };
  return new Promise(done => {
    const script = `exec 2>&1; ${fillIn(line)}`;
    execFile('sh', ['-c', script], {cwd: dir, env}, (err, output) => {
      baseVersion = /^version=(\d+)$/m.exec(output)?.[1] ?? baseVersion;
      keyId = /^zk_([\da-f]+)_/m.exec(output)?.[1] ?? keyId;
      done({code: Number(err?.code ?? 0), output});
    });
  });
}

/** Runs a command; describes how it differs from the page, if it does. */
async function findMismatch({line, shown, code}: PageCommand) {
  if (SKIPPED_COMMANDS.some(([pattern]) => pattern.test(line)))
    return undefined;
  if (!ALLOWED_PROGRAMS.test(line))
    return `${line}: not a program that a page may run`;
  const result = await run(line);
  if (result.code !== code) {
    return `${line}: exit code ${result.code}, not ${code}\n${result.output}`;
  }
  const isReport = line.startsWith('zinnia report');
  if (shown.length === 0 || matchesPage(shown, result.output, isReport)) {
    return undefined;
  }
  return `${line}: output differs from the page:\n${result.output}`;
}

test('the list of pages includes every page for operators', async () => {
  const files = await readdir('docs/operators');
  const pages = files.map(file => `docs/operators/${file}`);
  expect(PAGES.slice(2).toSorted()).toEqual(pages);
});

test.each(PAGES)('every command of %s works as documented', async page => {
  const text = await readFile(page, 'utf8');
  const languages = readBlocks(text).map(({language}) => language);
  expect(LANGUAGES).toEqual(expect.arrayContaining(languages));
  await SETUPS[page]?.();
  const mismatches: (string | undefined)[] = [];
  const headings = new Set<string>();
  const commands = readCommands(text);
  expect(commands).not.toEqual([]);
  for (const command of commands) {
    const {heading} = command;
    if (!headings.has(heading)) await SETUPS[`${page}#${heading}`]?.();
    headings.add(heading);
    mismatches.push(await findMismatch(command));
  }
  expect(mismatches.filter(mismatch => mismatch !== undefined)).toEqual([]);
});
