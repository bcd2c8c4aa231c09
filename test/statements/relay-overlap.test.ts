import {randomBytes} from 'node:crypto';
import {deflateSync} from 'node:zlib';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FeedRelay} from '../../src/fleet/feed-relay.js';
import {RelayedStore} from '../../src/fleet/relayed-store.js';
import {StoreFeed, type FeedSource} from '../../src/fleet/store-feed.js';
import {EraCheckedStore} from '../../src/infra/era-checked-store.js';
import type {ChangeSet} from '../../src/infra/leased-store.js';
import {encodeFrame, FrameDecoder} from '../../src/peers/framing.js';
import {createLogger} from '../../src/telemetry/log.js';
import {FakeLeasedStore} from '../fakes/leased-store.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const log = createLogger('silent');
const IDS = ['w1', 'w2'];
const KEYS = ['a', 'b', 'c', 'op/config'];
/** Longer than two overlaps, of the watcher and of the node, and a retry. */
const SETTLE_MS = 6_000;
/** Answers that lack changes are followed by whole ones within the overlap. */
const LOSS_MS = 1_200;
/** Time in which a whole answer follows, before the overlap of 2 s has passed. */
const WHOLE_MS = 700;

/** The message as a node that lacks the overlap's fields sends it. */
function toOldFormat(message: object, fields: readonly string[]): object {
  const isKept = ([name]: [string, unknown]) => !fields.includes(name);
  return Object.fromEntries(Object.entries(message).filter(isKept));
}

/** Sends a value through the codec of the connections; returns its size too. */
function transmit(value: unknown): {value: unknown; bytes: number} {
  return [...new FrameDecoder().push(encodeFrame(value))][0]!;
}

/** A store, two watchers and one node that reads through them. */
function createFleet() {
  const clock = new VirtualClock();
  const fake = new FakeLeasedStore(clock);
  const faults = {lossUntil: 0, lost: 0, callsLost: 0, isOld: false};
  const bytes = {received: 0};
  const requests: unknown[] = [];
  const metrics = {recordEra: () => {}, recordRejectedAnswer: () => {}};
  const checked = () => new EraCheckedStore({store: fake, log, metrics});
  const stop = new AbortController();
  const running: Promise<void>[] = [];
  const follow = (store: FeedSource) => {
    const copy = new Map<string, string>();
    const feed: StoreFeed = new StoreFeed({
      store,
      clock,
      log,
      prefix: '',
      onChange: change => {
        relay.recordChange(change);
        if (change.value === undefined) copy.delete(change.key);
        else copy.set(change.key, change.value);
      },
    });
    const relay = new FeedRelay(clock, feed);
    running.push(feed.run(stop.signal));
    return {copy, relay};
  };
  const watchers = new Map(
    IDS.map(id => {
      const store = checked();
      const lossy: FeedSource = {
        list: prefix => store.list(prefix),
        changes: async (prefix, after, waitMs): Promise<ChangeSet> => {
          const answer = await store.changes(prefix, after, waitMs);
          if (clock.now() >= faults.lossUntil) return answer;
          const isSent = (_: unknown, n: number) =>
            ((faults.lost >> n) & 1) === 0;
          return {...answer, events: answer.events.filter(isSent)};
        },
      };
      return [id, follow(lossy).relay];
    }),
  );
  let order = IDS;
  const reader = new RelayedStore({
    store: checked(),
    log,
    sources: () => order.map(id => ({id, host: 'h', port: 1})),
    peers: {
      call: async ({id}, _method, body) => {
        requests.push(body);
        const {isOld} = faults;
        const request = body as object;
        const sent = isOld
          ? toOldFormat(request, ['deflate', 'known'])
          : request;
        const answer = watchers.get(id)!.serve(transmit(sent).value);
        const reply = isOld ? toOldFormat(answer, ['held', 'upTo']) : answer;
        const received = transmit(reply);
        if (faults.callsLost > 0 && faults.callsLost-- > 0) {
          throw new Error('lost');
        }
        bytes.received += received.bytes;
        return received.value;
      },
    },
  });
  const {copy} = follow(reader);
  return {
    clock,
    fake,
    faults,
    bytes,
    requests,
    copy,
    swapWatchers: () => (order = order.toReversed()),
    expectSameCopy: async () => {
      await clock.advance(SETTLE_MS);
      const {values} = await fake.list('');
      const stored = values.map(({key, value}): [string, string] => [
        key,
        value,
      ]);
      expect([...copy].toSorted()).toEqual(stored.toSorted());
    },
    end: async () => {
      stop.abort();
      await clock.advance(1_000);
      await Promise.all(running);
    },
  };
}

/** Text like a configuration; compressed it is about a quarter as long. */
function largeText(bytes: number): string {
  const tenant = () =>
    `{"name":"tenant","api_keys":["${randomBytes(6).toString('hex')}"]}`;
  const length = tenant().length;
  return Array.from({length: bytes / length}, tenant).join(',');
}

const key = fc.constantFrom(...KEYS);
const step = fc.oneof(
  fc.record({
    kind: fc.constant('put' as const),
    key,
    size: fc.constantFrom(4, 3_000),
  }),
  fc.record({kind: fc.constant('remove' as const), key}),
  fc.record({kind: fc.constant('lose' as const), mask: fc.nat({max: 255})}),
  fc.record({
    kind: fc.constant('loseCalls' as const),
    calls: fc.integer({min: 1, max: 4}),
  }),
  fc.constant({kind: 'swap' as const}),
  fc.constant({kind: 'copy' as const}),
  fc.constant({kind: 'restore' as const}),
  fc.constant({kind: 'compact' as const}),
  fc.record({
    kind: fc.constant('wait' as const),
    ms: fc.integer({min: 50, max: 3_000}),
  }),
);

describe('relayed changes of the overlap', () => {
  // Guards against a copy that lacks a change for good since the watcher named
  // only its key, or that keeps a value from before a restore.
  it.each([{isOld: false}, {isOld: true}])(
    'leave the same copy as in the store after any faults (old answers: $isOld)',
    async ({isOld}) => {
      await fc.assert(
        fc.asyncProperty(fc.array(step, {maxLength: 25}), async steps => {
          const fleet = createFleet();
          const {clock, fake, faults} = fleet;
          faults.isOld = isOld;
          let saved = fake.takeCopy();
          for (const [n, one] of steps.entries()) {
            if (one.kind === 'put')
              fake.put(one.key, String(n).padEnd(one.size));
            else if (one.kind === 'remove') fake.remove(one.key);
            else if (one.kind === 'lose') {
              faults.lost = one.mask;
              faults.lossUntil = clock.now() + LOSS_MS;
              await clock.advance(LOSS_MS + WHOLE_MS);
            } else if (one.kind === 'loseCalls') faults.callsLost = one.calls;
            else if (one.kind === 'swap') fleet.swapWatchers();
            else if (one.kind === 'copy') saved = fake.takeCopy();
            else if (one.kind === 'restore') fake.restore(saved);
            else if (one.kind === 'compact') fake.compact();
            else await clock.advance(one.ms);
            await clock.advance(10);
          }
          await fleet.expectSameCopy();
          await fleet.end();
        }),
        {numRuns: 150},
      );
    },
  );

  // Each poll repeated the whole configuration for as long as the overlap lasts.
  it('send a large configuration once, compressed, also after a change of watcher', async () => {
    const {clock, fake, bytes, requests, ...fleet} = createFleet();
    fake.put('op/config', largeText(100_000));
    await clock.advance(SETTLE_MS);
    const changed = largeText(350_000);
    bytes.received = 0;
    fake.put('op/config', changed);
    await clock.advance(1_500);
    fleet.swapWatchers();
    await fleet.expectSameCopy();
    expect(bytes.received).toBeLessThan(2 * deflateSync(changed).length);
    expect(fleet.copy.get('op/config')).toBe(changed);
    expect(requests.some(request => 'keys' in (request as object))).toBe(false);
    await fleet.end();
  });

  it('are requested in full if an earlier answer lacked them', async () => {
    const {clock, fake, faults, requests, ...fleet} = createFleet();
    await clock.advance(SETTLE_MS);
    faults.lost = 1;
    faults.lossUntil = clock.now() + LOSS_MS;
    fake.put('a', 'lost at first');
    fake.put('b', 'seen');
    await fleet.expectSameCopy();
    expect(requests).toContainEqual(expect.objectContaining({keys: ['a']}));
    await fleet.end();
  });
});
