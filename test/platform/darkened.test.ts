import {afterEach, describe, expect, it} from 'vitest';
import {LineClient} from './line-client.js';
import {KEY_LIMIT_MS, Platform, sleep} from './fixture.js';

/** Longer than a node may rely on its configuration. */
const SILENCE_MS = KEY_LIMIT_MS + 800;
/** A poll that waits for the store is answered within this time of its return. */
const RETURN_MS = 1_500;
/** A statement may be under way when its key's time is over. */
const UNDER_WAY_MS = 200;

let platform: Platform;
afterEach(() => platform.stop());

describe('a key withdrawn in the last moment before the store goes silent', () => {
  it('serves nobody once its time is over, nor in the moments after the return', async () => {
    platform = await Platform.start(3);
    const clients = await Promise.all(
      [0, 1, 2].map(at => platform.session('now red-key', at)),
    );
    expect((await clients[0]!.query('WRITE a 0')).end).toMatch(/^DONE/);
    platform.configure({version: 2, keys: []});
    platform.store.faults.silent = true;
    const withdrawnAt = Date.now();
    const servedAt: number[] = [];
    const until = withdrawnAt + SILENCE_MS + RETURN_MS;
    const load = clients.map(async (session, at) => {
      let client: LineClient | undefined = session;
      for (let n = 0; Date.now() < until; n++) {
        const sentAt = Date.now();
        const reply = await client
          ?.query(`WRITE a ${n}`)
          .catch(() => undefined);
        if (reply?.end.startsWith('DONE')) servedAt.push(sentAt);
        else {
          const opened = await LineClient.open(
            platform.nodes[at]!.port,
            'now red-key',
          );
          client = opened.hello.startsWith('READY') ? opened.client : undefined;
        }
        await sleep(20);
      }
    });
    await sleep(SILENCE_MS);
    platform.store.faults.silent = false;
    await Promise.all(load);
    const lastServedMs = Math.max(...servedAt) - withdrawnAt;
    expect(lastServedMs).toBeLessThanOrEqual(KEY_LIMIT_MS + UNDER_WAY_MS);
  });
});
