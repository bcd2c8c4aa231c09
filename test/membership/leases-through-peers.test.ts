import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {MemberLease} from '../../src/fleet/member-lease.js';
import {memberKey} from '../../src/fleet/member-record.js';
import {PeerBackedStore} from '../../src/fleet/peer-backed-store.js';
import {StoreAccess} from '../../src/fleet/store-access.js';
import {TrackedStore} from '../../src/fleet/tracked-store.js';
import {rightKey} from '../../src/groups/primary-right-record.js';
import {PrimaryRights} from '../../src/groups/primary-rights.js';
import {EraCheckedStore} from '../../src/infra/era-checked-store.js';
import type {LeasedStore} from '../../src/infra/leased-store.js';
import {StoreError} from '../../src/infra/store.js';
import {PeerError, type PeerCaller} from '../../src/peers/types.js';
import {createLogger} from '../../src/telemetry/log.js';
import {createFleetMember} from '../fakes/fleet-member.js';
import {interceptStore} from '../fakes/intercepted-store.js';
import {FakeLeasedStore} from '../fakes/leased-store.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const SEED = 20261204;
const RUNS = 200;
const IDS = ['a', 'b', 'c'] as const;
const GROUP = 'claims';
const STEP_MS = 50;
const SHORT_STEPS = 6;
/** Longer than a member lease. */
const LONG_STEPS = 50;
/** Longer than a lease and a retry of a node's own access. */
const RECOVERY_MS = 8_000;

type Id = (typeof IDS)[number];
/** How calls on one path end; `lost` ones are made and not answered. */
type Path = 'open' | 'refused' | 'lost' | 'slow';

const pathArb = fc.constantFrom<Path>('open', 'refused', 'lost', 'slow');
const eventArb = fc.oneof(
  fc.record({
    to: fc.constant('all'),
    from: fc.constantFrom(...IDS),
    path: fc.constantFrom<Path>('open', 'refused'),
  }),
  fc.record({
    to: fc.constant('store'),
    from: fc.constantFrom(...IDS),
    path: pathArb,
  }),
  fc.record({
    to: fc.constantFrom(...IDS),
    from: fc.constantFrom(...IDS),
    path: pathArb,
  }),
);

/** Three nodes with one store; each path between them can be disturbed. */
class Fleet {
  readonly clock = new VirtualClock();
  readonly store = new FakeLeasedStore(this.clock);
  readonly paths = new Map<string, Path>();
  readonly rights = new Map<Id, PrimaryRights>();
  readonly leases = new Map<Id, MemberLease>();
  readonly #stores = new Map<Id, PeerBackedStore>();
  readonly #stopping = new AbortController();

  constructor() {
    for (const id of IDS) this.#addNode(id);
  }

  /** Disturbs one path of a node, or all of them. */
  disturb(from: Id, to: string, path: Path): void {
    const ends = to === 'all' ? ['store', ...IDS] : [to];
    for (const end of ends) this.paths.set(`${from}-${end}`, path);
  }

  stop(): void {
    this.#stopping.abort();
  }

  /** Runs a call over a path, which may refuse, lose or delay it. */
  async #travel<Result>(
    from: Id,
    to: string,
    fail: (kind: 'notSent' | 'lost') => Error,
    call: () => Promise<Result>,
  ): Promise<Result> {
    const path = this.paths.get(`${from}-${to}`) ?? 'open';
    if (path === 'refused') throw fail('notSent');
    if (path === 'slow') await this.clock.sleep(100);
    const result = await call();
    if (path === 'slow') await this.clock.sleep(300);
    if (path === 'lost') {
      await this.clock.sleep(400);
      throw fail('lost');
    }
    return result;
  }

  #addNode(id: Id): void {
    const {clock} = this;
    const log = createLogger('silent');
    const metrics = {recordEra: () => {}, recordRejectedAnswer: () => {}};
    const access = new StoreAccess(clock);
    const peers: PeerCaller = {
      call: ({id: to}, _method, body) =>
        this.#travel(
          id,
          to,
          kind => new PeerError(kind, 'disturbed'),
          () => this.#stores.get(to as Id)!.serve(body),
        ),
    };
    const store = new PeerBackedStore({
      direct: new TrackedStore(
        new EraCheckedStore({store: this.#reachedBy(id), log, metrics}),
        access,
      ),
      access,
      peers,
      log,
      helpers: () =>
        IDS.filter(other => other !== id).map(other => ({
          id: other,
          host: 'h',
          port: 1,
        })),
      recordPeerCall: () => {},
    });
    this.#stores.set(id, store);
    const self = createFleetMember(id);
    const lease = new MemberLease({
      store,
      clock,
      log,
      self,
      minTtlMs: 1_000,
      hasWork: () => true,
      fleetSize: () => IDS.length,
    });
    const rights = new PrimaryRights({
      store,
      clock,
      log,
      self,
      minTtlMs: 1_000,
      onOrder: () => {},
    });
    this.leases.set(id, lease);
    this.rights.set(id, rights);
    void lease.run(this.#stopping.signal);
    void rights.run(this.#stopping.signal);
  }

  #reachedBy(id: Id): LeasedStore {
    return interceptStore(this.store, call =>
      this.#travel(
        id,
        'store',
        kind => new StoreError(kind === 'lost' ? 'unknown' : kind, 'disturbed'),
        call,
      ),
    );
  }
}

/** What a node relies on although the store holds it no longer. */
function findFalseBeliefs({store, rights, leases}: Fleet): readonly string[] {
  return IDS.flatMap(id => [
    ...(rights.get(id)!.isHeld(GROUP) &&
    store.read(rightKey(GROUP, id)) === undefined
      ? [`${id} relies on a right that has ended`]
      : []),
    ...(leases.get(id)!.isHeld && store.read(memberKey(id)) === undefined
      ? [`${id} relies on a lease that has ended`]
      : []),
  ]);
}

describe('leases and rights kept through peers', () => {
  it('are relied on by no node once the store has ended them, however calls fail', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(eventArb, {minLength: 5, maxLength: 40}),
        async events => {
          const fleet = new Fleet();
          await fleet.clock.advance(1_000);
          for (const {from, to, path} of events) {
            fleet.disturb(from, to, path);
            for (const id of IDS) void fleet.rights.get(id)!.acquire(GROUP);
            const steps = to === 'all' ? LONG_STEPS : SHORT_STEPS;
            for (let n = 0; n < steps; n++) {
              await fleet.clock.advance(STEP_MS);
              expect(findFalseBeliefs(fleet)).toEqual([]);
            }
          }
          fleet.stop();
        },
      ),
      {seed: SEED, numRuns: RUNS},
    );
  }, 110_000);

  it('are held by every node while one of them reaches the store', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(...IDS),
        fc.array(eventArb, {maxLength: 20}),
        async (reaching, events) => {
          const fleet = new Fleet();
          await fleet.clock.advance(1_000);
          for (const {from, to, path} of events) {
            fleet.disturb(from, to, path);
            await fleet.clock.advance(STEP_MS);
          }
          for (const id of IDS) {
            const isReaching = id === reaching;
            fleet.paths.set(`${id}-store`, isReaching ? 'open' : 'refused');
            fleet.paths.set(`${id}-${reaching}`, 'open');
          }
          for (let ms = 0; ms < RECOVERY_MS; ms += STEP_MS) {
            await fleet.clock.advance(STEP_MS);
            for (const id of IDS) void fleet.rights.get(id)!.acquire(GROUP);
          }
          const held = IDS.filter(
            id =>
              fleet.leases.get(id)!.isHeld &&
              fleet.rights.get(id)!.isHeld(GROUP),
          );
          expect(held).toEqual([...IDS]);
          fleet.stop();
        },
      ),
      {seed: SEED, numRuns: 40},
    );
  }, 110_000);
});
