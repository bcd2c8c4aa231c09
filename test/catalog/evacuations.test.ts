import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {CatalogDecoder} from '../../platform/catalog.js';
import {
  Evacuations,
  LAPSE_MS,
  turnDelayMs,
} from '../../src/catalog/evacuations.js';
import {guardConnector} from '../../src/home/guarded-connector.js';
import {EraCheckedStore} from '../../src/infra/era-checked-store.js';
import {ClusterState} from '../../src/node/cluster-state.js';
import {createLogger} from '../../src/telemetry/log.js';
import {FakeLeasedStore} from '../fakes/leased-store.js';
import {interceptStore} from '../fakes/intercepted-store.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const BOUND_MS = 5_000;
/** What a poll may miss, and the time that a request under way may take. */
const RESERVE_MS = 2_200;
const ZONE = 'burnie';

function createEvacuations(copyAgeMs: () => number = () => 0) {
  const clock = new VirtualClock();
  const lines: string[] = [];
  const log = createLogger('info', {}, line => lines.push(line));
  const evacuations = new Evacuations({
    clock,
    log,
    boundMs: BOUND_MS,
    copyAgeMs,
  });
  return {clock, lines, evacuations};
}

describe('an evacuated data centre', () => {
  it('keeps its primaries until the bound less the age of the copy', async () => {
    const {clock, evacuations} = createEvacuations(() => 600);
    evacuations.apply(ZONE, true, 0);
    expect(evacuations.useOf(ZONE)).toBe('primaryOnly');
    await clock.advance(BOUND_MS - RESERVE_MS - 601);
    expect(evacuations.useOf(ZONE)).toBe('primaryOnly');
    await clock.advance(1);
    expect(evacuations.useOf(ZONE)).toBe('closed');
    expect(evacuations.useOf('hobart')).toBe('open');
  });

  it('is closed at once for a node whose copy may be as old as the bound', () => {
    const {evacuations} = createEvacuations(() => Infinity);
    evacuations.apply(ZONE, true, 0);
    expect(evacuations.useOf(ZONE)).toBe('closed');
  });

  it('is closed while a suspended VM has no monotonic time', () => {
    const {clock, evacuations} = createEvacuations();
    evacuations.apply(ZONE, true, 0);
    clock.shiftWallClock(BOUND_MS);
    expect(evacuations.useOf(ZONE)).toBe('closed');
  });

  it('is not kept longer by a repeated request, and is open once withdrawn', async () => {
    const {clock, evacuations, lines} = createEvacuations();
    evacuations.apply(ZONE, true, 0);
    await clock.advance(BOUND_MS - RESERVE_MS);
    evacuations.apply(ZONE, true, 0);
    expect(evacuations.useOf(ZONE)).toBe('closed');
    evacuations.apply(ZONE, false, 0);
    expect(evacuations.useOf(ZONE)).toBe('open');
    const events = lines.map(line => /event=(\w+)/.exec(line)?.[1]);
    expect(events).toEqual(['evacuationBegan', 'evacuationEnded']);
  });

  it('stays evacuated after a restore until its absence is confirmed', async () => {
    let copyAgeMs = 0;
    const {clock, evacuations} = createEvacuations(() => copyAgeMs);
    evacuations.apply(ZONE, true, 0);
    evacuations.apply(ZONE, false, 1);
    await clock.advance(LAPSE_MS - 1);
    expect(evacuations.dataCentres).toEqual([ZONE]);
    // A store that is silent again confirms nothing.
    copyAgeMs = 1_000;
    await clock.advance(999);
    expect(evacuations.dataCentres).toEqual([ZONE]);
    copyAgeMs = 0;
    expect(evacuations.dataCentres).toEqual([]);
  });

  it('is learnt from another node that still counts the time after a restore', async () => {
    const known = createEvacuations().evacuations;
    known.apply(ZONE, true, 0);
    known.apply(ZONE, false, 1);
    known.apply('hobart', true, 1);
    const {clock, evacuations} = createEvacuations();
    evacuations.learn(known.encode(), 1);
    // The store has the other one, or it has been withdrawn.
    expect(evacuations.dataCentres).toEqual([ZONE]);
    await clock.advance(LAPSE_MS);
    expect(evacuations.dataCentres).toEqual([]);
    expect(() => evacuations.learn([[ZONE]], 1)).toThrow();
  });

  it('stays evacuated if the operators write the key again after a restore', async () => {
    const {clock, evacuations} = createEvacuations();
    evacuations.apply(ZONE, true, 0);
    evacuations.apply(ZONE, false, 1);
    evacuations.apply(ZONE, true, 1);
    await clock.advance(2 * LAPSE_MS);
    expect(evacuations.useOf(ZONE)).toBe('closed');
    evacuations.apply(ZONE, false, 1);
    expect(evacuations.useOf(ZONE)).toBe('open');
  });
});

describe('the turns of the groups that leave a data centre', () => {
  it('follow one another, and all begin soon', () => {
    for (const groups of [1, 2, 6, 20, 200]) {
      const delays = Array.from({length: groups}, (_, before) =>
        turnDelayMs({before, groups}),
      );
      expect(delays[0]).toBe(0);
      expect(new Set(delays).size).toBe(groups);
      expect(Math.max(...delays)).toBeLessThan(600);
    }
  });
});

const ZONES = ['burnie', 'hobart', 'devonport'] as const;
const NODES = 3;
const STEP_MS = 50;
/** Polls may hide changes for less than the time that they ask for again. */
const MAX_MUTED_STEPS = 36;
/** A node whose copy is older than this does not count as in touch. */
const IN_TOUCH_MS = 2_400;

/** One event of a schedule; `steps` is how long it lasts, for faults. */
interface ScheduleEvent {
  readonly kind: 'request' | 'withdraw' | 'cut' | 'mute';
  readonly zone: number;
  readonly node: number;
  readonly steps: number;
  /** Steps until the next event. */
  readonly pause: number;
}

const scheduleArbitrary = fc.array(
  fc.record({
    kind: fc.constantFrom('request', 'request', 'withdraw', 'cut', 'mute'),
    zone: fc.nat(ZONES.length - 1),
    node: fc.nat(NODES - 1),
    steps: fc.integer({min: 1, max: 160}),
    pause: fc.integer({min: 0, max: 80}),
  }) as fc.Arbitrary<ScheduleEvent>,
  {minLength: 1, maxLength: 8},
);

/** A node that follows the store and would send to each zone as long as it may. */
function createNode(clock: VirtualClock, fake: FakeLeasedStore) {
  const faults = {cutUntil: -1, mutedUntil: -1};
  const log = createLogger('silent');
  const decoder = new CatalogDecoder(log);
  const metrics = {
    recordEra: () => {},
    recordRejectedAnswer: () => {},
    recordRejectedValue: () => {},
  };
  const reachable = interceptStore(fake, async call => {
    if (clock.now() < faults.cutUntil) throw new Error('cut off by the test');
    const answer = await call();
    const isMuted = clock.now() < faults.mutedUntil;
    return isMuted && 'events' in (answer as object)
      ? {...(answer as object), events: []}
      : answer;
  });
  const state = new ClusterState({
    clock,
    log,
    self: 'node-1',
    store: new EraCheckedStore({store: reachable, log, metrics}),
    metrics,
    evacuateMs: BOUND_MS,
    decode: change => decoder.decode(change),
    onDatabase: () => {},
    onOrder: () => true,
  });
  const stop = new AbortController();
  void state.feed.run(stop.signal);
  const connector = (zone: string) =>
    guardConnector(
      {
        connect: async () => ({
          usable: true,
          transaction: 'idle',
          run: async () => [],
          queryState: async () => undefined,
          stepDown: async () => undefined,
          close: () => {},
          onClose: () => {},
        }),
      },
      () => state.evacuations.find(zone)?.closesInMs ?? Infinity,
    );
  const address = {id: 'db', group: 'g', host: 'h', port: 1};
  const connections = new Map(
    ZONES.map(zone => [zone, connector(zone).connect(address, 'red', 350)]),
  );
  return {faults, state, connections, stop: () => stop.abort()};
}

/** Runs a schedule; returns the sends to a zone later than the bound. */
async function runSchedule(schedule: readonly ScheduleEvent[]) {
  const clock = new VirtualClock(1);
  const fake = new FakeLeasedStore(clock);
  const nodes = Array.from({length: NODES}, () => createNode(clock, fake));
  const requestedAt = new Map<string, number>();
  const late: string[] = [];
  let sent = 0;
  const step = async () => {
    await clock.advance(STEP_MS);
    for (const [n, {state, connections}] of nodes.entries()) {
      for (const zone of ZONES) {
        const connection = await connections.get(zone)!;
        const isSent = await connection.run([]).then(
          () => true,
          () => false,
        );
        if (!isSent) continue;
        sent += 1;
        const ageMs = clock.now() - (requestedAt.get(zone) ?? Infinity);
        const isInTouch = state.feed.ageMs() <= IN_TOUCH_MS;
        if (ageMs > BOUND_MS && isInTouch) late.push(`${n} ${zone} ${ageMs}`);
      }
    }
  };
  for (let n = 0; n < 10; n++) await step();
  for (const {kind, zone: z, node: n, steps, pause} of schedule) {
    const zone = ZONES[z]!;
    const {faults} = nodes[n]!;
    const until = (limit: number) =>
      clock.now() + Math.min(steps, limit) * STEP_MS;
    if (kind === 'request') {
      fake.put(`op/evacuate/${zone}`, '{}');
      if (!requestedAt.has(zone)) requestedAt.set(zone, clock.now());
    } else if (kind === 'withdraw') {
      fake.remove(`op/evacuate/${zone}`);
      requestedAt.delete(zone);
    } else if (kind === 'cut') faults.cutUntil = until(Infinity);
    else if (clock.now() > faults.mutedUntil + 2_000)
      faults.mutedUntil = until(MAX_MUTED_STEPS);
    for (let k = 0; k < pause; k++) await step();
  }
  for (let k = 0; k < (2 * BOUND_MS) / STEP_MS; k++) await step();
  const isOpen = (zone: string) => !requestedAt.has(zone);
  const stillClosed = nodes.flatMap(({state: {evacuations}}) =>
    ZONES.filter(zone => isOpen(zone) && evacuations.useOf(zone) !== 'open'),
  );
  for (const {stop} of nodes) stop();
  return {late, sent, stillClosed};
}

describe('any series of requests, withdrawals, cuts and muted polls', () => {
  it('lets no node in touch send after the bound, and restores what is withdrawn', async () => {
    await fc.assert(
      fc.asyncProperty(scheduleArbitrary, async schedule => {
        const {late, sent, stillClosed} = await runSchedule(schedule);
        expect(late).toEqual([]);
        expect(stillClosed).toEqual([]);
        expect(sent).toBeGreaterThan(0);
      }),
      {numRuns: 60, seed: 7},
    );
  }, 60_000);
});
