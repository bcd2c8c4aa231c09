import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {HomeService} from '../../src/home/home-service.js';
import type {ExecRequest} from '../../src/home/types.js';
import type {GroupSpec} from '../../src/groups/types.js';
import type {Position} from '../../src/session/position.js';
import type {BatchOutcome, TargetConnection} from '../../src/targets/types.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {createRandom} from '../admission/random.js';

const SEED = 48;
const NODE = 'vm-1';
const SETTLE_MS = 2_000;
/** Many times the duration of a failover. */
const FAILOVER_MS = 10_000;
const WRITE: ExecRequest = {
  sessionId: 's1',
  group: 'claims',
  team: 'assessors',
  kind: 'write',
  priority: 0,
  deadlineMs: 60_000,
  token: undefined,
  staleMs: 0,
  frames: new Uint8Array(),
  commits: false,
  pin: undefined,
};

const IDLE: BatchOutcome = {
  transaction: 'idle',
  position: undefined,
  failed: false,
};

let time: VirtualClock;
let group: FakeGroup;
let spec: GroupSpec;
let homes: HomeService;
let cancelled: number;
/** The end of the next batches; undefined if they don't end. */
let end: BatchOutcome | undefined;
/** Position that the primary reports before a batch; its own by default. */
let start: Position | undefined;

function connect(): TargetConnection {
  return {
    usable: true,
    transaction: 'idle',
    run: (frames, observer) => {
      observer.onStart?.(start ?? group.database('db-1').received);
      const isLivenessCheck = frames.length > 0;
      const answer = isLivenessCheck ? IDLE : end;
      return answer ? Promise.resolve(answer) : new Promise(() => {});
    },
    cancel: async () => void cancelled++,
    close: () => {},
  };
}

/** Removes db-3 from the group's description. */
async function removeThird(): Promise<void> {
  spec = {...spec, databases: spec.databases.slice(0, 2)};
  await time.advance(SETTLE_MS);
}

function execute(req: ExecRequest = WRITE) {
  return homes.execute(req, () => {}, new AbortController().signal);
}

beforeEach(async () => {
  time = new VirtualClock();
  group = new FakeGroup(time);
  ({spec} = group);
  cancelled = 0;
  start = undefined;
  end = {
    transaction: 'open',
    position: group.database('db-1').received,
    failed: false,
  };
  const clock = time.forNode();
  const controls = group.controlsFor(NODE, clock);
  homes = new HomeService({
    clock,
    random: createRandom(SEED),
    dataCentre: 'dc-1',
    instanceId: 'vm-1/test',
    access: {
      control: ({id}) => {
        const control = controls.find(one => one.spec.id === id)!;
        return Object.assign(control, {close: () => {}});
      },
      connect: async () => connect(),
    },
    reachability: {canReach: async () => [false, false]},
    groups: () => [spec],
    row: () => undefined,
    weightOf: () => 1,
    replicaWaitMs: 0,
    isFirstHome: () => true,
    onFailover: () => {},
  });
  homes.start();
  await time.advance(SETTLE_MS);
});

afterEach(() => {
  homes.stop();
});

describe('home service, when a database leaves a group', () => {
  it('promotes it no more, though an open transaction keeps the old home', async () => {
    const begun = await execute();
    expect(begun.pin).toBeDefined();
    await removeThird();
    expect(homes.active).toBe(1);
    // Only the database that left holds the last write.
    group.links.cut(['db-1'], ['db-2']);
    group.database('db-1').commit('last');
    await time.advance(SETTLE_MS);
    group.database('db-1').crash();
    await time.advance(FAILOVER_MS);
    expect(group.database('db-3').promotions).toEqual([]);
  });

  it('still knows a transaction whose next statement is the first to meet the change', async () => {
    const begun = await execute();
    spec = {...spec, databases: spec.databases.slice(0, 2)};
    const next = await execute({...WRITE, pin: begun.pin});
    expect(next.verdict).toEqual({kind: 'done'});
    expect(next.pin).toBe(begun.pin);
  });

  it('forwards cancel requests to the batches of the superseded home', async () => {
    end = undefined;
    void execute();
    await time.advance(1);
    await removeThird();
    expect(homes.active).toBe(1);
    homes.cancel('claims', WRITE.sessionId);
    expect(cancelled).toBe(1);
  });
});

describe('a home whose BEGIN is not acknowledged', () => {
  it('keeps no transaction that its caller believes was not begun', async () => {
    group.links.cut(['db-1'], ['db-2', 'db-3']);
    // Another session commits while the BEGIN runs.
    start = group.database('db-1').received;
    group.database('db-1').commit('other');
    end = {...end!, position: group.database('db-1').received};
    const run = execute({...WRITE, deadlineMs: 500, commits: true});
    await time.advance(1_000);
    const result = await run;
    expect(result.verdict.kind).toBe('mayHaveRun');
    expect(result.pin).toBeUndefined();
    expect(homes.active).toBe(0);
  });
});
