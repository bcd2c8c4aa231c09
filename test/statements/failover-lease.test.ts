import {describe, expect, it} from 'vitest';
import {
  FAILOVER_LEASE_TTL_MS,
  FailoverLease,
} from '../../src/groups/failover-lease.js';
import {EraCheckedStore} from '../../src/infra/era-checked-store.js';
import {createLogger} from '../../src/telemetry/log.js';
import {FakeLeasedStore} from '../fakes/leased-store.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const GROUP = 'claims';

function createLeases() {
  const clock = new VirtualClock();
  const fake = new FakeLeasedStore(clock);
  const log = createLogger('silent');
  const metrics = {recordEra: () => {}, recordRejectedAnswer: () => {}};
  const leaseOf = (self: string) =>
    new FailoverLease({
      store: new EraCheckedStore({store: fake, log, metrics}),
      clock,
      log,
      self,
      minTtlMs: 1_000,
    });
  return {clock, store: fake, leaseOf};
}

describe('failover lease', () => {
  it('excludes other nodes while it is held', async () => {
    const {leaseOf} = createLeases();
    const [a, b] = [leaseOf('a'), leaseOf('b')];
    expect(await a.acquireToken(GROUP)).toBeDefined();
    expect(await b.acquireToken(GROUP)).toBeUndefined();
    expect(a.isHeld(GROUP)).toBe(true);
    expect(b.isHeld(GROUP)).toBe(false);
    expect(await b.acquireToken('other group')).toBeDefined();
  });

  it('does not outlive the acts of a holder that goes on running', async () => {
    const {clock, leaseOf} = createLeases();
    const [a, b] = [leaseOf('a'), leaseOf('b')];
    const first = await a.acquireToken(GROUP);
    await clock.advance(FAILOVER_LEASE_TTL_MS);
    expect(a.isHeld(GROUP)).toBe(false);
    expect(await b.acquireToken(GROUP)).toBeGreaterThan(first!);
    expect(await a.acquireToken(GROUP)).toBeUndefined();
  });

  it('is kept by a holder that renews it, and by no other node', async () => {
    const {clock, leaseOf} = createLeases();
    const [a, b] = [leaseOf('a'), leaseOf('b')];
    await a.acquireToken(GROUP);
    for (let n = 0; n < 10; n++) {
      await clock.advance(FAILOVER_LEASE_TTL_MS / 2);
      await a.keep(GROUP);
      await b.keep(GROUP);
      expect(await b.acquireToken(GROUP)).toBeUndefined();
    }
    expect(a.isHeld(GROUP)).toBe(true);
  });

  it('keeps the token of an order that was taken during a renewal', async () => {
    const {clock, store, leaseOf} = createLeases();
    const lease = leaseOf('a');
    await lease.acquireToken(GROUP);
    await clock.advance(FAILOVER_LEASE_TTL_MS / 2);
    const renewal = lease.keep(GROUP);
    const second = await lease.acquireToken(GROUP);
    await renewal;
    const swapsBefore = store.calls.get('swap');
    expect(await lease.acquireToken(GROUP)).toBeGreaterThan(second!);
    // The revision of the last write was known: no conflict, one call.
    expect(store.calls.get('swap')).toBe(swapsBefore! + 1);
  });

  it('takes a higher token for each order, also after it has expired', async () => {
    const {clock, leaseOf} = createLeases();
    const lease = leaseOf('a');
    const tokens: number[] = [];
    for (const pauseMs of [0, 100, FAILOVER_LEASE_TTL_MS, 100]) {
      await clock.advance(pauseMs);
      tokens.push((await lease.acquireToken(GROUP))!);
    }
    expect(tokens).toEqual([...new Set(tokens)].toSorted((x, y) => x - y));
    expect(lease.isHeld(GROUP)).toBe(true);
  });

  it('can be taken at once after its release', async () => {
    const {leaseOf} = createLeases();
    const [a, b] = [leaseOf('a'), leaseOf('b')];
    await a.acquireToken(GROUP);
    await a.release(GROUP);
    expect(a.isHeld(GROUP)).toBe(false);
    expect(await b.acquireToken(GROUP)).toBeDefined();
  });

  it('expires although its release did not reach the store', async () => {
    const {clock, store, leaseOf} = createLeases();
    const [a, b] = [leaseOf('a'), leaseOf('b')];
    await a.acquireToken(GROUP);
    store.isDown = true;
    await a.release(GROUP);
    store.isDown = false;
    await clock.advance(FAILOVER_LEASE_TTL_MS);
    expect(await b.acquireToken(GROUP)).toBeDefined();
  });

  it('passes to the next process of the same node', async () => {
    const {leaseOf} = createLeases();
    const first = await leaseOf('a').acquireToken(GROUP);
    expect(await leaseOf('a').acquireToken(GROUP)).toBeGreaterThan(first!);
  });

  it('is not held after a pause of the process that the monotonic clock misses', async () => {
    const {clock, leaseOf} = createLeases();
    const lease = leaseOf('a');
    await lease.acquireToken(GROUP);
    clock.shiftWallClock(FAILOVER_LEASE_TTL_MS);
    expect(lease.isHeld(GROUP)).toBe(false);
  });
});
