import {describe, expect, it} from 'vitest';
import {encodeReport, LOAD_METHOD} from '../../src/load/report-codec.js';
import {createRandom} from '../admission/random.js';
import {createGroup, SLOTS} from './model-group.js';

const BURST_MS = 3_000;
/** Reads of 55 ms a second near the reader: twice what its replica can run. */
const BURST_PER_S = 210;
/** Reads of 33 ms a second near the home. */
const HOME_PER_S = 80;

/** A burst of long reads near the reader, while the home has its usual reads. */
async function replayBurst(sharesLoad: boolean) {
  const {clock, databases, counts, read, stop} = createGroup(sharesLoad);
  const random = createRandom(5);
  const tookMs: number[] = [];
  const pending: Promise<void>[] = [];
  const peaks = databases.map(() => 0);
  let refused = 0;
  const start = (costMs: number, at: 'reader' | 'home') => {
    const startedAt = clock.now();
    const ended = read(costMs, at).then(({verdict}) => {
      if (verdict.kind === 'done') tookMs.push(clock.now() - startedAt);
      else refused += 1;
    });
    pending.push(ended);
  };
  for (let ms = 0; ms < BURST_MS; ms++) {
    if (random.next() < BURST_PER_S / 1_000) start(55, 'reader');
    if (random.next() < HOME_PER_S / 1_000) start(33, 'home');
    await clock.advance(1);
    for (const [n, {running}] of databases.entries())
      peaks[n] = Math.max(peaks[n]!, running);
  }
  await clock.advance(10_000);
  await Promise.all(pending);
  stop.abort();
  tookMs.sort((a, b) => a - b);
  const meanMs = tookMs.reduce((a, b) => a + b, 0) / tookMs.length;
  const p95Ms = tookMs[Math.floor(tookMs.length * 0.95)]!;
  return {meanMs, p95Ms, refused, served: tookMs.length, peaks, counts};
}

describe('a burst of long reads at one reader', () => {
  it('is spread over the group where its senders share their load', async () => {
    const alone = await replayBurst(false);
    const shared = await replayBurst(true);
    expect([alone.refused, shared.refused]).toEqual([0, 0]);
    expect(alone.counts.sentBack).toBeGreaterThan(20);
    expect(shared.counts.passedOn).toBeGreaterThan(100);
    expect(shared.counts.sentBack).toBe(0);
    expect(shared.meanMs).toBeLessThan(alone.meanMs * 0.9);
    expect(shared.p95Ms).toBeLessThan(alone.p95Ms * 0.8);
  });

  it('goes by the own figures of each sender while their link is cut', async () => {
    const {clock, net, read, home, stop} = createGroup(true);
    for (let n = 0; n < 12; n++) void read(1_000, 'reader');
    await clock.advance(400);
    expect(home.load.outstandingElsewhere('db-1')).toBe(12);
    net.cutLink('home', 'reader');
    await clock.advance(1_000);
    stop.abort();
    expect(home.load.outstandingElsewhere('db-1')).toBe(0);
  });
});

describe('a read that finds its nearby replica full', () => {
  it('stays there if the other databases are expected to take longer', async () => {
    const {clock, counts, read, stop} = createGroup(true);
    for (let n = 0; n < 60; n++) void read(500, 'home');
    await clock.advance(1_500);
    const reads = Array.from({length: SLOTS * 2 + 4}, () =>
      read(500, 'reader'),
    );
    await clock.advance(10_000);
    const ends = await Promise.all(reads);
    stop.abort();
    expect(ends.every(({verdict}) => verdict.kind === 'done')).toBe(true);
    expect(counts.sentBack).toBe(0);
  });

  it('is refused with a retry time if the home could only send it back', async () => {
    const {clock, home, requestOf} = createGroup(true);
    await clock.advance(500);
    const load = {outstanding: 12, costMs: 50, concurrency: 7};
    for (const id of ['db-0', 'db-2'])
      home.members.get(id)!.health.recordFailure();
    const refused = await home.execute({
      ...requestOf(50),
      fullReplica: {databaseId: 'db-1', ...load},
    });
    const {verdict} = refused;
    expect(verdict).toMatchObject({kind: 'notRun', reason: 'overloaded'});
    const other = home.execute(requestOf(50));
    await clock.advance(90);
    expect((await other).output?.rows).toEqual(['db-1']);
  });

  it('is refused at once if the work of others makes it late everywhere', async () => {
    const {clock, home, net, requestOf} = createGroup(true);
    const loads = ['db-0', 'db-1', 'db-2'].map(databaseId => ({
      databaseId,
      outstanding: 60,
      costMs: 50,
      concurrency: 7,
    }));
    const report = {group: 'claims', instance: 'reader', sequence: 1, loads};
    const reader = net.find({id: 'reader', host: 'h', port: 1})!;
    const {address} = home.node;
    const options = {timeoutMs: 100};
    void reader.call(address, LOAD_METHOD, encodeReport(report), options);
    await clock.advance(50);
    const refused = await home.execute({...requestOf(50), deadlineMs: 400});
    const {verdict} = refused;
    expect(verdict).toMatchObject({reason: 'overloaded', retryAfterMs: 100});
  });
});
