import {afterEach, expect, it} from 'vitest';
import {OWNER_HOLD_OFF_MS} from '../../src/node/cold-budgets.js';
import {Platform, sleep} from './fixture.js';

const COLD_PER_S = 20;
/** With the tolerance of the fixture's nodes. */
const BOUND = COLD_PER_S * 1.5 + 5;
/** Time in which every node has learnt of an announcement. */
const LEARN_MS = 1_500;
const COLD_MS = 5_000;

let platform: Platform;
afterEach(() => platform.stop());

it('a cold database gets no more than its bound from all nodes together', async () => {
  platform = await Platform.start(3, {}, {coldPerS: COLD_PER_S});
  await sleep(OWNER_HOLD_OFF_MS);
  const [primary] = platform.group.databases;
  platform.announceCold(primary!, LEARN_MS + COLD_MS);
  const announcedAt = Date.now();
  const endsAt = announcedAt + LEARN_MS + COLD_MS;
  const refusals: string[] = [];
  const call = async (at: number) => {
    const client = await platform.session('now red-key', at);
    while (Date.now() < endsAt) {
      const {end} = await client.query('READ a');
      if (!end.startsWith('DONE')) refusals.push(end);
      await sleep(5);
    }
    // A node counts the announced time from when it learns of it.
    const end = async () => (await client.query('READ a')).end;
    await expect.poll(end, {timeout: LEARN_MS}).toMatch(/^DONE/);
  };
  let committed = 0;
  const runTransactions = async () => {
    const client = await platform.session('now red-key');
    while (Date.now() < endsAt) {
      const ends: string[] = [];
      for (const text of ['BEGIN', 'READ a', 'WRITE a v', 'COMMIT']) {
        if (ends.every(end => end.startsWith('DONE')))
          ends.push((await client.query(text)).end);
      }
      const isCommitted = ends.length === 4 && ends[3]!.startsWith('DONE');
      if (isCommitted) committed += 1;
      else if (ends.length > 1) await client.query('ROLLBACK');
      await sleep(100);
    }
  };
  await Promise.all([call(0), call(1), call(2), runTransactions()]);
  const times = primary!.runs
    .map(({at}) => at)
    .filter(at => at >= announcedAt + LEARN_MS && at < endsAt);
  const most = Math.max(
    ...times.map(
      start => times.filter(at => at >= start && at < start + 1_000).length,
    ),
  );
  expect(most).toBeLessThanOrEqual(BOUND);
  // Its rate in virtual time is checked by test/pace/cold-budgets.test.ts.
  expect(times.length).toBeGreaterThan(COLD_PER_S / 2);
  expect(committed).toBeGreaterThan(0);
  expect(refusals.length).toBeGreaterThan(0);
});
