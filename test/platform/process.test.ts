import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {LineClient} from './line-client.js';
import {Platform, sleep, waitUntil} from './fixture.js';

const DIR = mkdtempSync(join(tmpdir(), 'zinnia-'));
const PROGRAM = join(DIR, 'zinnia-platform.mjs');
/** An address of this process alone: the ports of the program are fixed. */
const HOST = `127.${process.pid >> 16}.${(process.pid >> 8) & 255}.${process.pid & 255}`;
const PORTS = {callers: 9_801, ready: 9_802, peers: 9_803};

let platform: Platform;
beforeAll(async () => {
  execFileSync('npm', [
    'run',
    '--silent',
    'bundle',
    '--',
    `--outfile=${PROGRAM}`,
  ]);
  platform = await Platform.start(0);
});
afterAll(() => platform.stop());

/** Starts the bundled program with a settings file that `changes` edits. */
function start(
  changes: (text: string) => string = text => text,
  flags: readonly string[] = [],
) {
  const path = join(DIR, 'boot.conf');
  const text = `node_name=node-1
ip=${HOST}
zone=hobart
listen_addrs.front=${HOST}:${PORTS.callers}
listen_addrs.ready=${HOST}:${PORTS.ready}
internal_ports=${PORTS.peers},${PORTS.peers + 10}
platform.address=127.0.0.1:${platform.store.port}
cloud.address=127.0.0.1:${platform.duties.port}
bounds.grace_s=3
`;
  writeFileSync(path, changes(text));
  const child: ChildProcess = spawn(process.execPath, [...flags, PROGRAM], {
    env: {...process.env, ZINNIAARCH_BOOT: path},
  });
  const output: string[] = [];
  child.stdout?.on('data', chunk => output.push(String(chunk)));
  child.stderr?.on('data', chunk => output.push(String(chunk)));
  return {child, output};
}

/** Returns the HTTP status, 0 if the request fails. */
async function statusOf(url: string): Promise<number> {
  return fetch(url).then(
    res => res.status,
    () => 0,
  );
}

describe('the bundled program', () => {
  it('serves callers, probes and metrics, and stops gracefully on SIGTERM', async () => {
    const {child, output} = start();
    const readiness = `http://${HOST}:${PORTS.ready}/readiness`;
    await expect.poll(() => statusOf(readiness), {timeout: 10_000}).toBe(200);
    const {client, hello} = await LineClient.open(
      PORTS.callers,
      'now red-key',
      HOST,
    );
    expect(hello).toBe('READY I -');
    await expect
      .poll(async () => (await client.query('WRITE a 1')).end, {timeout: 5_000})
      .toMatch(/^DONE/);
    const metrics = await (await fetch(`http://${HOST}:9464/metrics`)).text();
    expect(metrics).toMatch(
      /zinnia_statements_total\{group="claims",kind="write",outcome="done"\} 1/,
    );
    child.kill('SIGTERM');
    await expect.poll(() => statusOf(readiness)).toBe(503);
    const [code] = (await once(child, 'exit')) as [number];
    expect(code).toBe(0);
    const lines = output.join('');
    for (const event of [
      'nodeStarted',
      'shutdownStarted',
      'shutdownFinished',
    ]) {
      expect(lines).toContain(`event=${event}`);
    }
    expect(platform.store.keys('zinnia/members/')).toEqual([]);
  });

  // A cache that V8 never accepts would go unnoticed: starts are only slower.
  it('uses its code cache under the flags of the deploy file, and else compiles', async () => {
    const deploy = readFileSync('deploy/system.toml', 'utf8');
    const [, flags = ''] = /run = "node (--.*) target/.exec(deploy) ?? [];
    for (const [used, state] of [
      [flags.split(' '), 'used'],
      [[], 'rejected'],
    ] as const) {
      const {child, output} = start(undefined, used);
      const started = () => output.join('').includes('nodeStarted');
      await expect.poll(started, {timeout: 10_000}).toBe(true);
      expect(output.join('')).toContain(`codeCache=${state}`);
      expect(output.join('')).toMatch(/loadMs=\d+ settingsMs=\d+/);
      child.kill('SIGTERM');
      await once(child, 'exit');
    }
  }, 20_000);

  it('exits with an error that names the invalid settings field', async () => {
    const {child, output} = start(text => text.replace(`ip=${HOST}\n`, ''));
    const [code] = (await once(child, 'exit')) as [number];
    await waitUntil(() => output.length > 0);
    expect(code).toBe(1);
    expect(output.join('')).toMatch(/^ {2}ip: is missing/m);
  });

  it('reloads its settings while it starts', async () => {
    platform.store.faults.silent = true;
    const {child, output} = start();
    const readiness = `http://${HOST}:${PORTS.ready}/readiness`;
    await expect.poll(() => statusOf(readiness), {timeout: 10_000}).toBe(503);
    child.kill('SIGHUP');
    await waitUntil(() => output.join('').includes('settingsReloaded'));
    platform.store.faults.silent = false;
    child.kill('SIGTERM');
    await once(child, 'exit');
  });

  it('keeps its settings if reloaded ones are invalid', async () => {
    const {child, output} = start();
    await waitUntil(() => output.join('').includes('nodeStarted'));
    writeFileSync(join(DIR, 'boot.conf'), 'node_name=node-1\n');
    child.kill('SIGHUP');
    await waitUntil(() => output.join('').includes('settingsRejected'));
    expect(child.exitCode).toBeNull();
    child.kill('SIGTERM');
    await once(child, 'exit');
  });

  // A second signal, or a SIGINT, ended the process at once.
  it.each([
    {signals: ['SIGINT']},
    {signals: ['SIGTERM', 'SIGTERM', 'SIGTERM']},
    {signals: ['SIGTERM', 'SIGINT', 'SIGHUP']},
    {signals: ['SIGINT', 'SIGHUP', 'SIGTERM']},
  ] as const)(
    'stops once and cuts no request on $signals in series',
    async ({signals}) => {
      const {child, output} = start();
      await waitUntil(() => output.join('').includes('nodeStarted'));
      const {client} = await LineClient.open(
        PORTS.callers,
        'own red-key',
        HOST,
      );
      await expect
        .poll(async () => (await client.query('READ a')).end)
        .toMatch(/^DONE/);
      for (const {faults} of platform.group.databases) faults.serviceMs = 40;
      const ends: string[] = [];
      const using = (async () => {
        for (let n = 0; ends.at(-1)?.startsWith('ERROR') !== true; n++)
          ends.push((await client.query(`WRITE a ${n}`)).end);
      })();
      for (const signal of signals) {
        child.kill(signal);
        await sleep(300);
      }
      const [[code]] = await Promise.all([
        once(child, 'exit') as Promise<[number]>,
        using,
      ]);
      for (const {faults} of platform.group.databases) faults.serviceMs = 0;
      expect(code).toBe(0);
      expect(ends.at(-1)).toMatch(/^ERROR BUSY/);
      expect(ends.slice(0, -1).every(end => end.startsWith('DONE'))).toBe(true);
      const lines = output.join('');
      expect(lines.match(/event=shutdownStarted/g)).toHaveLength(1);
      expect(lines.match(/event=shutdownFinished/g)).toHaveLength(1);
      expect(lines).toContain(`trigger=${signals[0]}`);
    },
    15_000,
  );

  it('stops on a signal that arrives while it starts', async () => {
    platform.store.faults.silent = true;
    const {child, output} = start();
    const readiness = `http://${HOST}:${PORTS.ready}/readiness`;
    await expect.poll(() => statusOf(readiness), {timeout: 10_000}).toBe(503);
    child.kill('SIGTERM');
    child.kill('SIGINT');
    const [code] = (await once(child, 'exit')) as [number];
    platform.store.faults.silent = false;
    expect(code).toBe(0);
    expect(output.join('')).toContain('event=shutdownFinished');
  });
});
