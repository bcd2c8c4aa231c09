import {describe, expect, it} from 'vitest';
import {MemberLease} from '../../src/fleet/member-lease.js';
import {MemberList} from '../../src/fleet/member-list.js';
import {StoreError} from '../../src/infra/store.js';
import {createLogger} from '../../src/telemetry/log.js';
import {createFleetMember} from '../fakes/fleet-member.js';
import {FakeLeasedStore} from '../fakes/leased-store.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const STEP_MS = 100;
const DAY_MS = 60_000;
/** Other nodes take a node's work over within this time of its last sign. */
const TAKEOVER_MS = 2_000;

function memberOf(n: number) {
  return createFleetMember(`front-${n}`, {dataCentre: `dc-${n % 6}`});
}

function createLease(hasWork: () => boolean) {
  const clock = new VirtualClock();
  const store = new FakeLeasedStore(clock);
  const lease = new MemberLease({
    store,
    clock,
    log: createLogger('silent'),
    self: memberOf(1),
    minTtlMs: 1_000,
    hasWork,
    fleetSize: () => 195,
  });
  const stop = new AbortController();
  void lease.run(stop.signal);
  const isRegistered = () => store.read('zinnia/members/front-1') !== undefined;
  return {clock, store, lease, stop, isRegistered};
}

describe('the lease of a member', () => {
  it('is renewed at most a third as often by a node without work, and stays registered', async () => {
    const renewals = [];
    for (const hasWork of [true, false]) {
      const {clock, store, isRegistered} = createLease(() => hasWork);
      await clock.advance(10_000);
      store.calls.clear();
      for (let ms = 0; ms < DAY_MS; ms += STEP_MS) {
        await clock.advance(STEP_MS);
        expect(isRegistered()).toBe(true);
      }
      renewals.push(store.calls.get('renew') ?? 0);
    }
    const [busy = 0, idle = 0] = renewals;
    expect(idle).toBeLessThanOrEqual(busy / 3);
  });

  it('of a node with work ends soon after the node has failed', async () => {
    const {clock, stop, isRegistered} = createLease(() => true);
    await clock.advance(10_000);
    stop.abort();
    await clock.advance(TAKEOVER_MS + STEP_MS);
    expect(isRegistered()).toBe(false);
  });

  it('is exchanged without a gap as the node gets work and loses it', async () => {
    let hasWork = false;
    const {clock, lease, isRegistered} = createLease(() => hasWork);
    await clock.advance(STEP_MS);
    const heldFor = lease.heldForMs;
    for (let ms = 0; ms < DAY_MS; ms += STEP_MS) {
      hasWork = Math.floor(ms / 15_000) % 2 === 1;
      await clock.advance(STEP_MS);
      expect(lease.isHeld).toBe(true);
      expect(isRegistered()).toBe(true);
    }
    expect(lease.heldForMs).toBeGreaterThanOrEqual(heldFor + DAY_MS - STEP_MS);
  });

  it('keeps the record in the store after an exchange whose answer was lost', async () => {
    const {clock, store, lease, isRegistered} = createLease(() => true);
    await clock.advance(1_000);
    const swap = store.swap.bind(store);
    store.swap = async (...args) => {
      store.swap = swap;
      await swap(...args);
      throw new StoreError('unknown', 'the answer was lost');
    };
    for (let ms = 0; ms < DAY_MS; ms += STEP_MS) {
      await clock.advance(STEP_MS);
      if (lease.isHeld) expect(isRegistered()).toBe(true);
    }
    expect(lease.isHeld).toBe(true);
  });

  it('is relied on no longer by a node without work than by others', async () => {
    const {clock, lease, store} = createLease(() => false);
    await clock.advance(10_000);
    expect(lease.isHeld).toBe(true);
    store.isDown = true;
    await clock.advance(TAKEOVER_MS);
    expect(lease.isHeld).toBe(false);
  });
});

describe('budget owners', () => {
  it.each([
    [7, 7],
    [195, 28],
    [1_000, 64],
  ])('of %i nodes are at most %i', (nodes, most) => {
    const clock = new VirtualClock();
    const members = new MemberList({clock, mayHaveLapsed: () => false});
    for (let n = 0; n < nodes; n++) members.apply(`front-${n}`, memberOf(n));
    const owners = new Set<string>();
    for (let team = 0; team < 2_000; team++) {
      const order = members.stewardOrder(`budget team-${team}`);
      expect(order).toHaveLength(nodes);
      owners.add(order[0]!.id);
    }
    expect(owners.size).toBeLessThanOrEqual(most);
  });

  it('stay the same for nearly all teams as one node leaves', () => {
    const clock = new VirtualClock();
    const members = new MemberList({clock, mayHaveLapsed: () => false});
    for (let n = 0; n < 195; n++) members.apply(`front-${n}`, memberOf(n));
    const ownerOf = (team: number) =>
      members.stewardOrder(`budget team-${team}`)[0]!.id;
    const before = Array.from({length: 500}, (_, team) => ownerOf(team));
    members.apply(before[0]!, undefined);
    const moved = before.filter((id, team) => id !== ownerOf(team));
    expect(moved.length).toBeLessThan(500 * 0.12);
  });
});
