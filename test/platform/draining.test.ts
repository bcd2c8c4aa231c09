import {afterEach, describe, expect, it} from 'vitest';
import type {LineDatabase} from '../../standins/lines/database.js';
import type {LineClient} from './line-client.js';
import {DRAIN_MS, Platform, sleep, waitUntil} from './fixture.js';

const OBSERVATION_MS = 1_500;
const WRITE_PAUSE_MS = 10;
const DATA_CENTRES = ['hobart', 'launceston', 'burnie'];

let platform: Platform;
afterEach(() => platform.stop());

/** Writes until stopped; returns the function that stops it. */
function startWriting(client: LineClient): () => Promise<void> {
  let isStopped = false;
  const done = (async () => {
    for (let n = 0; !isStopped; n++) {
      await client.query(`WRITE a ${n}`);
      await sleep(WRITE_PAUSE_MS);
    }
  })();
  return () => {
    isStopped = true;
    return done;
  };
}

/** Statements of callers that a database has run. */
function countRuns({runs}: LineDatabase): number {
  return runs.filter(({id}) => id !== '-').length;
}

/** Waits for a primary other than the given ones. */
async function waitForPrimary(
  ...old: readonly LineDatabase[]
): Promise<LineDatabase> {
  const find = () =>
    platform.group.databases.find(
      database => database.isPrimary && !old.includes(database),
    );
  await waitUntil(() => find() !== undefined);
  return find()!;
}

describe('draining databases', () => {
  it('a primary that drains right after its promotion is replaced and gets no statement after the drain time', async () => {
    platform = await Platform.start(3, {dataCentres: DATA_CENTRES});
    const client = await platform.session('now red-key');
    const stop = startWriting(client);
    const first = platform.group.primary;
    platform.drain(first);
    const second = await waitForPrimary(first);
    // Long enough for the home to follow the primary to its data centre.
    await sleep(300);
    platform.drain(second);
    await sleep(DRAIN_MS);
    const runsAtLimit = countRuns(second);
    await sleep(OBSERVATION_MS);
    await stop();
    expect(countRuns(second)).toBe(runsAtLimit);
    expect([first, second]).not.toContain(platform.group.primary);
    expect((await client.query('WRITE b 1')).end).toMatch(/^DONE/);
  });

  it('a draining primary without a successor gets no statement after the drain time', async () => {
    platform = await Platform.start(1, {databases: 1});
    const client = await platform.session('now red-key');
    const stop = startWriting(client);
    const {primary} = platform.group;
    platform.drain(primary);
    await sleep(DRAIN_MS);
    const runsAtLimit = countRuns(primary);
    await sleep(OBSERVATION_MS);
    await stop();
    expect(countRuns(primary)).toBe(runsAtLimit);
    expect((await client.query('WRITE b 1')).end).toMatch(/^ERROR BUSY/);
  });
});
