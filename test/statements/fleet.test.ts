import {describe, expect, it} from 'vitest';
import {LAPSE_GRACE_MS, MemberList} from '../../src/fleet/member-list.js';
import {
  decodeMember,
  encodeMember,
  type FleetMember,
} from '../../src/fleet/member-record.js';
import {StoreFeed, type FeedChange} from '../../src/fleet/store-feed.js';
import {
  HistoryGoneError,
  type LeasedStore,
} from '../../src/infra/leased-store.js';
import type {StorePosition} from '../../src/infra/store-position.js';
import {StoreError} from '../../src/infra/store.js';
import {RateLimitedLogger} from '../../src/telemetry/rate-limited-log.js';
import {createLogger} from '../../src/telemetry/log.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const member = (id: string, rest: Partial<FleetMember> = {}): FleetMember => ({
  id,
  host: '10.0.0.1',
  port: 7000,
  dataCentre: 'hobart',
  instance: `${id}-1`,
  cores: 1,
  isLeaving: false,
  ...rest,
});

describe('member list', () => {
  function createList(mayHaveLapsed: boolean) {
    const clock = new VirtualClock();
    const list = new MemberList({clock, mayHaveLapsed: () => mayHaveLapsed});
    for (const id of ['a', 'b', 'c']) list.apply(id, member(id));
    return {clock, list};
  }

  it('removes a node whose lease has expired', () => {
    const {list} = createList(false);
    list.apply('a', undefined);
    expect(list.live().map(({id}) => id)).toEqual(['b', 'c']);
  });

  it('keeps a node for a grace period if its lease expired in a store outage', async () => {
    const {clock, list} = createList(true);
    list.apply('a', undefined);
    expect(list.live()).toHaveLength(3);
    await clock.advance(LAPSE_GRACE_MS + 1);
    expect(list.live()).toHaveLength(2);
  });

  it('ranks homes by data centre and cores, and excludes leaving nodes', () => {
    const {list} = createList(false);
    list.apply('far', member('far', {dataCentre: 'burnie'}));
    list.apply('small', member('small', {cores: 0.3}));
    const order = list.homeOrder('claims', 'burnie').map(({id}) => id);
    expect(order[0]).toBe('far');
    expect(order.at(-1)).toBe('small');
    list.apply('far', member('far', {dataCentre: 'burnie', isLeaving: true}));
    expect(list.homeOrder('claims', 'burnie').map(({id}) => id)).not.toContain(
      'far',
    );
  });

  it('decodes no member from a malformed value', () => {
    expect(decodeMember(encodeMember(member('a')))).toEqual(member('a'));
    for (const value of ['', '{}', '[]', '{"id":"a"}', 'null']) {
      expect(decodeMember(value)).toBeUndefined();
    }
  });
});

const CLOCK_STEP_MS = 50;

const at = (revision: number): StorePosition => ({era: 0, revision});

describe('store feed', () => {
  /** A feed of a store whose answer to each poll is given by the test. */
  function createFeed(polls: (() => ReturnType<LeasedStore['changes']>)[]) {
    const clock = new VirtualClock();
    const seen: FeedChange[] = [];
    const stop = new AbortController();
    const asked: number[] = [];
    let lists = 0;
    const store: Pick<LeasedStore, 'list' | 'changes'> = {
      list: async () => {
        lists += 1;
        const value = {key: 'k', value: `v${lists}`, revision: lists * 10};
        return {values: [value], asOf: at(lists * 10)};
      },
      changes: async (_prefix, after) => {
        asked.push(after.revision);
        const next = polls.shift();
        if (next !== undefined) return next();
        stop.abort();
        throw new StoreError('notSent', 'the test has ended');
      },
    };
    const feed = new StoreFeed({
      store: store as LeasedStore,
      clock,
      log: createLogger('silent'),
      prefix: '',
      onChange: change => seen.push(change),
    });
    const run = async () => {
      const done = feed.run(stop.signal);
      while (!stop.signal.aborted) await clock.advance(CLOCK_STEP_MS);
      await done;
    };
    return {clock, feed, seen, asked, run};
  }

  it('finds a change that an earlier poll missed', async () => {
    const {feed, seen, asked, run} = createFeed([
      async () => ({events: [], asOf: at(12)}),
      async () => ({events: [], asOf: at(14)}),
      // Earlier polls missed the change at revision 13; this one returns it.
      async () => ({
        events: [{key: 'k', value: 'late', revision: 13}],
        asOf: at(14),
      }),
    ]);
    await run();
    expect(asked.slice(0, 3)).toEqual([10, 10, 10]);
    expect(seen.at(-1)).toMatchObject({key: 'k', value: 'late'});
    expect(feed.ageMs()).toBeLessThan(1_000);
  });

  it('polls at most twice a second however many changes arrive', async () => {
    const changing = async () => ({events: [], asOf: at(10)});
    const {clock, asked, run} = createFeed(Array(200).fill(changing));
    const startedAt = clock.now();
    await run();
    // In the first five seconds it polls ten times a second.
    const laterS = (clock.now() - startedAt) / 1_000 - 5;
    expect((asked.length - 52) / laterS).toBeLessThanOrEqual(2);
  });

  it('lists everything again if the history has been compacted', async () => {
    const {seen, run} = createFeed([
      async () => {
        throw new HistoryGoneError();
      },
    ]);
    await run();
    expect(seen.map(({value}) => value)).toEqual(['v1', 'v2']);
  });

  it('is not fresh before the first poll, and ages with the wall clock', async () => {
    const {clock, feed, run} = createFeed([
      async () => ({events: [], asOf: at(11)}),
    ]);
    expect(feed.ageMs()).toBe(Infinity);
    await run();
    const before = feed.ageMs();
    clock.shiftWallClock(4_000);
    expect(feed.ageMs()).toBeGreaterThanOrEqual(before + 4_000);
    expect(feed.sinceInterruptionMs()).toBeLessThan(10_000);
  });
});

describe('bounded logger', () => {
  it('limits the lines per event and second, and reports the suppressed ones', () => {
    let now = 0;
    const lines: string[] = [];
    const log = new RateLimitedLogger(
      createLogger('info', {}, line => lines.push(line)),
      () => now,
    );
    for (let n = 0; n < 1_000; n++) log.info('refused', {n});
    log.info('other');
    expect(lines).toHaveLength(21);
    now = 1_001;
    log.info('refused', {n: 1});
    expect(lines.at(-1)).toContain('suppressed=980');
  });
});
