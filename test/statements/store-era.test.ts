import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  EMPTY_CATALOG,
  type AnnouncedDatabase,
} from '../../src/catalog/types.js';
import {LAPSE_GRACE_MS} from '../../src/fleet/member-list.js';
import {MemberLease} from '../../src/fleet/member-lease.js';
import {memberKey} from '../../src/fleet/member-record.js';
import {
  FAILOVER_LEASE_TTL_MS,
  FailoverLease,
} from '../../src/groups/failover-lease.js';
import {EraCheckedStore} from '../../src/infra/era-checked-store.js';
import {ClusterState} from '../../src/node/cluster-state.js';
import {createLogger} from '../../src/telemetry/log.js';
import {FakeLeasedStore} from '../fakes/leased-store.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const CONFIG_KEY = 'op/config';
const DATABASE_KEY = 'servers/db-1';
const GROUP = 'claims';
const EVACUATE_MS = 5_000;
/** Longer than two polls of the store and the grace for missing members. */
const SETTLE_MS = 3_000;

const database = (rest: Partial<AnnouncedDatabase>): AnnouncedDatabase => ({
  id: 'db-1',
  group: GROUP,
  host: 'h',
  port: 1,
  dataCentre: 'hobart',
  slots: 2,
  isDraining: false,
  role: 'primary',
  sequence: 1,
  startedAt: 1_000,
  ...rest,
});

/** A node's state and leases over a store that can be restored. */
function createNode(
  clock = new VirtualClock(),
  fake = new FakeLeasedStore(clock),
) {
  const rejected: string[] = [];
  const log = createLogger('silent');
  const metrics = {
    recordEra: () => {},
    recordRejectedAnswer: () => rejected.push('answer'),
    recordRejectedValue: (reason: string) => rejected.push(reason),
  };
  const store = new EraCheckedStore({store: fake, log, metrics});
  const state = new ClusterState({
    clock,
    log,
    self: 'node-1',
    store,
    metrics,
    evacuateMs: EVACUATE_MS,
    decode: ({key, value}) => {
      if (key === CONFIG_KEY) {
        if (value === undefined) return undefined;
        const catalog = {...EMPTY_CATALOG, version: Number(value)};
        return {kind: 'catalog', catalog};
      }
      if (!key.startsWith('servers/')) return undefined;
      const entry =
        value === undefined
          ? undefined
          : (JSON.parse(value) as AnnouncedDatabase);
      return {kind: 'database', id: key.slice('servers/'.length), entry};
    },
    onDatabase: () => {},
    onOrder: () => true,
  });
  const stop = new AbortController();
  const announce = (rest: Partial<AnnouncedDatabase>) =>
    fake.put(DATABASE_KEY, JSON.stringify(database(rest)));
  return {
    clock,
    fake,
    store,
    state,
    rejected,
    announce,
    start: () => void state.feed.run(stop.signal),
    known: () => [...state.entries][0],
    settle: () => clock.advance(SETTLE_MS),
  };
}

describe('a cold database that counts down in its heartbeats', () => {
  it('is relayed as it becomes cold and as it becomes warm, and not in between', async () => {
    const {announce, start, state, settle} = createNode();
    const relayed = () => JSON.stringify(state.relay.serve({}));
    announce({sequence: 1});
    start();
    await settle();
    announce({sequence: 2, coldRemainingMs: 20_000});
    await settle();
    expect(relayed()).toContain('"coldRemainingMs\\":20000');
    expect(state.coldRemainingMs('db-1')).toBeGreaterThan(15_000);
    announce({sequence: 3, coldRemainingMs: 17_000});
    await settle();
    expect(relayed()).toContain('"coldRemainingMs\\":20000');
    announce({sequence: 4, coldRemainingMs: 0});
    await settle();
    expect(relayed()).toContain('"coldRemainingMs\\":0');
    expect(state.coldRemainingMs('db-1')).toBe(0);
  });
});

describe('a node after the store was restored from an older copy', () => {
  it('keeps a draining database draining', async () => {
    const {fake, announce, start, known, settle, rejected} = createNode();
    announce({sequence: 5});
    start();
    await settle();
    const copy = fake.takeCopy();
    announce({sequence: 6, isDraining: true});
    await settle();
    fake.restore(copy);
    await settle();
    expect(known()).toMatchObject({isDraining: true});
    expect(rejected).toContain('olderReport');
    announce({sequence: 7});
    await settle();
    expect(known()).toMatchObject({isDraining: true});
    announce({sequence: 1, startedAt: 9_000});
    await settle();
    expect(known()).toMatchObject({isDraining: false, startedAt: 9_000});
  });

  it('keeps the newest configuration', async () => {
    const {fake, start, state, settle, rejected} = createNode();
    fake.put(CONFIG_KEY, '4');
    start();
    await settle();
    const copy = fake.takeCopy();
    fake.put(CONFIG_KEY, '7');
    await settle();
    fake.restore(copy);
    await settle();
    expect(state.catalog.version).toBe(7);
    expect(rejected).toContain('catalogVersion');
    fake.put(CONFIG_KEY, '9');
    await settle();
    expect(state.catalog.version).toBe(9);
  });

  it('does not use a database known as gone until it announces something new', async () => {
    const {fake, announce, start, known, settle} = createNode();
    announce({sequence: 5});
    start();
    await settle();
    const copy = fake.takeCopy();
    fake.remove(DATABASE_KEY);
    await settle();
    expect(known()).toBeUndefined();
    fake.restore(copy);
    await settle();
    expect(known()).toBeUndefined();
    announce({sequence: 6});
    await settle();
    expect(known()).toMatchObject({sequence: 6});
  });

  it('does not use the entry of an earlier process unless that goes on announcing itself', async () => {
    const {fake, announce, start, known, settle} = createNode();
    announce({sequence: 50, startedAt: 5_000});
    start();
    await settle();
    const copy = fake.takeCopy();
    announce({sequence: 1, startedAt: 8_000});
    await settle();
    fake.restore(copy);
    await settle();
    expect(known()).toMatchObject({startedAt: 8_000});
    announce({sequence: 51, startedAt: 5_000});
    await settle();
    expect(known()).toMatchObject({startedAt: 5_000});
  });

  it('relays what it keeps to nodes that list everything again', async () => {
    const {fake, announce, start, state, settle} = createNode();
    announce({sequence: 5});
    start();
    await settle();
    const copy = fake.takeCopy();
    announce({sequence: 6, isDraining: true});
    await settle();
    fake.restore(copy);
    await settle();
    const {revision} = state.feed.confirmedPosition!;
    expect(state.relay.serve({after: revision})).toEqual({isGone: true});
    const reply = state.relay.serve({});
    expect(reply).toMatchObject({era: 1});
    expect(JSON.stringify(reply)).toContain('"isDraining\\":true');
  });

  it('learns what the copy lacks from a node that knows it', async () => {
    const {clock, fake, announce, start, state, settle} = createNode();
    announce({sequence: 5});
    fake.put(CONFIG_KEY, '4');
    start();
    await settle();
    const copy = fake.takeCopy();
    announce({sequence: 6, isDraining: true});
    fake.put(CONFIG_KEY, '7');
    await settle();
    fake.restore(copy);
    await settle();
    const later = createNode(clock, fake);
    later.start();
    await settle();
    expect(later.known()).toMatchObject({isDraining: false});
    const snapshot = state.relay.serve({}) as unknown as {
      changes: [string, string | null, number][];
    };
    later.state.learn({
      asOf: state.feed.confirmedPosition!,
      events: snapshot.changes.map(([key, value, revision]) => ({
        key,
        value: value ?? undefined,
        revision,
      })),
    });
    expect(later.known()).toMatchObject({isDraining: true});
    expect(later.state.catalog.version).toBe(7);
  });

  it.each([
    // Other nodes keep a member whose record is missing for the second time.
    {hasWork: true, withinMs: 1_000},
    {hasWork: false, withinMs: LAPSE_GRACE_MS},
  ])(
    'writes its member record again in time (with work: $hasWork)',
    async options => {
      const {hasWork, withinMs} = options;
      const {clock, fake, store} = createNode();
      const member = {
        id: 'node-1',
        host: 'h',
        port: 1,
        dataCentre: 'hobart',
        instance: 'i',
        cores: 1,
        isLeaving: false,
      };
      const lease = new MemberLease({
        store,
        clock,
        log: createLogger('silent'),
        self: member,
        minTtlMs: 1_000,
        hasWork: () => hasWork,
        fleetSize: () => 7,
      });
      const empty = fake.takeCopy();
      void lease.run(new AbortController().signal);
      await clock.advance(5_000);
      const withRecord = fake.takeCopy();
      await lease.announceLeaving();
      for (const copy of [withRecord, empty]) {
        fake.restore(copy);
        await clock.advance(withinMs);
        expect(fake.read(memberKey('node-1'))).toContain('"isLeaving":true');
      }
    },
  );
});

describe('failover lease over restores of the store', () => {
  function createLease(
    store: EraCheckedStore,
    clock: VirtualClock,
    self: string,
  ) {
    const log = createLogger('silent');
    return new FailoverLease({store, clock, log, self, minTtlMs: 1_000});
  }

  it('is not held in a later era, and its next token is higher', async () => {
    const {clock, fake, store} = createNode();
    const lease = createLease(store, clock, 'a');
    const copy = fake.takeCopy();
    for (let n = 0; n < 10; n++) fake.put('k', `${n}`);
    const first = await lease.acquireToken(GROUP);
    fake.restore(copy);
    await store.list('');
    expect(lease.isHeld(GROUP)).toBe(false);
    expect(await lease.acquireToken(GROUP)).toBeGreaterThan(first!);
  });

  it('is not taken over by a revision that was given out again', async () => {
    const {clock, fake, store} = createNode();
    const other = createNode(clock, fake);
    const [a, b] = [
      createLease(store, clock, 'a'),
      createLease(other.store, clock, 'b'),
    ];
    const copy = fake.takeCopy();
    await a.acquireToken(GROUP);
    fake.restore(copy);
    const token = await b.acquireToken(GROUP);
    expect(token).toBeDefined();
    expect(await a.acquireToken(GROUP)).toBeUndefined();
  });

  it('gives rising tokens that no two holders share, and holds no older belief, in any series', async () => {
    const step = fc.oneof(
      fc.record({do: fc.constant('order'), node: fc.nat(2)}),
      fc.record({do: fc.constant('keep'), node: fc.nat(2)}),
      fc.record({do: fc.constant('copy')}),
      fc.record({do: fc.constant('restore')}),
      fc.record({do: fc.constant('restart'), node: fc.nat(2)}),
      fc.record({do: fc.constant('cut'), isDown: fc.boolean()}),
      fc.record({do: fc.constant('configure')}),
      fc.record({do: fc.constant('announce'), isDraining: fc.boolean()}),
      fc.record({
        do: fc.constant('wait'),
        ms: fc.integer({min: 1, max: 4_000}),
      }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
        const clock = new VirtualClock();
        const fake = new FakeLeasedStore(clock);
        const observer = createNode(clock, fake);
        observer.start();
        const holders = ['a', 'b', 'c'];
        const createHolder = (self: string) =>
          createLease(createNode(clock, fake).store, clock, self);
        const leases = holders.map(createHolder);
        const tokens: {readonly token: number; readonly holder: number}[] = [];
        let copy = fake.takeCopy();
        let version = 0;
        let sequence = 0;
        let isDraining = false;
        let highestSeen = 0;
        let hasSeenDrain = false;
        for (const action of steps) {
          if ('node' in action) {
            const {node} = action;
            if (action.do === 'restart')
              leases[node] = createHolder(holders[node]!);
            if (action.do === 'keep') await leases[node]!.keep(GROUP);
            if (action.do === 'order') {
              const token = await leases[node]!.acquireToken(GROUP);
              if (token !== undefined) tokens.push({token, holder: node});
            }
          }
          if (action.do === 'copy') copy = fake.takeCopy();
          if (action.do === 'restore') fake.restore(copy);
          if ('isDown' in action) fake.isDown = action.isDown;
          if (action.do === 'configure') fake.put(CONFIG_KEY, `${++version}`);
          if ('isDraining' in action) {
            isDraining ||= action.isDraining;
            observer.announce({sequence: ++sequence, isDraining});
          }
          if ('ms' in action) await clock.advance(action.ms);
          const {catalog} = observer.state;
          expect(catalog.version).toBeGreaterThanOrEqual(highestSeen);
          highestSeen = catalog.version;
          const known = observer.known();
          if (known !== undefined && hasSeenDrain) {
            expect(known.isDraining).toBe(true);
          }
          hasSeenDrain ||= known?.isDraining === true;
        }
        for (const [n, {token}] of tokens.entries()) {
          if (n > 0) expect(token).toBeGreaterThan(tokens[n - 1]!.token);
        }
      }),
      {seed: 19, numRuns: 200},
    );
  });

  it('runs out of the store after its time, whatever the era', async () => {
    const {clock, fake, store} = createNode();
    const other = createNode(clock, fake);
    await createLease(store, clock, 'a').acquireToken(GROUP);
    fake.restore(fake.takeCopy());
    await clock.advance(FAILOVER_LEASE_TTL_MS);
    const next = createLease(other.store, clock, 'b');
    expect(await next.acquireToken(GROUP)).toBeDefined();
  });
});

describe('answers of an earlier era', () => {
  it('are dropped and counted, and change nothing', async () => {
    const {fake, store, rejected} = createNode();
    await store.list('');
    const before = fake.takeCopy();
    fake.restore(before);
    await store.list('');
    expect(store.era).toBe(1);
    const late = new EraCheckedStore({
      store: {
        list: async () => ({values: [], asOf: {era: 0, revision: 9}}),
        changes: async () => ({events: [], asOf: {era: 0, revision: 9}}),
        swap: async () => ({kind: 'swapped', at: {era: 0, revision: 9}}),
        grant: async () => ({id: 'l', ttlMs: 1_000, era: 0}),
        renew: async () => ({isAlive: true, era: 0}),
        revoke: async () => {},
      },
      log: createLogger('silent'),
      metrics: {
        recordEra: () => {},
        recordRejectedAnswer: () => rejected.push('answer'),
      },
    });
    late.observe(1, 'notSent');
    await expect(late.list('')).rejects.toThrow(/era 0/);
    await expect(late.swap('k', 0, 'v')).rejects.toMatchObject({
      kind: 'unknown',
    });
    await expect(late.renew('l')).rejects.toThrow(/era 0/);
    expect(late.era).toBe(1);
    expect(rejected).toEqual(['answer', 'answer', 'answer']);
  });
});
