import {afterEach, describe, expect, it} from 'vitest';
import {LineClient} from './line-client.js';
import {GRACE_MS, KEY_LIMIT_MS, Platform, sleep, waitUntil} from './fixture.js';

/** Long enough for a statement to reach a database before the database runs it. */
const SERVICE_MS = 200;

let platform: Platform;
afterEach(() => platform.stop());

describe('database failures', () => {
  it('a primary that died is replaced under a rising token', async () => {
    platform = await Platform.start(2);
    const client = await platform.session('now red-key');
    await client.query('WRITE a 1');
    await sleep(50);
    for (const round of [1, 2]) {
      await platform.group.primary.stop();
      await waitUntil(() => platform.group.tokens.length === round);
      await waitUntil(() => platform.group.databases.some(d => d.isPrimary));
      await expect
        .poll(async () => (await client.query(`WRITE a ${round + 1}`)).end, {
          timeout: 5_000,
        })
        .toMatch(/^DONE/);
      await sleep(50);
    }
    const {tokens} = platform.group;
    expect(tokens.toSorted((a, b) => a - b)).toEqual(tokens);
    expect(new Set(tokens).size).toBe(tokens.length);
  });

  it('an unresponsive primary is replaced and its pending write fails as uncertain', async () => {
    platform = await Platform.start(2);
    const client = await platform.session('now red-key');
    await client.query('WRITE a 1');
    const {faults} = platform.group.primary;
    faults.serviceMs = SERVICE_MS;
    const startedAt = Date.now();
    const pending = client.query('WRITE a 2');
    // It has been sent by then, whatever else uses the connection.
    await sleep(SERVICE_MS / 2);
    faults.unresponsive = true;
    expect((await pending).end).toMatch(/^ERROR UNKNOWN/);
    await waitUntil(() => platform.group.tokens.length === 1);
    expect(Date.now() - startedAt).toBeLessThan(2_000);
  });

  it('a new primary serves although its log ends in the old term, and the old one stays silent', async () => {
    platform = await Platform.start(2);
    const client = await platform.session('now red-key');
    await client.query('WRITE a 1');
    await client.query('READ a');
    platform.group.primary.faults.unresponsive = true;
    const reads = await platform.session('now red-key', 1);
    await waitUntil(() => platform.group.tokens.length === 1);
    const promotedAt = Date.now();
    const isServed = async () => (await reads.query('READ a')).end;
    await expect.poll(isServed, {timeout: 4_000}).toMatch(/^DONE/);
    for (let n = 0; n < 20; n++) {
      expect(await isServed()).toMatch(/^DONE/);
    }
    expect(Date.now() - promotedAt).toBeLessThan(1_000);
    expect(platform.group.tokens).toHaveLength(1);
  });

  it('a read on a lagging replica never shows too old a state', async () => {
    platform = await Platform.start(2, {lagMs: 1_500});
    const writer = await platform.session('now red-key');
    const reader = await platform.session('recent red-key', 1);
    const written: {at: number; value: number}[] = [];
    const until = Date.now() + 4_000;
    let reads = 0;
    while (Date.now() < until) {
      await writer.query(`WRITE a ${written.length}`);
      written.push({at: Date.now(), value: written.length});
      const sentAt = Date.now();
      const {rows, end} = await reader.query('READ a');
      if (!end.startsWith('DONE')) continue;
      reads += 1;
      const oldestAllowed =
        written.findLast(({at}) => at < sentAt - 1_000)?.value ?? 0;
      expect(Number(rows[0] ?? 0)).toBeGreaterThanOrEqual(oldestAllowed);
    }
    expect(reads).toBeGreaterThan(50);
  });

  it('no statement of a transaction runs outside it where its beginning is refused', async () => {
    platform = await Platform.start(1, {lagMs: 60_000});
    const client = await platform.session('own red-key');
    for (let n = 0; n < 10; n++) {
      await client.query(`WRITE a ${n}`);
      await client.query('BEGIN READ');
      const {rows, end} = await client.query('READ a');
      expect({rows, end: end.slice(0, 4)}).toEqual({
        rows: [`${n}`],
        end: 'DONE',
      });
      await client.query('COMMIT');
    }
    const reads = platform.group.databases
      .flatMap(({runs}) => runs)
      .filter(({text}) => text === 'READ a');
    expect(reads.filter(({transaction}) => transaction === 0)).toEqual([]);
  });

  it('a write without an answer is not called "not run", and is not repeated', async () => {
    platform = await Platform.start(1);
    const client = await platform.session('now red-key');
    await client.query('WRITE a 1');
    platform.group.primary.faults.loseAnswers = true;
    const {end} = await client.query('WRITE a 2');
    expect(end).toMatch(/^ERROR UNKNOWN/);
    const runs = platform.group.databases.flatMap(database => database.runs);
    expect(runs.filter(({text}) => text === 'WRITE a 2')).toHaveLength(1);
  });
});

describe('keys and configuration', () => {
  it('a withdrawn key stops within a poll, in an open session too', async () => {
    platform = await Platform.start(2);
    const client = await platform.session('now red-key', 1);
    await client.query('WRITE a 1');
    platform.configure({version: 2, keys: []});
    await sleep(300);
    expect((await client.query('WRITE a 2')).end).toMatch(/^ERROR NOAUTH/);
    expect(platform.group.primary.latestValueOf('a')).toBe('1');
  });

  it('keyed work stops on a node that can not prove its configuration', async () => {
    platform = await Platform.start(1);
    const client = await platform.session('now red-key');
    const open = await platform.session('open');
    await client.query('WRITE a 1');
    platform.store.faults.silent = true;
    await sleep(KEY_LIMIT_MS + 200);
    expect((await client.query('WRITE a 2')).end).toMatch(/^ERROR BUSY/);
    expect((await open.query('READ a')).end).toMatch(/^DONE/);
    expect(platform.nodes[0]!.node.isReady).toBe(false);
    platform.store.faults.silent = false;
    await waitUntil(() => platform.nodes[0]!.node.isReady);
    const again = await platform.session('now red-key');
    expect((await again.query('WRITE a 3')).end).toMatch(/^DONE/);
  });

  it('a change that a muted poll passed over is found', async () => {
    platform = await Platform.start(1);
    platform.store.faults.muted = true;
    platform.configure({version: 2, keys: []});
    await sleep(1_200);
    platform.store.compact();
    platform.store.faults.muted = false;
    await expect
      .poll(
        async () => {
          const {port} = platform.nodes[0]!;
          const {client, hello} = await LineClient.open(port, 'now red-key');
          client.close();
          return hello;
        },
        {timeout: 2_500},
      )
      .toMatch(/^ERROR NOAUTH/);
  });

  it('a rate limit holds across all nodes, and a lowered one takes effect at once', async () => {
    platform = await Platform.start(3, {}, {rate: 40, burst: 20});
    const clients = await Promise.all(
      [0, 1, 2].map(at => platform.session('own red-key', at)),
    );
    const flood = async (ms: number) => {
      const until = Date.now() + ms;
      let done = 0;
      await Promise.all(
        clients.map(async client => {
          while (Date.now() < until) {
            const {end} = await client.query('READ a');
            if (end.startsWith('DONE')) done += 1;
          }
        }),
      );
      return done;
    };
    const first = await flood(2_000);
    expect(first).toBeLessThanOrEqual(40 * 2 + 20 + 10);
    expect(first).toBeGreaterThanOrEqual(40 * 2 * 0.8);
    platform.configure({version: 2, rate: 10, burst: 5});
    await sleep(300);
    const second = await flood(2_000);
    expect(second).toBeLessThanOrEqual(10 * 2 + 5 + 5);
  });
});

describe('node shutdown', () => {
  it('a graceful stop cuts no request and gives transactions half of the grace', async () => {
    platform = await Platform.start(2);
    const {node, callers} = platform.nodes[0]!;
    const busy = await platform.session('now red-key', 0);
    const idle = await platform.session('now red-key', 0);
    await busy.query('BEGIN');
    await busy.query('WRITE a 1');
    let cutRequests = 0;
    let done = 0;
    const worker = await platform.session('own red-key', 0);
    const working = (async () => {
      for (;;) {
        try {
          const {end} = await worker.query(`WRITE b ${done}`);
          if (end.startsWith('DONE')) done += 1;
        } catch (err) {
          // Only a close in the middle of a reply cuts a request.
          if (!String(err).includes('closed after ""')) cutRequests += 1;
          return;
        }
        await sleep(20);
      }
    })();
    const stopped = node.shutDown(callers);
    await sleep(GRACE_MS / 3);
    expect((await busy.query('COMMIT')).end).toMatch(/^DONE/);
    expect(await idle.nextLine()).toBeUndefined();
    await stopped;
    await working;
    expect(cutRequests).toBe(0);
    expect(done).toBeGreaterThan(20);
    expect(platform.group.primary.latestValueOf('a')).toBe('1');
    platform.nodes.shift();
  });

  it('a home that stops without a handover is replaced by the next candidate', async () => {
    platform = await Platform.start(3);
    const findHome = () =>
      platform.nodes.findIndex(({lines}) =>
        lines.some(line => line.includes('event=homeOpened')),
      );
    await waitUntil(() => findHome() >= 0);
    const homeIndex = findHome();
    const other = (homeIndex + 1) % 3;
    const client = await platform.session('own red-key', other);
    await client.query('WRITE a 1');
    await platform.nodes[homeIndex]!.node.stop();
    const startedAt = Date.now();
    await expect
      .poll(async () => (await client.query('WRITE a 2')).end, {timeout: 5_000})
      .toMatch(/^DONE/);
    expect(Date.now() - startedAt).toBeLessThan(2_000);
    platform.nodes.splice(homeIndex, 1);
  });
});

describe('idle transactions', () => {
  it('are rolled back after the configured time', async () => {
    platform = await Platform.start(1, {}, {idleMs: 500});
    const client = await platform.session('now red-key');
    await client.query('BEGIN');
    await client.query('WRITE a 1');
    await sleep(2_200);
    expect(await client.query('WRITE a 2')).toMatchObject({state: 'E'});
    expect(platform.group.primary.commits).toHaveLength(0);
  });
});
