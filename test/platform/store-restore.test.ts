import {afterEach, describe, expect, it} from 'vitest';
import {HttpClient} from '../../platform/http-client.js';
import {PlatformStore} from '../../platform/store.js';
import {KvServer} from '../../standins/kv/server.js';
import {LineClient} from './line-client.js';
import {Platform, sleep, waitUntil} from './fixture.js';

/** Two polls of the store, and a second for the nodes that read from others. */
const SETTLE_MS = 2_000;
const LOAD_MS = 4_000;

let platform: Platform;
afterEach(() => platform.stop());

function countLines(text: string): number {
  return platform.nodes.flatMap(({lines}) =>
    lines.filter(line => line.includes(text)),
  ).length;
}

describe('a store restored from an older copy', () => {
  it('does not make a draining primary serve again', async () => {
    platform = await Platform.start(1, {databases: 1});
    const {primary} = platform.group;
    const client = await platform.session('now red-key');
    const copy = platform.store.takeCopy();
    platform.drain(primary);
    await sleep(SETTLE_MS);
    expect((await client.query('WRITE a 1')).end).toMatch(/^ERROR BUSY/);
    platform.store.restore(copy);
    await sleep(SETTLE_MS);
    expect((await client.query('WRITE a 2')).end).toMatch(/^ERROR BUSY/);
    expect(countLines('event=announcementRejected')).toBeGreaterThan(0);
    expect(countLines('event=storeRestored')).toBe(1);
  });

  it('does not bring back a withdrawn key', async () => {
    platform = await Platform.start(2);
    const copy = platform.store.takeCopy();
    platform.configure({version: 5, keys: []});
    await sleep(SETTLE_MS);
    platform.store.restore(copy);
    const until = Date.now() + SETTLE_MS;
    while (Date.now() < until) {
      for (const {port} of platform.nodes) {
        const {client, hello} = await LineClient.open(port, 'now red-key');
        client.close();
        expect(hello).toMatch(/^ERROR NOAUTH/);
      }
      await sleep(50);
    }
  });

  it('leaves the fencing token rising for the next promotion', async () => {
    platform = await Platform.start(2);
    const copy = platform.store.takeCopy();
    const client = await platform.session('now red-key');
    for (const round of [1, 2]) {
      await platform.group.primary.stop();
      await waitUntil(() => platform.group.tokens.length === round);
      await expect
        .poll(async () => (await client.query(`WRITE a ${round}`)).end, {
          timeout: 5_000,
        })
        .toMatch(/^DONE/);
      if (round === 1) {
        platform.store.restore(copy);
        platform.announceAll();
        await sleep(SETTLE_MS);
      }
    }
    const [first, second] = platform.group.tokens;
    expect(second).toBeGreaterThan(first!);
  });

  it('costs callers nothing while the records of the nodes are missing', async () => {
    platform = await Platform.start(3);
    // Taken before any node had written its record.
    const {items, leases, revision} = platform.store.takeCopy();
    const operators = [...items].filter(([key]) => !key.startsWith('zinnia/'));
    const copy = {items: new Map(operators), leases, revision};
    const clients = await Promise.all(
      [0, 1, 2].map(at => platform.session('own red-key', at)),
    );
    const failures: string[] = [];
    const until = Date.now() + LOAD_MS;
    const load = clients.map(async (client, n) => {
      for (let written = 0; Date.now() < until; written++) {
        const {end} = await client.query(`WRITE k${n} ${written}`);
        if (!end.startsWith('DONE')) failures.push(end);
        await sleep(10);
      }
    });
    await sleep(LOAD_MS / 4);
    platform.store.restore(copy);
    await sleep(LOAD_MS / 8);
    platform.store.restore(copy);
    await Promise.all(load);
    expect(failures).toEqual([]);
    expect(platform.store.keys('zinnia/members/')).toHaveLength(3);
  });
});

describe('a store that gives no usable era', () => {
  it('is not believed: the answer counts as lost', async () => {
    platform = await Platform.start(1);
    const server = await KvServer.start();
    server.put('k', 'v');
    const store = new PlatformStore(
      new HttpClient({host: '127.0.0.1', port: server.port}),
    );
    expect((await store.list('')).asOf.era).toBe(0);
    for (const era of ['-1', '1.5', 'soon', '']) {
      server.eraHeader = era;
      await expect(store.list('')).rejects.toThrow(/must be a whole number/);
      await expect(store.swap('k', 0, 'w')).rejects.toMatchObject({
        kind: 'unknown',
      });
    }
    await server.stop();
  });
});
