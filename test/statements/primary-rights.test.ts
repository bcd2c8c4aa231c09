import {describe, expect, it} from 'vitest';
import type {PrimaryOrder} from '../../src/groups/primary-order.js';
import {
  HAND_BACK_METHOD,
  PrimaryHandover,
} from '../../src/groups/primary-handover.js';
import {PrimaryRights, RIGHT_TTL_MS} from '../../src/groups/primary-rights.js';
import {EraCheckedStore} from '../../src/infra/era-checked-store.js';
import {StoreError} from '../../src/infra/store.js';
import {PeerError, type PeerCaller} from '../../src/peers/types.js';
import {createLogger} from '../../src/telemetry/log.js';
import {interceptStore} from '../fakes/intercepted-store.js';
import {FakeLeasedStore} from '../fakes/leased-store.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const GROUP = 'claims';
const STEP_MS = 50;

function orderOf(token: number, orderer = 'a'): PrimaryOrder {
  return {databaseId: 'db-1', term: 2, wasReplica: true, token, orderer};
}

function createFleet() {
  const clock = new VirtualClock();
  const store = new FakeLeasedStore(clock);
  const log = createLogger('silent');
  const metrics = {recordEra: () => {}, recordRejectedAnswer: () => {}};
  const handovers = new Map<string, PrimaryHandover>();
  /** Nodes that no other node reaches. */
  const unreachable = new Set<string>();
  const peers: PeerCaller = {
    call: async (to, method, body) => {
      const handler = handovers.get(to.id)?.handlers.get(method);
      if (handler === undefined || unreachable.has(to.id)) {
        throw new PeerError('notSent', `${to.id} does not answer`);
      }
      const {signal} = new AbortController();
      return handler(body, {from: 'x', signal, send: async () => {}});
    },
  };
  const stopping = new AbortController();
  /** Nodes that the store does not answer. */
  const cutOff = new Set<string>();
  const createNode = (id: string) => {
    const own = interceptStore(store, async call => {
      if (cutOff.has(id)) throw new StoreError('notSent', 'cut off');
      return call();
    });
    const checked = new EraCheckedStore({store: own, log, metrics});
    const rights = new PrimaryRights({
      store: checked,
      clock,
      log,
      self: {id, host: 'h', port: 1},
      minTtlMs: 1_000,
      onOrder: () => {},
    });
    const options = {store: checked, clock, log, peers, rights, self: id};
    const handover = new PrimaryHandover(options);
    handovers.set(id, handover);
    void rights.run(stopping.signal);
    return {rights, handover};
  };
  /** Records an order and returns how long clearing the way took. */
  const clear = async (
    node: ReturnType<typeof createNode>,
    order: PrimaryOrder,
  ) => {
    expect(await node.handover.record(GROUP, order)).toBe('recorded');
    const {signal} = new AbortController();
    const startedAt = clock.now();
    let outcome: string | undefined;
    void node.handover
      .clear(GROUP, order, signal)
      .then(result => (outcome = result));
    while (outcome === undefined) await clock.advance(STEP_MS);
    return {outcome, tookMs: clock.now() - startedAt};
  };
  return {clock, store, createNode, clear, unreachable, cutOff, peers};
}

describe('the right to a primary', () => {
  it('is handed back to an order by every node that holds it, at once', async () => {
    const {createNode, clear} = createFleet();
    const [a, b, c] = [createNode('a'), createNode('b'), createNode('c')];
    for (const {rights} of [a, b, c]) await rights.acquire(GROUP);
    const claims = [a, b, c].map(({rights}) => rights.claim(GROUP)!);
    const {outcome, tookMs} = await clear(a, orderOf(5));
    expect(outcome).toBe('cleared');
    expect(tookMs).toBeLessThanOrEqual(2 * STEP_MS);
    expect(claims.map(({isValid}) => isValid)).toEqual([false, false, false]);
    expect([b, c].map(({rights}) => rights.orderOf(GROUP)?.token)).toEqual([
      5, 5,
    ]);
  });

  it('holds an order up until the lease of an unreachable holder has run out', async () => {
    const {createNode, clear, unreachable, cutOff} = createFleet();
    const [a, b] = [createNode('a'), createNode('b')];
    await b.rights.acquire(GROUP);
    const claim = b.rights.claim(GROUP)!;
    unreachable.add('b');
    cutOff.add('b');
    await a.rights.acquire(GROUP);
    const {outcome, tookMs} = await clear(a, orderOf(5));
    expect(outcome).toBe('cleared');
    expect(tookMs).toBeGreaterThanOrEqual(RIGHT_TTL_MS - STEP_MS);
    expect(claim.isValid).toBe(false);
  });

  it('is given up at the store by a holder that only the store reaches', async () => {
    const {createNode, clear, unreachable, clock} = createFleet();
    const [a, b] = [createNode('a'), createNode('b')];
    await b.rights.acquire(GROUP);
    const claim = b.rights.claim(GROUP)!;
    unreachable.add('b');
    const clearing = clear(a, orderOf(5));
    await clock.advance(500);
    b.rights.observe(GROUP, orderOf(5));
    const {outcome, tookMs} = await clearing;
    expect({outcome, isValid: claim.isValid}).toEqual({
      outcome: 'cleared',
      isValid: false,
    });
    expect(tookMs).toBeLessThan(2_000);
  });

  it('shows the order that is under way to a node that acquires it later', async () => {
    const {createNode} = createFleet();
    const [a, b] = [createNode('a'), createNode('b')];
    await a.handover.record(GROUP, orderOf(5));
    await b.rights.acquire(GROUP);
    expect(b.rights.orderOf(GROUP)).toEqual(orderOf(5));
  });

  it('lets work that is under way end before it is handed back', async () => {
    const {createNode, clock, peers} = createFleet();
    const b = createNode('b');
    await b.rights.acquire(GROUP);
    const claim = b.rights.claim(GROUP)!;
    const end = claim.begin();
    let isHandedBack = false;
    const body = {group: GROUP, node: 'b', order: orderOf(5)};
    const to = {id: 'b', host: 'h', port: 1};
    void peers
      .call(to, HAND_BACK_METHOD, body, {timeoutMs: 1_000})
      .then(() => (isHandedBack = true));
    await clock.advance(100);
    expect(isHandedBack).toBe(false);
    expect(claim.isValid).toBe(true);
    end();
    await clock.advance(100);
    expect(isHandedBack).toBe(true);
    expect(claim.isValid).toBe(false);
  });

  it('refuses a late order after a later one', async () => {
    const {createNode, peers} = createFleet();
    const [a, b] = [createNode('a'), createNode('b')];
    expect(await a.handover.record(GROUP, orderOf(9, 'a'))).toBe('recorded');
    expect(await b.handover.record(GROUP, orderOf(8, 'b'))).toBe('superseded');
    const body = {group: GROUP, node: 'a', order: orderOf(8, 'b')};
    const to = {id: 'a', host: 'h', port: 1};
    const options = {timeoutMs: 1_000};
    expect(await peers.call(to, HAND_BACK_METHOD, body, options)).toBe(false);
  });

  it.each([
    undefined,
    'hand back',
    {group: GROUP, node: 'a'},
    {group: GROUP, node: 'a', order: {...orderOf(5), token: 'soon'}},
    {group: GROUP, node: 'b', order: orderOf(5)},
  ])(
    'is not handed back for a malformed or misdirected request (%j)',
    async body => {
      const {createNode, peers} = createFleet();
      const {rights} = createNode('a');
      await rights.acquire(GROUP);
      const claim = rights.claim(GROUP)!;
      const to = {id: 'a', host: 'h', port: 1};
      const options = {timeoutMs: 1_000};
      const call = peers.call(to, HAND_BACK_METHOD, body, options);
      await expect(call).rejects.toThrow(/malformed|not node/);
      expect(claim.isValid).toBe(true);
      expect(rights.orderOf(GROUP)).toBeUndefined();
    },
  );

  it('is no longer held by a node that the store does not answer', async () => {
    const {createNode, clock, store} = createFleet();
    const {rights} = createNode('a');
    await rights.acquire(GROUP);
    await clock.advance(RIGHT_TTL_MS * 2);
    expect(rights.isHeld(GROUP)).toBe(true);
    store.isDown = true;
    await clock.advance(RIGHT_TTL_MS);
    expect(rights.isHeld(GROUP)).toBe(false);
    expect(await rights.acquire(GROUP)).toBe(false);
    store.isDown = false;
    await clock.advance(500);
    expect(await rights.acquire(GROUP)).toBe(true);
  });

  it('that a restored store has lost still holds an order up', async () => {
    const {createNode, clear, store, unreachable, cutOff} = createFleet();
    const [a, b] = [createNode('a'), createNode('b')];
    const copy = store.takeCopy();
    await b.rights.acquire(GROUP);
    const claim = b.rights.claim(GROUP)!;
    unreachable.add('b');
    cutOff.add('b');
    store.restore(copy);
    expect(claim.isValid).toBe(true);
    const token = 2 ** 40 + 5;
    await a.rights.acquire(GROUP);
    const {outcome, tookMs} = await clear(a, orderOf(token));
    expect(outcome).toBe('cleared');
    expect(tookMs).toBeGreaterThanOrEqual(RIGHT_TTL_MS - STEP_MS);
    expect(claim.isValid).toBe(false);
  });

  it('outlasts a restore of the store without a gap', async () => {
    const {createNode, clock, store} = createFleet();
    const {rights} = createNode('a');
    await rights.acquire(GROUP);
    const copy = {...store.takeCopy(), items: new Map(), expiry: new Map()};
    store.restore(copy);
    const claim = rights.claim(GROUP)!;
    for (let n = 0; n < RIGHT_TTL_MS / STEP_MS; n++) {
      await clock.advance(STEP_MS);
      expect(claim.isValid).toBe(true);
    }
    expect(store.read(`zinnia/rights/${GROUP}/a`)).toBeDefined();
  });

  it('writes an order again that a restored store has lost', async () => {
    const {createNode, clock, store} = createFleet();
    const {rights, handover} = createNode('a');
    await rights.acquire(GROUP);
    const copy = store.takeCopy();
    await handover.record(GROUP, orderOf(9));
    store.restore(copy);
    await clock.advance(RIGHT_TTL_MS);
    expect(store.read(`zinnia/primaries/${GROUP}`)).toContain('"token":9');
  });
});
