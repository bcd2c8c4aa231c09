import {readFileSync, writeFileSync} from 'node:fs';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {LineClient} from './line-client.js';
import {Platform, sleep, waitUntil} from './fixture.js';
import {
  bundleProgram,
  hostOf,
  NodeProcess,
  PORTS,
  type NodeProcessOptions,
} from './node-process.js';

const HOST = hostOf(0);

let platform: Platform;
let program: string;
beforeAll(async () => {
  program = bundleProgram();
  platform = await Platform.start(0);
});
afterAll(() => platform.stop());

function start(options: Omit<NodeProcessOptions, 'platform'> = {}) {
  return new NodeProcess(program, {platform, ...options});
}

describe('the bundled program', () => {
  it('serves callers, probes and metrics, and stops gracefully on SIGTERM', async () => {
    const node = start();
    await expect.poll(() => node.readiness(), {timeout: 10_000}).toBe(200);
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
    node.kill('SIGTERM');
    await expect.poll(() => node.readiness()).toBe(503);
    const code = await node.exited();
    expect(code).toBe(0);
    const lines = node.text;
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
      const node = start({flags: used});
      const started = () => node.text.includes('nodeStarted');
      await expect.poll(started, {timeout: 10_000}).toBe(true);
      expect(node.text).toContain(`codeCache=${state}`);
      expect(node.text).toMatch(/loadMs=\d+ settingsMs=\d+/);
      node.kill('SIGTERM');
      await node.exited();
    }
  }, 20_000);

  it('exits with an error that names the invalid settings field', async () => {
    const node = start({
      changes: text => text.replace(`ip=${HOST}\n`, ''),
    });
    const code = await node.exited();
    await waitUntil(() => node.output.length > 0);
    expect(code).toBe(1);
    expect(node.text).toMatch(/^ {2}ip: is missing/m);
  });

  it('reloads its settings while it starts', async () => {
    platform.store.faults.silent = true;
    const node = start();
    await expect.poll(() => node.readiness(), {timeout: 10_000}).toBe(503);
    node.kill('SIGHUP');
    await waitUntil(() => node.text.includes('settingsReloaded'));
    platform.store.faults.silent = false;
    node.kill('SIGTERM');
    await node.exited();
  });

  it('keeps its settings if reloaded ones are invalid', async () => {
    const node = start();
    await waitUntil(() => node.text.includes('nodeStarted'));
    writeFileSync(node.settingsPath, 'node_name=node-1\n');
    node.kill('SIGHUP');
    await waitUntil(() => node.text.includes('settingsRejected'));
    expect(node.isRunning).toBe(true);
    node.kill('SIGTERM');
    await node.exited();
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
      const node = start();
      await waitUntil(() => node.text.includes('nodeStarted'));
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
        node.kill(signal);
        await sleep(300);
      }
      const [code] = await Promise.all([node.exited(), using]);
      for (const {faults} of platform.group.databases) faults.serviceMs = 0;
      expect(code).toBe(0);
      expect(ends.at(-1)).toMatch(/^ERROR BUSY/);
      expect(ends.slice(0, -1).every(end => end.startsWith('DONE'))).toBe(true);
      const lines = node.text;
      expect(lines.match(/event=shutdownStarted/g)).toHaveLength(1);
      expect(lines.match(/event=shutdownFinished/g)).toHaveLength(1);
      expect(lines).toContain(`trigger=${signals[0]}`);
    },
    15_000,
  );

  it('stops on a signal that arrives while it starts', async () => {
    platform.store.faults.silent = true;
    const node = start();
    await expect.poll(() => node.readiness(), {timeout: 10_000}).toBe(503);
    node.kill('SIGTERM');
    node.kill('SIGINT');
    const code = await node.exited();
    platform.store.faults.silent = false;
    expect(code).toBe(0);
    expect(node.text).toContain('event=shutdownFinished');
  });

  // A write to the closed pipe ended the process, with the requests of all callers.
  it('goes on, and stops regularly, once nobody reads its log', async () => {
    const node = start();
    await waitUntil(() => node.text.includes('nodeStarted'));
    const {client} = await LineClient.open(PORTS.callers, 'own red-key', HOST);
    await expect
      .poll(async () => (await client.query('READ a')).end)
      .toMatch(/^DONE/);
    node.child.stdout?.destroy();
    for (let n = 0; n < 10; n++) {
      const refused = await LineClient.open(PORTS.callers, `no-${n} x`, HOST);
      expect(refused.hello).toMatch(/^ERROR NODB/);
    }
    expect((await client.query('WRITE a 1')).end).toMatch(/^DONE/);
    node.kill('SIGTERM');
    expect(await node.exited()).toBe(0);
  });
});
