import {describe, expect, it} from 'vitest';
import {FeedRelay} from '../../src/fleet/feed-relay.js';
import {RELAY_METHOD} from '../../src/fleet/relay-messages.js';
import {RelayedStore} from '../../src/fleet/relayed-store.js';
import {StoreFeed, type FeedChange} from '../../src/fleet/store-feed.js';
import {chooseWatchers, orderWatchers} from '../../src/fleet/watchers.js';
import type {EraCheckedStore} from '../../src/infra/era-checked-store.js';
import {
  HistoryGoneError,
  type ChangeSet,
} from '../../src/infra/leased-store.js';
import type {StorePosition} from '../../src/infra/store-position.js';
import type {PeerAddress, PeerCaller} from '../../src/peers/types.js';
import {createLogger} from '../../src/telemetry/log.js';
import {createFleetMember} from '../fakes/fleet-member.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const WATCHERS: readonly PeerAddress[] = ['w1', 'w2'].map(id => ({
  id,
  host: '10.0.0.1',
  port: 7000,
}));
const STEP_MS = 50;

const at = (revision: number): StorePosition => ({era: 0, revision});

const member = (n: number) =>
  createFleetMember(`node-${n}`, {dataCentre: `dc-${n % 5}`});

/** A watcher's relay whose state is set by the test. */
function createRelay() {
  const clock = new VirtualClock();
  const feed = {
    age: 0,
    revision: 10 as number | undefined,
    ageMs: () => feed.age,
    get confirmedPosition() {
      return feed.revision === undefined ? undefined : at(feed.revision);
    },
    get latestPosition() {
      return feed.confirmedPosition;
    },
    sinceInterruptionMs: () => Infinity,
  };
  return {clock, feed, relay: new FeedRelay(clock, feed)};
}

/** A node that reads through watchers, and falls back to the store. */
function createReader(answers: Partial<Record<string, () => unknown>>) {
  const asked: string[] = [];
  const peers: PeerCaller = {
    call: async ({id}, method) => {
      expect(method).toBe(RELAY_METHOD);
      asked.push(id);
      const answer = answers[id];
      if (answer === undefined) throw new Error('unreachable');
      return answer();
    },
  };
  const store: Pick<EraCheckedStore, 'list' | 'changes' | 'observe'> = {
    observe: () => {},
    list: async () => ({values: [], asOf: at(1)}),
    changes: async (): Promise<ChangeSet> => {
      asked.push('store');
      return {events: [], asOf: at(99)};
    },
  };
  const log = createLogger('silent');
  const sources = () => WATCHERS;
  return {asked, reader: new RelayedStore({store, peers, log, sources})};
}

describe('choice of watchers', () => {
  it('takes two in a small fleet and few in a large one', () => {
    const fleet = (size: number) =>
      Array.from({length: size}, (_, n) => member(n));
    expect(chooseWatchers(fleet(7))).toHaveLength(2);
    expect(chooseWatchers(fleet(83))).toHaveLength(3);
    expect(chooseWatchers(fleet(1_000))).toHaveLength(22);
  });

  it('prefers watchers in the same data centre and spreads the nodes over them', () => {
    const fleet = Array.from({length: 1_000}, (_, n) => member(n));
    const watchers = chooseWatchers(fleet);
    const asks = new Map<string, number>();
    for (const node of fleet) {
      const [first] = orderWatchers(watchers, node);
      const isNear = watchers.some(one => one.dataCentre === node.dataCentre);
      if (isNear) expect(first!.dataCentre).toBe(node.dataCentre);
      asks.set(first!.id, (asks.get(first!.id) ?? 0) + 1);
    }
    expect(Math.max(...asks.values())).toBeLessThan(250);
  });
});

describe('feed relay', () => {
  const put = (key: string, revision: number): FeedChange => ({
    key,
    value: `${key}@${revision}`,
    at: at(revision),
  });

  it('returns the changes after a revision, oldest first', () => {
    const {relay} = createRelay();
    for (const change of [put('b', 9), put('a', 4), put('c', 7)]) {
      relay.recordChange(change);
    }
    expect(relay.serve({after: 5})).toMatchObject({
      changes: [
        ['c', 'c@7', 7],
        ['b', 'b@9', 9],
      ],
      asOf: 10,
    });
  });

  it('returns removals, and reports that it has forgotten older ones', async () => {
    const {clock, relay} = createRelay();
    relay.recordChange(put('a', 4));
    relay.recordChange({key: 'a', value: undefined, at: at(6)});
    expect(relay.serve({after: 4})).toMatchObject({changes: [['a', null, 6]]});
    expect(relay.serve({})).toMatchObject({changes: []});
    await clock.advance(61_000);
    expect(relay.serve({after: 4})).toEqual({isGone: true});
    expect(relay.serve({after: 6})).toMatchObject({changes: []});
  });

  it('refuses requests before its state is complete', () => {
    const {feed, relay} = createRelay();
    feed.revision = undefined;
    expect(() => relay.serve({})).toThrow(/no picture/);
  });
});

describe('store read through watchers', () => {
  const fresh = (ageMs: number) => () => ({
    changes: [['k', 'v', 12]],
    asOf: 12,
    ageMs,
    interruptedMsAgo: null,
  });

  it('queries one watcher and not the store', async () => {
    const {asked, reader} = createReader({w1: fresh(200)});
    expect(await reader.changes('', at(5), 0)).toMatchObject({
      events: [{key: 'k', value: 'v', revision: 12}],
      asOf: at(12),
      ageMs: 200,
    });
    expect(asked).toEqual(['w1']);
  });

  it('falls back to the next watcher, then to the store, if an answer is missing or old', async () => {
    const second = createReader({w2: fresh(100)});
    await second.reader.changes('', at(5), 0);
    expect(second.asked).toEqual(['w1', 'w2']);
    const old = createReader({w1: fresh(3_000), w2: fresh(2_000)});
    expect((await old.reader.changes('', at(5), 0)).asOf).toEqual(at(99));
    expect(old.asked).toEqual(['w1', 'w2', 'store']);
  });

  it('ignores malformed answers', async () => {
    const {asked, reader} = createReader({
      w1: () => ({changes: 'all'}),
      w2: () => undefined,
    });
    await reader.changes('', at(5), 0);
    expect(asked).toEqual(['w1', 'w2', 'store']);
  });

  // A node that counted such an answer as complete would lack the change for good.
  it('leaves a watcher that announces a change and does not send it', async () => {
    const answer = {...(fresh(100)() as object), held: [['h', 7]]};
    const {asked, reader} = createReader({
      w1: () => ({...answer, changes: []}),
      w2: () => ({...answer, changes: [['h', 'v', 7]]}),
    });
    const received = {known: at(9), has: () => false};
    const {events} = await reader.changes('', at(5), 0, received);
    expect(events).toContainEqual({key: 'h', value: 'v', revision: 7});
    expect(asked).toEqual(['w1', 'w1', 'w2', 'w2']);
  });

  it('requires a new listing if the watcher has forgotten the requested changes', async () => {
    const {reader} = createReader({w1: () => ({isGone: true})});
    await expect(reader.changes('', at(5), 0)).rejects.toThrow(
      HistoryGoneError,
    );
  });

  it('proves a node no fresher than its watcher was', async () => {
    const clock = new VirtualClock();
    const {reader} = createReader({w1: fresh(900)});
    const feed = new StoreFeed({
      store: reader,
      clock,
      log: createLogger('silent'),
      prefix: '',
      onChange: () => {},
    });
    const stop = new AbortController();
    const done = feed.run(stop.signal);
    await clock.advance(STEP_MS);
    expect(feed.ageMs()).toBeGreaterThanOrEqual(900);
    expect(feed.ageMs()).toBeLessThan(900 + 2 * STEP_MS);
    stop.abort();
    await clock.advance(1_000);
    await done;
  });
});

// Nodes that restart together would repeat their listings at the same instant,
// which may be what the store refused.
it('spreads the repeated listings of nodes that started together', async () => {
  const clock = new VirtualClock();
  const repeatedAt = new Map<number, number>();
  const stop = new AbortController();
  const feeds = [0.1, 0.5, 0.9].map(share => {
    const store = {
      list: async () => {
        if (clock.now() > 0 && !repeatedAt.has(share)) {
          repeatedAt.set(share, clock.now());
        }
        throw new Error('refused');
      },
      changes: async () => ({events: [], asOf: at(1)}),
    };
    const log = createLogger('silent');
    const onChange = () => {};
    const random = () => share;
    return new StoreFeed({store, clock, log, prefix: '', onChange, random});
  });
  const done = feeds.map(feed => feed.run(stop.signal));
  await clock.advance(200);
  expect([...repeatedAt.values()]).toEqual([20, 100, 180]);
  stop.abort();
  await clock.advance(2_000);
  await Promise.all(done);
});
