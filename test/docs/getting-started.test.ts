import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import pg from 'pg';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {findPorts} from '../../demo/ports.js';
import {FleetProcess} from '../../demo/processes.js';
import {runCli} from '../cli/cli-fixture.js';
import {readBlocks, readCommands} from './page-commands.js';

const PAGE = new URL('../../docs/getting-started.md', import.meta.url);
/** Ports on the page; each run replaces them with free ports. */
const PAGE_PORTS: readonly number[] = [
  2379, 6432, 6433, 6434, 7001, 7002, 7003, 7101, 7102, 7103,
];
const READY_LINES = ['store stand-in', ...Array(3).fill('state=listening')];

let page: string;
let dir: string;
let processes: FleetProcess[];

beforeEach(async () => {
  dir = await mkdtemp(join(tmpdir(), 'getting-started-'));
  processes = [];
  page = await readFile(PAGE, 'utf8');
  const free = await findPorts(PAGE_PORTS.length);
  const ports = new Map(PAGE_PORTS.map((port, i) => [port, free[i]]));
  page = page.replace(/\b\d{4}\b/g, text =>
    String(ports.get(Number(text)) ?? text),
  );
});

afterEach(async () => {
  await Promise.all(processes.map(process => process.kill()));
  await rm(dir, {recursive: true});
});

/** Returns the code blocks of a language. */
function blocks(language: string): readonly string[] {
  return readBlocks(page)
    .filter(block => block.language === language)
    .map(({text}) => text);
}

function start(line: string, env: Readonly<Record<string, string>> = {}) {
  const [, script = '', ...args] = line.split(' ');
  const paths = args.map(arg => (arg.endsWith('.json') ? join(dir, arg) : arg));
  const process = new FleetProcess(script.replace('dist/', ''), paths, env);
  processes.push(process);
  return process;
}

function findOnPage(pattern: RegExp): string {
  return pattern.exec(page)?.[1] ?? '';
}

/** Returns the `zinnia` commands of the page, each with its documented output. */
function commands() {
  return readCommands(page)
    .filter(({line}) => line.startsWith('zinnia '))
    .map(({line, shown}) => ({
      args: line.split(' ').slice(1),
      shown: shown.filter(text => text !== '...'),
    }));
}

test('the commands of the page work as documented', async () => {
  const [vms = '', groups = ''] = blocks('json');
  await writeFile(join(dir, 'vms.json'), vms);
  await writeFile(join(dir, 'groups.json'), groups);
  const [platform = '', node = ''] = blocks('sh').filter(text =>
    text.includes('node dist/'),
  );
  const lines = platform.trim().split('\n');
  for (const [i, line] of lines.entries()) {
    await start(line).waitFor(READY_LINES[i] ?? '');
  }
  const env = Object.fromEntries(
    [...node.matchAll(/(ZINNIA_\w+)=(\S+)/g)].map(
      ([, key = '', value = '']) => [key, value],
    ),
  );
  const run = (args: readonly string[]) =>
    runCli(env['ZINNIA_STORE'] ?? '', ...args);
  let key = '';
  const isSetup = ({args}: {readonly args: readonly string[]}) =>
    args[0] === 'table' || args[0] === 'key';
  for (const {args, shown} of commands().filter(isSetup)) {
    const {code, out} = await run(args);
    expect(code).toBe(0);
    key = /^zk_\S+$/m.exec(out)?.[0] ?? key;
    const expected = shown.map(text =>
      text.startsWith('zk_') ? expect.stringMatching(/^zk_/) : text,
    );
    expect(out.split('\n')).toEqual(expected);
  }
  // The page relies on the default ports of the node, which may be in use here.
  const portSettings = {
    ZINNIA_PORT: findOnPage(/port=(\d+) user/),
    ZINNIA_PEER_PORT: findOnPage(/"peerPort": (\d+)/),
    ZINNIA_ADMIN_PORT: findOnPage(/"adminPort": (\d+)/),
  };
  const line = node.trim().split('\n').at(-1) ?? '';
  await start(line, {...env, ...portSettings}).waitFor('event=nodeStarted');

  expect(key).toMatch(/^zk_/);
  const client = new pg.Client({
    host: '127.0.0.1',
    port: Number(portSettings.ZINNIA_PORT),
    user: 'assessors',
    password: key,
    database: 'claims',
  });
  await client.connect();
  const [insert = '', select = ''] = (blocks('sql')[0] ?? '')
    .trim()
    .split('\n');
  await client.query(insert);
  const {rows} = await client.query(select);
  expect(rows).toEqual([{id: 'a', team: 'assessors', value: '1'}]);
  await client.end();

  for (const {args, shown} of commands().filter(command => !isSetup(command))) {
    const {code, out} = await run(args);
    expect(code).toBe(0);
    for (const text of shown) expect(out.split('\n')).toContain(text);
    if (args[0] === 'report') expect(out).toMatch(/^assessors {2}claims /m);
  }
});
