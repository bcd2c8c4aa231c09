import {afterEach, describe, expect, it} from 'vitest';
import type {LineDatabase} from '../../standins/lines/database.js';
import {EVACUATE_MS, Platform, sleep, waitUntil} from './fixture.js';
import {WriteLoad} from './write-load.js';

const DATA_CENTRES = ['hobart', 'launceston', 'burnie'];
const [HOBART, LAUNCESTON, BURNIE] = DATA_CENTRES as [string, string, string];
/** How long requests are looked for after the bound. */
const OBSERVATION_MS = 1_000;
/** Two polls of the store and one of a watcher. */
const LEARN_MS = 2_000;
const REFUSAL_MS = 300;

let platform: Platform;
afterEach(() => platform.stop());

/** A data centre's database; the test platform has one in each. */
function databaseIn(dataCentre: string): LineDatabase {
  return platform.group.databases[DATA_CENTRES.indexOf(dataCentre)]!;
}

/** Lines that a data centre's database got from a time on. */
function requestsSince(dataCentre: string, since: number): readonly string[] {
  return databaseIn(dataCentre)
    .requests.filter(({at}) => at >= since)
    .map(({line}) => line);
}

function countLines(text: string): number {
  return platform.nodes.flatMap(({lines}) =>
    lines.filter(line => line.includes(text)),
  ).length;
}

/** Requests an evacuation; returns the time of its bound. */
function evacuate(dataCentre: string): number {
  platform.evacuate(dataCentre);
  return Date.now() + EVACUATE_MS;
}

/** Waits until a database outside a data centre leads. */
async function waitForPrimaryOutside(...dataCentres: readonly string[]) {
  const excluded = dataCentres.map(databaseIn);
  const find = () =>
    platform.group.databases.find(
      database => database.isPrimary && !excluded.includes(database),
    );
  await waitUntil(() => find() !== undefined);
  return find()!;
}

async function sleepUntil(at: number): Promise<void> {
  await sleep(Math.max(0, at - Date.now()));
}

/** Checks that every acknowledged write, and no write twice, is in the log. */
function expectNothingLost({replies}: WriteLoad): void {
  const done = replies.filter(reply => reply.startsWith('DONE')).length;
  const unknown = replies.filter(reply => reply.includes('UNKNOWN')).length;
  const {length} = platform.group.newestPrimary.commits;
  expect(length).toBeGreaterThanOrEqual(done);
  expect(length).toBeLessThanOrEqual(done + unknown);
  expect(done).toBeGreaterThan(100);
}

describe('the evacuation of the data centre of a primary under load', () => {
  it('loses nothing, sends nothing there after the bound, and can be taken back', async () => {
    platform = await Platform.start(3, {
      dataCentres: DATA_CENTRES,
      lagMs: 20,
      promoteMs: 300,
    });
    const load = await WriteLoad.start(platform);
    const reader = await platform.session('recent red-key');
    await sleep(300);
    const bound = evacuate(HOBART);
    await waitForPrimaryOutside(HOBART);
    expect(Date.now()).toBeLessThan(bound);
    await sleepUntil(bound + OBSERVATION_MS);
    expect((await reader.query('READ a')).end).toMatch(/^DONE/);
    expect(requestsSince(HOBART, bound)).toEqual([]);
    platform.restore(HOBART);
    const served = async () => (await reader.query('READ a')).end;
    await expect.poll(served, {timeout: 5_000}).toMatch(/^DONE claims-0/);
    await load.stop();
    expectNothingLost(load);
    expect(load.replies).toEqual(
      load.replies.map(() => expect.stringMatching(/^DONE|^ERROR BUSY retry/)),
    );
  });

  it('may be repeated for one data centre after the other, until none is left', async () => {
    platform = await Platform.start(3, {dataCentres: DATA_CENTRES, lagMs: 20});
    const load = await WriteLoad.start(platform);
    const first = evacuate(HOBART);
    const successor = await waitForPrimaryOutside(HOBART);
    const next = successor === databaseIn(BURNIE) ? BURNIE : LAUNCESTON;
    const second = evacuate(next);
    const last = await waitForPrimaryOutside(HOBART, next);
    await sleepUntil(second + OBSERVATION_MS);
    await load.stop();
    expectNothingLost(load);
    const third = evacuate(next === BURNIE ? LAUNCESTON : BURNIE);
    await sleepUntil(third);
    expect(requestsSince(HOBART, first)).toEqual([]);
    expect(requestsSince(next, second)).toEqual([]);
    for (const route of ['now', 'recent']) {
      const client = await platform.session(`${route} red-key`, 1);
      const sentAt = Date.now();
      const {end} = await client.query('READ a');
      expect(end).toMatch(/^ERROR BUSY retry_after_ms=\d+ /);
      expect(end).toContain(DATA_CENTRES.toSorted().join(', '));
      expect(Date.now() - sentAt).toBeLessThan(REFUSAL_MS);
    }
    await sleep(OBSERVATION_MS);
    expect(requestsSince(HOBART, third)).toEqual([]);
    expect(platform.group.primary).toBe(last);
    expect(last.requests.filter(({at}) => at >= third)).toEqual([]);
    expect(countLines('event=statementGivenUp')).toBeGreaterThan(0);
    platform.restore(next);
    const writer = await platform.session('now red-key');
    const written = async () => (await writer.query('WRITE b 1')).end;
    await expect.poll(written, {timeout: 8_000}).toMatch(/^DONE/);
    expect(platform.group.primary).toBe(databaseIn(next));
  });

  it('rolls open transactions back by the bound and says so', async () => {
    platform = await Platform.start(1, {databases: 1});
    const client = await platform.session('now red-key');
    const committing = await platform.session('now red-key');
    for (const session of [client, committing]) {
      await session.query('BEGIN');
      expect((await session.query('WRITE a 1')).end).toMatch(/^DONE/);
    }
    const bound = evacuate(HOBART);
    await waitUntil(() => countLines('event=evacuatedTransactionEnded') === 2);
    expect(Date.now()).toBeLessThan(bound);
    const {end, state} = await client.query('WRITE a 2');
    expect(end).toMatch(/^ERROR ABORTED .*rolled back.*hobart is evacuated/);
    expect(state).toBe('E');
    expect((await committing.query('COMMIT')).end).toMatch(/^ERROR ABORTED/);
    await sleepUntil(bound + OBSERVATION_MS);
    expect(requestsSince(HOBART, bound)).toEqual([]);
    expect(databaseIn(HOBART).commits).toEqual([]);
  });
});

describe('an evacuation during which something fails', () => {
  it('refuses statements from the bound on while the store is silent', async () => {
    platform = await Platform.start(3, {dataCentres: DATA_CENTRES});
    const writer = await platform.session('open', 1);
    expect((await writer.query('WRITE a 1')).end).toMatch(/^DONE/);
    // No order can be recorded, although every node learns of the request.
    platform.store.faults.loseWriteResponses = true;
    const bound = evacuate(HOBART);
    await waitUntil(() => countLines('event=evacuationBegan') === 3);
    platform.store.faults.silent = true;
    platform.store.faults.loseWriteResponses = false;
    await sleepUntil(bound);
    const sentAt = Date.now();
    const {end} = await writer.query('WRITE a 2');
    expect(end).toMatch(/^ERROR BUSY retry_after_ms=\d+ .*hobart is evacuated/);
    expect(Date.now() - sentAt).toBeLessThan(2 * REFUSAL_MS);
    await sleep(OBSERVATION_MS);
    expect(requestsSince(HOBART, bound)).toEqual([]);
    expect(platform.group.tokens).toEqual([]);
    platform.store.faults.silent = false;
    await waitForPrimaryOutside(HOBART);
    const written = async () => (await writer.query('WRITE a 3')).end;
    await expect.poll(written, {timeout: 8_000}).toMatch(/^DONE/);
    expect(requestsSince(HOBART, bound)).toEqual([]);
  });

  it('is completed by another node if the one that orders is killed', async () => {
    platform = await Platform.start(3, {dataCentres: DATA_CENTRES, lagMs: 20});
    const load = await WriteLoad.start(platform);
    let killed = 0;
    for (const node of platform.nodes) {
      const push = node.lines.push.bind(node.lines);
      node.lines.push = (...lines) => {
        const isOrder = lines.some(line => line.includes('orderRecorded'));
        if (isOrder && ++killed === 1) void node.kill();
        return push(...lines);
      };
    }
    const bound = evacuate(HOBART);
    const successor = await waitForPrimaryOutside(HOBART);
    await sleepUntil(bound + OBSERVATION_MS);
    expect(killed).toBeGreaterThan(1);
    expect(requestsSince(HOBART, bound)).toEqual([]);
    const alive = platform.nodes.findIndex(({store}) => !store.isKilled);
    const client = await platform.session('now red-key', alive);
    const written = async () => (await client.query('WRITE b 1')).end;
    await expect.poll(written, {timeout: 8_000}).toMatch(/^DONE/);
    expect(platform.group.primary).toBe(successor);
    await load.stop();
    const done = load.replies.filter(reply => reply.startsWith('DONE'));
    expect(successor.commits.length).toBeGreaterThanOrEqual(done.length);
  });

  it('outlasts a store restored from a copy without the key', async () => {
    platform = await Platform.start(3, {dataCentres: DATA_CENTRES, lagMs: 20});
    const copy = platform.store.takeCopy();
    const load = await WriteLoad.start(platform);
    const reader = await platform.session('recent red-key');
    const bound = evacuate(HOBART);
    await waitForPrimaryOutside(HOBART);
    await sleepUntil(bound);
    platform.store.restore(copy);
    platform.announceAll();
    await waitUntil(() => countLines('event=evacuationMissing') === 3);
    // It starts from the copy, and learns what that lacks from the others.
    await platform.addNode();
    expect(countLines('event=evacuationMissing')).toBe(4);
    platform.evacuate(HOBART);
    await sleep(LEARN_MS);
    expect(countLines('event=evacuationEnded')).toBe(0);
    expect(requestsSince(HOBART, bound)).toEqual([]);
    platform.store.restore(copy);
    platform.announceAll();
    const served = async () => (await reader.query('READ a')).end;
    await expect.poll(served, {timeout: 10_000}).toMatch(/^DONE claims-0/);
    expect(countLines('reason=missingAfterRestore')).toBeGreaterThan(0);
    await load.stop();
    expectNothingLost(load);
  });
});
