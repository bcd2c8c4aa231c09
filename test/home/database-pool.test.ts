import {describe, expect, it} from 'vitest';
import {
  DatabasePool,
  type SlotRequest,
  type SlotResult,
} from '../../src/home/database-pool.js';
import type {TargetConnection} from '../../src/targets/types.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {createDatabaseSpec} from '../fakes/database-spec.js';

const DEADLINE_MS = 1_000;
const REQUESTS = 2_000;
const REQUEST: SlotRequest = {
  team: 'red',
  priority: 1,
  deadlineAt: DEADLINE_MS,
  cancelled: new AbortController().signal,
};
const SLOTS = 2;
/** One more statement than slots is in flight, so that no slot is idle. */
const CONCURRENCY = SLOTS + 1;

function createConnection(): TargetConnection {
  return {
    usable: true,
    transaction: 'idle',
    run: () => Promise.reject(new Error('not used')),
    cancel: async () => {},
    close: () => {},
  };
}

function createPool(clock: VirtualClock) {
  let connects = 0;
  const pool = new DatabasePool({
    clock,
    spec: createDatabaseSpec('db1', {slots: SLOTS}),
    connect: async () => {
      connects++;
      return createConnection();
    },
    connectionLimit: () => 12,
    weightOf: () => 1,
    isReachable: () => true,
  });
  return {pool, connects: () => connects};
}

async function flushCallbacks(): Promise<void> {
  for (let n = 0; n < 10; n++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

describe('database pool', () => {
  it('refuses requests at once that cannot be served in time', async () => {
    const clock = new VirtualClock();
    const {pool} = createPool(clock);
    const results: SlotResult[] = [];
    for (let n = 0; n < REQUESTS; n++) {
      void pool.acquire(REQUEST).then(result => void results.push(result));
    }
    await flushCallbacks();
    const granted = results.filter(({kind}) => kind === 'granted');
    const refused = results.flatMap(result =>
      result.kind === 'refused' ? [result.verdict] : [],
    );
    expect(granted).toHaveLength(CONCURRENCY);
    expect(refused.length).toBeGreaterThan(0);
    expect(pool.outstanding).toBe(REQUESTS - refused.length);
    for (const {reason, retryAfterMs} of refused) {
      expect(reason).toBe('overloaded');
      expect(retryAfterMs).toBeGreaterThan(0);
    }
  });

  it('refuses a cancelled request while it waits or connects', async () => {
    const {pool} = createPool(new VirtualClock());
    const cancel = new AbortController();
    const req = {...REQUEST, cancelled: cancel.signal};
    const pending = Array.from({length: CONCURRENCY + 2}, () =>
      pool.acquire(req),
    );
    const other = pool.acquire(REQUEST);
    cancel.abort();
    for (const result of await Promise.all([...pending, pool.acquire(req)])) {
      expect(result).toMatchObject({verdict: {reason: 'cancelled'}});
    }
    expect((await other).kind).toBe('granted');
    expect(pool.outstanding).toBe(1);
  });

  it('gives a released slot and its connection to the next request', async () => {
    const {pool, connects} = createPool(new VirtualClock());
    const granted = await Promise.all(
      Array.from({length: CONCURRENCY}, () => pool.acquire(REQUEST)),
    );
    const waiting = pool.acquire(REQUEST);
    const [result] = granted;
    if (result?.kind !== 'granted') throw new Error('the slot was refused');
    result.slot.release();
    result.slot.release();
    expect((await waiting).kind).toBe('granted');
    expect(connects()).toBe(CONCURRENCY);
    expect(pool.outstanding).toBe(CONCURRENCY);
  });

  it('sends no waiting request to a database that has left the group', async () => {
    const {pool, connects} = createPool(new VirtualClock());
    const granted = await Promise.all(
      Array.from({length: CONCURRENCY}, () => pool.acquire(REQUEST)),
    );
    const waiting = pool.acquire(REQUEST);
    pool.close();
    for (const result of granted) {
      if (result.kind === 'granted') result.slot.release();
    }
    expect(await waiting).toMatchObject({
      kind: 'refused',
      verdict: {reason: 'targetUnavailable'},
    });
    expect(connects()).toBe(CONCURRENCY);
  });

  it('grants no connection that was opened while its database left the group', async () => {
    const {pool} = createPool(new VirtualClock());
    const opening = pool.acquire(REQUEST);
    pool.close();
    expect((await opening).kind).toBe('refused');
  });
});
