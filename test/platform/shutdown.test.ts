import {afterEach, describe, expect, it} from 'vitest';
import type {LineClient} from './line-client.js';
import {GRACE_MS, Platform, sleep, type RunningNode} from './fixture.js';

/** Work of a statement, long enough that most polls find a session busy. */
const STATEMENT_MS = 60;
const SESSIONS = 8;

let platform: Platform;
afterEach(() => platform.stop());

/** What a caller saw of its requests. */
interface CallerRecord {
  /** Requests whose answer did not arrive before the connection closed. */
  cut: number;
  done: number;
  /** Requests answered by an ERROR, by code. */
  readonly errors: Map<string, number>;
  /** Writes acknowledged, by their text. */
  readonly acknowledged: Set<string>;
  /** Writes refused by a promise that nothing of them is kept. */
  readonly refused: Set<string>;
}

/** Requests sent at once; together they take longer than the grace period. */
const AHEAD = 40;

const PROMISES = new Set(['BUSY', 'ABORTED']);

function createRecord(): CallerRecord {
  return {
    cut: 0,
    done: 0,
    errors: new Map(),
    acknowledged: new Set(),
    refused: new Set(),
  };
}

/** Sends a statement and records its outcome; undefined once it was cut. */
async function run(client: LineClient, text: string, record: CallerRecord) {
  const reply = await client.query(text).catch(() => undefined);
  if (reply === undefined) record.cut += 1;
  else if (reply.end.startsWith('DONE')) {
    record.done += 1;
    record.acknowledged.add(text);
  } else {
    const [, code = ''] = reply.end.split(' ');
    record.errors.set(code, (record.errors.get(code) ?? 0) + 1);
    if (PROMISES.has(code)) record.refused.add(text);
  }
  return reply;
}

/** A caller that uses its session without a pause until it is closed. */
type Caller = (
  client: LineClient,
  name: string,
  record: CallerRecord,
) => Promise<void>;

const CALLERS: readonly (readonly [string, string, Caller])[] = [
  [
    'reads',
    'recent',
    async (client, _, record) => {
      for (;;) {
        const reply = await run(client, 'READ a', record);
        if (!reply?.end.startsWith('DONE')) return;
      }
    },
  ],
  [
    'writes',
    'own',
    async (client, name, record) => {
      for (let n = 0; ; n++) {
        const reply = await run(client, `WRITE ${name} ${n}`, record);
        if (!reply?.end.startsWith('DONE')) return;
      }
    },
  ],
  [
    'transactions',
    'now',
    async (client, name, record) => {
      for (let n = 0; ; n++) {
        const texts = ['BEGIN', `WRITE ${name} ${n}`, 'READ a', 'COMMIT'];
        for (const text of texts) {
          const reply = await run(client, text, record);
          if (!reply?.end.startsWith('DONE')) return;
        }
      }
    },
  ],
  [
    'statements of one transaction',
    'now',
    async (client, name, record) => {
      if ((await run(client, 'BEGIN', record)) === undefined) return;
      for (let n = 0; ; n++) {
        const reply = await run(client, `WRITE ${name} ${n}`, record);
        if (reply?.state === 'T') continue;
        if (reply?.state === 'E') await run(client, 'ROLLBACK', record);
        return;
      }
    },
  ],
  [
    'prepared statements',
    'own',
    async (client, name, record) => {
      await run(client, 'PREPARE s WRITE shape', record);
      for (let n = 0; ; n++) {
        const reply = await run(client, `EXECUTE s ${name} ${n}`, record);
        if (!reply?.end.startsWith('DONE')) return;
      }
    },
  ],
];

/** Opens sessions at a node, uses them while it stops, and returns the record. */
async function useWhileStopping(
  {id, node, callers}: RunningNode,
  route: string,
  use: Caller,
): Promise<CallerRecord> {
  const record = createRecord();
  const at = platform.nodes.findIndex(each => each.id === id);
  const running: Promise<void>[] = [];
  for (let n = 0; n < SESSIONS; n++) {
    const client = await platform.session(`${route} red-key`, at);
    running.push(use(client, `item${n}`, record));
    // Spreads the answers over the period of the polls.
    await sleep(STATEMENT_MS / SESSIONS);
  }
  await sleep(300);
  await node.shutDown(callers);
  await Promise.all(running);
  platform.nodes.splice(at, 1);
  return record;
}

/** Whether the stopping node is the home of the group. */
const PLACES = [
  ['the home', true],
  ['another node', false],
] as const;

describe('a node that stops', () => {
  // Sessions were closed only if a poll found them idle.
  for (const [kind, route, use] of CALLERS) {
    it.each(PLACES)(
      `cuts no request of callers that send ${kind} without a pause, at %s`,
      async (_, isHome) => {
        platform = await startSlowPlatform();
        const home = await findHome();
        const node = platform.nodes[isHome ? home : 1 - home]!;
        const record = await useWhileStopping(node, route, use);
        expect(record.cut).toBe(0);
        expect(record.done).toBeGreaterThan(SESSIONS);
        expect(
          [...record.errors.keys()].filter(code => !PROMISES.has(code)),
        ).toEqual([]);
        expectPromisesKept(record);
      },
    );
  }

  it('answers what a caller sent ahead before it closes its session', async () => {
    platform = await startSlowPlatform();
    const {node, callers} = platform.nodes[0]!;
    const client = await platform.session('own red-key', 0);
    const stopped = node.shutDown(callers);
    await sleep(GRACE_MS / 3);
    for (let n = 0; n < AHEAD; n++)
      client.send(`QUERY ahead-${n} WRITE a ${n}`);
    const ends: string[] = [];
    for (;;) {
      const line = await client.nextLine();
      if (line === undefined) break;
      if (!line.startsWith('READY')) ends.push(line);
    }
    await stopped;
    platform.nodes.shift();
    expect(ends).toHaveLength(AHEAD);
    const done = ends.filter(end => end.startsWith('DONE')).length;
    expect(done).toBeGreaterThan(0);
    expect(ends.slice(done).every(end => end.startsWith('ERROR BUSY'))).toBe(
      true,
    );
    const ran = platform.group.primary.runs.filter(({id}) =>
      id.startsWith('ahead'),
    );
    expect(ran).toHaveLength(done);
  });

  it('waits for the rest of a request, then refuses it without running it', async () => {
    platform = await Platform.start(2);
    const {node, callers} = platform.nodes[0]!;
    const client = await platform.session('own red-key', 0);
    client.sendBytes('QUERY parts WRITE a ');
    const stopped = node.shutDown(callers);
    await sleep(GRACE_MS / 2 + 200);
    client.sendBytes('1\r\n');
    expect(await client.nextLine()).toMatch(/^ERROR BUSY retry_after_ms=0 /);
    expect(await client.nextLine()).toBe('READY I -');
    expect(await client.nextLine()).toBeUndefined();
    await stopped;
    platform.nodes.shift();
    expect(platform.group.primary.runs).toEqual([]);
  });

  it('answers a statement that still runs at the end as unknown', async () => {
    platform = await Platform.start(2, {}, {timeoutMs: 2 * GRACE_MS});
    setStatementMs(platform, 2 * GRACE_MS);
    const {node, callers} = platform.nodes[0]!;
    const client = await platform.session('own red-key', 0);
    const answer = client.query('WRITE a 1');
    await sleep(100);
    await node.shutDown(callers);
    expect((await answer).end).toMatch(/^ERROR UNKNOWN .*shut/);
    platform.nodes.shift();
  });

  it('sends a large answer whole to a caller that reads slowly', async () => {
    platform = await Platform.start(2);
    const {node, callers} = platform.nodes[0]!;
    const client = await platform.session('own red-key', 0);
    const data = 'x'.repeat(1_000_000);
    await client.query(`WRITE a ${data}`);
    client.pause();
    for (let n = 0; n < 12; n++) client.send(`QUERY slow-${n} READ a`);
    await sleep(500);
    const stopped = node.shutDown(callers);
    await sleep(GRACE_MS / 2);
    client.resume();
    for (let n = 0; n < 12; n++) {
      expect(await client.nextLine()).toBe(`ROW ${data}`);
      expect(await client.nextLine()).toMatch(/^DONE/);
      expect(await client.nextLine()).toBe('READY I -');
    }
    await stopped;
    platform.nodes.shift();
  });

  it('is stopped once, however often it is asked to', async () => {
    platform = await startSlowPlatform();
    const {node, callers} = platform.nodes[0]!;
    const client = await platform.session('own red-key', 0);
    const record = createRecord();
    const using = CALLERS[1]![2](client, 'item', record);
    let ended = 0;
    const stops = [0, 100, 700, GRACE_MS / 2 + 100].map(async delayMs => {
      await sleep(delayMs);
      await node.shutDown(callers);
      ended += 1;
    });
    await sleep(GRACE_MS / 3);
    expect(ended).toBe(0);
    await Promise.all(stops);
    await using;
    platform.nodes.shift();
    expect(record.cut).toBe(0);
  });
});

async function startSlowPlatform(): Promise<Platform> {
  const started = await Platform.start(2);
  setStatementMs(started, STATEMENT_MS);
  return started;
}

function setStatementMs({group}: Platform, statementMs: number): void {
  for (const {faults} of group.databases) faults.serviceMs = statementMs;
}

/** Returns the index of the node that is the group's home. */
async function findHome(): Promise<number> {
  const client = await platform.session('now red-key');
  await client.query('WRITE a 0');
  client.close();
  return platform.nodes.findIndex(({lines}) =>
    lines.some(
      line =>
        line.includes('event=homeOpened') && line.includes('isFirst=true'),
    ),
  );
}

/** Checks that promises are true: nothing refused was committed. */
function expectPromisesKept({refused}: CallerRecord): void {
  const committed = new Set(
    platform.group.primary.commits.flatMap(({writes}) =>
      writes.map(([item, data]) => `${item} ${data}`),
    ),
  );
  for (const text of refused) {
    const write = /^(?:WRITE|EXECUTE s) (.*)$/.exec(text)?.[1];
    if (write !== undefined) expect(committed).not.toContain(write);
  }
}
