import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {SystemClock} from '../../src/infra/clock.js';
import {WatchCompactedError} from '../../src/infra/etcd-errors.js';
import {EtcdStore} from '../../src/infra/etcd-store.js';
import type {Store, WatchEvent} from '../../src/infra/store.js';
import {
  createStoreServer,
  type StoreServer,
} from '../../standins/store/server.js';
import {MemoryStore} from '../fakes/memory-store.js';
import {expectFailure} from '../fakes/failures.js';

interface Fixture {
  readonly store: Store;
  loseAnswers(count: number): void;
  compact(): void;
  setDown(down: boolean): Promise<void>;
  close(): Promise<void>;
}

function createMemoryFixture(): Fixture {
  const store = new MemoryStore(new SystemClock());
  return {
    store,
    loseAnswers: count => store.loseAnswers(count),
    compact: () => store.compact(),
    setDown: async down => {
      store.down = down;
    },
    close: async () => {},
  };
}

async function createEtcdFixture(): Promise<Fixture> {
  const server: StoreServer = await createStoreServer();
  return {
    store: new EtcdStore({url: server.url}),
    loseAnswers: count => server.faults.loseAnswers(count),
    compact: () => server.compact(),
    setDown: down => (down ? server.startOutage('refuse') : server.endOutage()),
    close: () => server.close(),
  };
}

async function collectEvents(
  store: Store,
  fromRevision: number,
  count: number,
): Promise<readonly WatchEvent[]> {
  const controller = new AbortController();
  const events: WatchEvent[] = [];
  for await (const item of store.watch('a/', fromRevision, controller.signal)) {
    if (item.kind === 'events') events.push(...item.events);
    if (events.length >= count) controller.abort();
  }
  return events;
}

describe.each([
  ['memory store', createMemoryFixture],
  ['etcd store', createEtcdFixture],
])('%s', (_name, createFixture) => {
  let fixture: Fixture;
  let store: Store;

  beforeEach(async () => {
    fixture = await createFixture();
    store = fixture.store;
  });

  afterEach(() => fixture.close());

  test('reads back a value written by compare-and-swap', async () => {
    expect(await store.get('a/é')).toBeUndefined();
    const swap = await store.compareAndSwap('a/é', 0, 'niño');
    expect(swap.kind).toBe('swapped');
    expect(await store.get('a/é')).toMatchObject({key: 'a/é', value: 'niño'});
  });

  test('reports a conflict with the current value if the revision differs', async () => {
    await store.compareAndSwap('a/1', 0, 'first');
    const current = await store.get('a/1');
    expect(await store.compareAndSwap('a/1', 0, 'second')).toEqual({
      kind: 'conflict',
      current,
    });
    const next = await store.compareAndSwap(
      'a/1',
      current?.revision ?? 0,
      'second',
    );
    expect(next.kind).toBe('swapped');
  });

  test('reports a conflict without a value if the key does not exist', async () => {
    expect(await store.compareAndSwap('a/1', 7, 'x')).toEqual({
      kind: 'conflict',
      current: undefined,
    });
  });

  test('lists the keys under a prefix in order', async () => {
    for (const key of ['a/2', 'b/1', 'a/1', 'a0']) {
      await store.compareAndSwap(key, 0, key);
    }
    const keys = (await store.list('a/')).map(entry => entry.key);
    expect(keys).toEqual(['a/1', 'a/2']);
  });

  test('reports past and later changes to a watch in order', async () => {
    const first = await store.compareAndSwap('a/1', 0, 'one');
    if (first.kind !== 'swapped') throw new Error('unreachable');
    const watching = collectEvents(store, first.revision, 2);
    await store.compareAndSwap('b/1', 0, 'other');
    await store.compareAndSwap('a/1', first.revision, 'two');
    const values = (await watching).map(event => event.value);
    expect(values).toEqual(['one', 'two']);
  });

  test('reports progress on a watch without changes', async () => {
    const controller = new AbortController();
    let progress = 0;
    for await (const item of store.watch('a/', 0, controller.signal)) {
      expect(item.kind).toBe('progress');
      progress += 1;
      if (progress === 3) controller.abort();
    }
    expect(progress).toBe(3);
  });

  test('throws unknown when a write takes effect but its answer is lost', async () => {
    fixture.loseAnswers(1);
    await expect(store.compareAndSwap('a/1', 0, 'x')).rejects.toMatchObject({
      name: 'StoreError',
      kind: 'unknown',
    });
    expect((await store.get('a/1'))?.value).toBe('x');
  });

  test('throws notSent while the store is down and recovers', async () => {
    await fixture.setDown(true);
    await expectFailure(store.compareAndSwap('a/1', 0, 'x'), 'notSent');
    await expectFailure(store.get('a/1'), 'notSent');
    await fixture.setDown(false);
    expect(await store.get('a/1')).toBeUndefined();
  });

  test('fails its watches when the store goes down', async () => {
    const watching = collectEvents(store, 0, 1);
    const ended = expect(watching).rejects.toMatchObject({
      name: 'StoreError',
    });
    await store.get('a/1');
    await fixture.setDown(true);
    await ended;
  });

  test('reports the first available revision to a watch that starts too early', async () => {
    await store.compareAndSwap('a/1', 0, 'one');
    await store.compareAndSwap('a/2', 0, 'two');
    fixture.compact();
    const err = await collectEvents(store, 1, 1).catch((e: unknown) => e);
    if (!(err instanceof WatchCompactedError)) throw err;
    const events = await collectEvents(store, err.compactRevision, 1);
    expect(events).toMatchObject([{key: 'a/2', value: 'two'}]);
  });

  test('renews a lease until it is revoked', async () => {
    const lease = await store.grantLease(5_000);
    expect(await store.keepAlive(lease)).toBe(true);
    await store.revokeLease(lease);
    expect(await store.keepAlive(lease)).toBe(false);
    await store.revokeLease(lease);
  });
});
