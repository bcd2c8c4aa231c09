import {describe, expect, it} from 'vitest';
import {Leadership} from '../../src/groups/leadership.js';
import {FailoverCoordinator} from '../../src/groups/failover-coordinator.js';
import type {TrackedDatabase} from '../../src/groups/tracked-database.js';
import type {PrimaryOrder} from '../../src/groups/primary-order.js';
import type {DatabaseState} from '../../src/statements/types.js';
import {createLogger} from '../../src/telemetry/log.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const STEP_MS = 10;
const TIME_LIMIT_MS = 5_000;
/** Interval at which a replica that catches up is asked. */
const POLL_MS = 20;

/** Returns the answer of a database to a state query. */
type Answer = () => DatabaseState | undefined;

const replicaAt = (offset: number): DatabaseState => ({
  role: 'replica',
  term: 1,
  received: {term: 1, offset},
});

/** The situation of the node that runs the keeper. */
interface Situation {
  /** Whether the primary drains, instead of being silent. */
  readonly isDraining?: boolean;
  readonly isResponsible?: boolean;
  /** Whether the node can acquire the failover lease. */
  readonly canAcquire?: boolean;
  /** Whether the node holds the lease from an earlier order. */
  readonly isHeld?: boolean;
  /** Whether the replicas drain as well. */
  readonly areReplicasDraining?: boolean;
  readonly hasFreshCopy?: boolean;
  /** Databases whose data centre is evacuated. */
  readonly evacuated?: Set<string>;
  /** Whether the bound of the evacuation is reached. */
  readonly isClosed?: boolean;
  /** The last log offset that the primary's answers showed. */
  readonly shown?: number | undefined;
  /** Whether the primary is too busy to report its state. */
  readonly isBusy?: () => boolean;
  /** Whether the primary answers. */
  readonly doesAnswer?: boolean;
  /** Whether it is the group's turn to leave the data centre. */
  readonly isDue?: boolean;
  /** Called when the rights to the old primary are handed back. */
  readonly onCleared?: () => void;
  /** The order by which the primary leads. */
  readonly order?: PrimaryOrder;
  readonly syncReplicas?: number;
}

/** Runs a keeper with a silent primary `a`; returns what it promotes. */
async function runKeeper(
  replicas: Readonly<
    Record<string, {readonly answer: Answer; readonly shown: number}>
  >,
  {
    isDraining = false,
    isResponsible = true,
    canAcquire = true,
    isHeld = true,
    areReplicasDraining = false,
    hasFreshCopy = true,
    evacuated = new Set(),
    isClosed = false,
    doesAnswer = false,
    isBusy = () => false,
    isDue = true,
    onCleared = () => {},
    order,
    syncReplicas = 0,
    ...rest
  }: Situation = {},
) {
  const shown = 'shown' in rest ? rest.shown : 99;
  const clock = new VirtualClock();
  const leadership = new Leadership();
  leadership.recordProof('a', order?.term ?? 1, 0);
  if (order !== undefined) leadership.recordOrder(order);
  const steppedDown: string[] = [];
  const promoted: string[] = [];
  let writeHolds = 0;
  let renewals = 0;
  const asked: string[] = [];
  const answerOfPrimary = async (): Promise<DatabaseState | undefined> => {
    asked.push('a');
    if (isBusy()) return undefined;
    if (!doesAnswer) throw new Error('no answer');
    return {role: 'primary', term: 1, received: {term: 1, offset: 99}};
  };
  const silent: TrackedDatabase = {
    id: 'a',
    isDraining,
    get isEvacuated() {
      return evacuated.has('a');
    },
    get isClosed() {
      return evacuated.has('a') && isClosed;
    },
    isSuspect: !isDraining && !doesAnswer,
    visiblePosition: shown === undefined ? undefined : {term: 1, offset: shown},
    queryState: answerOfPrimary,
    queryStateOnOpenConnection: answerOfPrimary,
    stepDown: async () => {
      throw new Error('no answer');
    },
  };
  const others = Object.entries(replicas).map(
    ([id, {answer, shown}]): TrackedDatabase => ({
      id,
      isDraining: areReplicasDraining,
      get isEvacuated() {
        return evacuated.has(id);
      },
      get isClosed() {
        return evacuated.has(id) && isClosed;
      },
      isSuspect: false,
      visiblePosition: {term: 1, offset: shown},
      queryState: async () => answer(),
      queryStateOnOpenConnection: async () => answer(),
      stepDown: async () => {
        steppedDown.push(id);
        return {...answer()!, role: 'replica'};
      },
    }),
  );
  const keeper = new FailoverCoordinator({
    clock,
    log: createLogger('silent'),
    group: 'claims',
    self: 'node-1',
    leadership,
    syncReplicas: () => syncReplicas,
    failoverLease: {
      acquireToken: async () => (canAcquire ? 7 : undefined),
      isHeld: () => isHeld,
      keep: async () => {
        renewals += 1;
      },
      release: async () => {},
    },
    orders: {
      promote: async ({databaseId}) => {
        promoted.push(databaseId);
        return {kind: 'accepted'};
      },
    },
    handover: {
      record: async () => 'recorded',
      clear: async () => {
        onCleared();
        return 'cleared';
      },
    },
    acquireRight: async () => true,
    databases: () => [silent, ...others],
    responsibility: () => ({
      node: 'node-1',
      isSelf: isResponsible,
      firstHome: 'node-1',
      primaryDataCentre: undefined,
      members: 1,
    }),
    isEvacuationDue: () => isDue,
    hasFreshCopy: () => hasFreshCopy,
    recordAttempt: () => {},
    holdWrites: async () => {
      writeHolds += 1;
      return () => {};
    },
    onUnreachable: () => {},
    onPromoted: () => {},
  });
  const stop = new AbortController();
  void keeper.run(stop.signal);
  const startedAt = clock.now();
  while (promoted.length === 0 && clock.now() - startedAt < TIME_LIMIT_MS) {
    await clock.advance(STEP_MS);
  }
  stop.abort();
  const tookMs = clock.now() - startedAt;
  return {promoted, writeHolds, renewals, steppedDown, asked, tookMs};
}

describe('primary keeper of a group whose primary is silent', () => {
  it('promotes the most advanced replica that reports its state', async () => {
    const {promoted} = await runKeeper({
      b: {answer: () => replicaAt(5), shown: 9},
      c: {answer: () => replicaAt(8), shown: 1},
    });
    expect(promoted[0]).toBe('c');
  });

  it('has an old primary that goes on step down before it is promoted again', async () => {
    const {promoted, steppedDown} = await runKeeper(
      {b: {answer: () => ({...replicaAt(5), role: 'primary'}), shown: 1}},
      {
        order: {
          databaseId: 'a',
          term: 2,
          wasReplica: true,
          token: 3,
          orderer: 'node-1',
        },
      },
    );
    expect({promoted, steppedDown}).toEqual({
      promoted: ['b'],
      steppedDown: ['b'],
    });
  });

  it('queries a replica again that was too busy to report its state', async () => {
    let asked = 0;
    const {promoted, tookMs} = await runKeeper({
      b: {answer: () => (++asked > 4 ? replicaAt(5) : undefined), shown: 1},
    });
    expect(promoted[0]).toBe('b');
    expect(tookMs).toBeLessThan(500);
  });

  it('promotes a replica that answers statements if all are too busy to report', async () => {
    const {promoted, tookMs} = await runKeeper({
      b: {answer: () => undefined, shown: 5},
      c: {answer: () => undefined, shown: 8},
    });
    expect(promoted[0]).toBe('c');
    expect(tookMs).toBeLessThan(1_000);
  });
});

describe('primary keeper of a group whose commits one replica receives first', () => {
  const SYNC = {syncReplicas: 1};

  // The one that received nothing was promoted, as the other answered late.
  it('waits for a busy replica that may have more, and promotes that one', async () => {
    let asked = 0;
    const {promoted} = await runKeeper(
      {
        b: {answer: () => replicaAt(5), shown: 5},
        c: {answer: () => (++asked > 60 ? replicaAt(8) : undefined), shown: 3},
      },
      SYNC,
    );
    expect(promoted[0]).toBe('c');
  });

  it('promotes a busy replica whose answers show that no other has more', async () => {
    const {promoted, tookMs} = await runKeeper(
      {
        b: {answer: () => replicaAt(5), shown: 5},
        c: {answer: () => undefined, shown: 8},
      },
      SYNC,
    );
    expect(promoted[0]).toBe('c');
    expect(tookMs).toBeLessThan(4_000);
  });

  it('promotes none while one that may have more is silent', async () => {
    const {promoted} = await runKeeper(
      {
        b: {answer: () => replicaAt(5), shown: 5},
        c: {answer: () => undefined, shown: 4},
      },
      SYNC,
    );
    expect(promoted).toEqual([]);
  });

  it('counts a draining replica, which it does not promote', async () => {
    const {promoted} = await runKeeper(
      {
        b: {answer: () => replicaAt(5), shown: 5},
        c: {answer: () => undefined, shown: 4},
      },
      {...SYNC, areReplicasDraining: true},
    );
    expect(promoted).toEqual([]);
  });

  it('loses no commit that is acknowledged until the old primary is deposed', async () => {
    let latest = 5;
    const {promoted} = await runKeeper(
      {
        b: {answer: () => replicaAt(6), shown: 5},
        c: {answer: () => replicaAt(latest), shown: 5},
      },
      {...SYNC, onCleared: () => (latest = 9)},
    );
    expect(promoted[0]).not.toBe('b');
  });

  it('promotes no replica that does not catch up with a draining primary', async () => {
    const {promoted} = await runKeeper(
      {b: {answer: () => replicaAt(90), shown: 90}},
      {...SYNC, isDraining: true, doesAnswer: true},
    );
    expect(promoted).toEqual([]);
  });

  it('promotes a replica that has caught up with a draining primary', async () => {
    let asked = 0;
    const {promoted} = await runKeeper(
      {
        b: {answer: () => replicaAt(++asked > 30 ? 99 : 90), shown: 90},
        c: {answer: () => undefined, shown: 4},
      },
      {...SYNC, isDraining: true, doesAnswer: true},
    );
    expect(promoted[0]).toBe('b');
  });
});

describe('primary keeper of a node that holds the failover lease or lacks it', () => {
  const replicas = {b: {answer: () => replicaAt(5), shown: 5}};

  it('replaces a failed primary while the responsible node has to wait for its lease', async () => {
    const situation = {isResponsible: false, isHeld: true};
    expect((await runKeeper(replicas, situation)).promoted[0]).toBe('b');
  });

  it('leaves a draining primary to the responsible node, which holds the writes', async () => {
    const situation = {isDraining: true, isResponsible: false, isHeld: true};
    const {promoted, writeHolds} = await runKeeper(replicas, situation);
    expect(promoted).toEqual([]);
    expect(writeHolds).toBe(0);
  });

  it('does not replace a draining primary by another draining database', async () => {
    const situation = {isDraining: true, areReplicasDraining: true};
    expect((await runKeeper(replicas, situation)).promoted).toEqual([]);
  });

  it('replaces a failed primary by a draining database if there is no other', async () => {
    const situation = {areReplicasDraining: true};
    expect((await runKeeper(replicas, situation)).promoted[0]).toBe('b');
  });

  it('renews the lease while it is responsible only', async () => {
    expect((await runKeeper(replicas)).renewals).toBeGreaterThan(0);
    const situation = {isDraining: true, isResponsible: false};
    expect((await runKeeper(replicas, situation)).renewals).toBe(0);
  });

  it('does not replace a primary by a copy of the store that may miss a promotion', async () => {
    const situation = {hasFreshCopy: false};
    expect((await runKeeper(replicas, situation)).promoted).toEqual([]);
  });

  it('holds no writes while another node has the lease', async () => {
    const situation = {isDraining: true, canAcquire: false, isHeld: false};
    const {promoted, writeHolds} = await runKeeper(replicas, situation);
    expect(promoted).toEqual([]);
    expect(writeHolds).toBe(0);
  });
});

describe('primary keeper of a group whose primary is in an evacuated data centre', () => {
  /** A replica whose log reaches that of the primary after some questions. */
  const catchingUp = (questions: number) => {
    let asked = 0;
    const answer = () => replicaAt(++asked > questions ? 99 : 90);
    return {answer, shown: 90};
  };
  const situation = {evacuated: new Set(['a']), doesAnswer: true};

  it('holds writes until the replica has caught up, and only then promotes it', async () => {
    // Longer than a draining primary's successor may take: 1,500 ms.
    const questions = 100;
    const {promoted, writeHolds, tookMs} = await runKeeper(
      {b: catchingUp(questions)},
      situation,
    );
    expect({promoted, writeHolds}).toEqual({promoted: ['b'], writeHolds: 1});
    expect(tookMs).toBeGreaterThanOrEqual((questions - 1) * POLL_MS);
  });

  it('waits for a log that stands still if a closed primary showed no end of its own', async () => {
    let offset = 50;
    const {promoted, asked} = await runKeeper(
      {b: {answer: () => replicaAt(offset < 70 ? offset++ : 70), shown: 50}},
      {...situation, isClosed: true, shown: undefined},
    );
    expect({promoted, asked, offset}).toEqual({
      promoted: ['b'],
      asked: [],
      offset: 70,
    });
  });

  it('asks a busy primary again for the end of its log', async () => {
    let busy = 5;
    const {promoted, asked} = await runKeeper(
      {b: catchingUp(20)},
      {...situation, isBusy: () => busy-- > 0},
    );
    expect({promoted, asked: asked.length}).toEqual({
      promoted: ['b'],
      asked: 6,
    });
  });

  it('asks a closed primary nothing, and takes the end of its log from its answers', async () => {
    const {promoted, asked, tookMs} = await runKeeper(
      {b: catchingUp(20)},
      {...situation, isClosed: true},
    );
    expect({promoted, asked}).toEqual({promoted: ['b'], asked: []});
    expect(tookMs).toBeGreaterThanOrEqual((20 - 1) * POLL_MS);
  });

  it('waits for its turn', async () => {
    const {promoted} = await runKeeper(
      {b: catchingUp(0)},
      {...situation, isDue: false},
    );
    expect(promoted).toEqual([]);
  });

  it.each([
    ['a planned change', true],
    ['a failed primary', false],
  ])(
    'promotes no evacuated database for %s, also as a last resort',
    async (_, doesAnswer) => {
      const {promoted, writeHolds} = await runKeeper(
        {b: catchingUp(0), c: catchingUp(0)},
        {evacuated: new Set(['a', 'b', 'c']), doesAnswer},
      );
      expect({promoted, writeHolds}).toEqual({promoted: [], writeHolds: 0});
    },
  );

  it('completes the change if the evacuation is withdrawn meanwhile', async () => {
    const evacuated = new Set(['a']);
    const {promoted} = await runKeeper(
      {b: catchingUp(5)},
      {evacuated, doesAnswer: true, onCleared: () => evacuated.delete('a')},
    );
    expect(promoted).toEqual(['b']);
  });

  it('chooses another database if that of the order is evacuated meanwhile', async () => {
    const evacuated = new Set(['a']);
    const {promoted} = await runKeeper(
      {
        b: {answer: () => replicaAt(99), shown: 99},
        c: {answer: () => replicaAt(98), shown: 98},
      },
      {evacuated, doesAnswer: true, onCleared: () => evacuated.add('b')},
    );
    expect(promoted).toEqual(['c']);
  });
});
