import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {StoreContact} from '../../src/membership/store-contact.js';
import type {Store, WatchItem} from '../../src/infra/store.js';
import {Documents} from '../../src/rollout/documents.js';
import {isWatcher, StoreWatcher} from '../../src/rollout/store-watcher.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {FakeStore} from '../membership/fleet.js';

describe('choice of watchers', () => {
  const fleet = (size: number, dataCentres: number) =>
    Array.from({length: size}, (_, at) => ({
      id: `vm-${at}`,
      dataCentre: `dc-${at % dataCentres}`,
    }));
  const chosen = (members: ReturnType<typeof fleet>, perDataCentre = 1) =>
    members.filter(vm => isWatcher(vm.id, members, perDataCentre));

  it('chooses one VM of each data centre', () => {
    const watchers = chosen(fleet(1_000, 4));
    expect(new Set(watchers.map(vm => vm.dataCentre)).size).toBe(4);
    expect(watchers).toHaveLength(4);
    expect(chosen(fleet(1_000, 4), 3)).toHaveLength(12);
  });

  it('chooses at least three VMs if there are as many', () => {
    expect(chosen(fleet(10, 1))).toHaveLength(3);
    expect(chosen(fleet(2, 1))).toHaveLength(2);
  });

  it('replaces only the watcher that was removed', () => {
    const members = fleet(100, 4);
    const before = chosen(members).map(vm => vm.id);
    const rest = members.filter(vm => vm.id !== before[0]);
    const after = chosen(rest).map(vm => vm.id);
    expect(after.filter(id => before.includes(id))).toHaveLength(3);
    expect(after).toHaveLength(4);
  });

  it('makes a node watch while it knows no members', () => {
    expect(isWatcher('vm-1', [])).toBe(true);
    expect(isWatcher('vm-1', fleet(0, 1))).toBe(true);
    expect(isWatcher('vm-x', fleet(3, 1))).toBe(false);
  });
});

describe('store watcher', () => {
  const createClock = () => new VirtualClock();
  let stopped: AbortController;

  beforeEach(() => {
    stopped = new AbortController();
  });
  afterEach(() => stopped.abort());

  function start(time: VirtualClock, store: Store, watch = () => true) {
    const node = time.forNode();
    const documents = new Documents();
    const contact = new StoreContact(node);
    const failures: unknown[] = [];
    const watcher = new StoreWatcher({
      store,
      documents,
      contact,
      clock: node,
      random: {next: () => 0.5},
      shouldWatch: watch,
      onFailure: err => failures.push(err),
    });
    void watcher.run(stopped.signal);
    return {contact, documents, failures, node};
  }

  it('reads the documents once and then watches them', async () => {
    const time = createClock();
    const store = new FakeStore(time);
    store.put('zinnia/config', 'one');
    const node = time.forNode();
    const {documents, contact} = start(time, store.forNode('vm-1', node));
    await time.advance(10);
    expect(documents.get('zinnia/config')?.value).toBe('one');
    store.put('zinnia/config', 'two');
    store.put('zinnia/config-draft', 'other');
    await time.advance(100);
    expect(documents.get('zinnia/config')?.value).toBe('two');
    expect(documents.digest()).toEqual({'zinnia/config': 2});
    await time.advance(60_000);
    expect(contact.ageMs()).toBeLessThanOrEqual(1_200);
    expect(store.calls).toBe(6);
  });

  it('retries with backoff during a store outage', async () => {
    const time = createClock();
    const store = new FakeStore(time);
    const node = time.forNode();
    const {contact, failures} = start(time, store.forNode('vm-1', node));
    await time.advance(5_000);
    store.unreachableFor = 'all';
    await time.advance(60_000);
    expect(failures.length).toBeGreaterThan(20);
    expect(failures.length).toBeLessThan(60);
    expect(contact.ageMs()).toBeGreaterThan(59_000);
    store.unreachableFor = new Set();
    await time.advance(2_500);
    expect(contact.ageMs()).toBeLessThan(2_500);
  });

  it('reopens a watch that stops delivering', async () => {
    const time = createClock();
    const store = new FakeStore(time);
    const inner = store.forNode('vm-1', time.forNode());
    let watches = 0;
    const silent: Store = {
      ...inner,
      watch: (prefix, from, signal) => {
        watches++;
        return watches > 3
          ? inner.watch(prefix, from, signal)
          : watchNothing(signal);
      },
    };
    const {contact, documents} = start(time, silent);
    await time.advance(2_000);
    store.put('zinnia/config', 'two');
    await time.advance(3_000);
    expect(documents.get('zinnia/config')?.value).toBe('two');
    expect(contact.ageMs()).toBeLessThan(2_000);
  });

  it('does not count an item queued during a pause as store contact', async () => {
    const time = createClock();
    const waiting: ((item: WatchItem) => void)[] = [];
    const inner = new FakeStore(time).forNode('vm-1', time.forNode());
    const store: Store = {
      ...inner,
      get: async () => undefined,
      watch: async function* () {
        for (;;) yield await new Promise<WatchItem>(r => waiting.push(r));
      },
    };
    const {contact, node} = start(time, store);
    await time.advance(1_000);
    const deliver = () =>
      waiting.splice(0).forEach(r => r({kind: 'progress', revision: 1}));
    deliver();
    await time.settle();
    expect(contact.ageMs()).toBeLessThanOrEqual(100);
    node.pause();
    await time.advance(30_000);
    deliver();
    await time.settle();
    expect(contact.ageMs()).toBeGreaterThanOrEqual(30_000);
  });

  it('stops watching when it is no longer chosen', async () => {
    const time = createClock();
    const store = new FakeStore(time);
    let chosen = true;
    const port = store.forNode('vm-1', time.forNode());
    const {documents} = start(time, port, () => chosen);
    await time.advance(1_000);
    chosen = false;
    await time.advance(1_000);
    store.put('zinnia/config', 'one');
    await time.advance(60_000);
    expect(documents.revision('zinnia/config')).toBe(0);
    expect(store.calls).toBe(6);
  });
});

/** A watch that never delivers an item until it is aborted. */
async function* watchNothing(signal: AbortSignal): AsyncIterable<WatchItem> {
  yield await new Promise<WatchItem>(resolve =>
    signal.addEventListener('abort', () =>
      resolve({kind: 'progress', revision: 0}),
    ),
  );
}
