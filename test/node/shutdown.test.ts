import {describe, expect, it} from 'vitest';
import {
  planShutdown,
  Shutdown,
  SHUTDOWN_PHASES,
  type CallerSessions,
  type ServedHomes,
} from '../../src/node/shutdown.js';
import {createLogger} from '../../src/telemetry/log.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const GRACE_MS = 6_000;
const POLL_MS = 50;

/** Sessions of callers; idle ones close when they are asked to. */
class FakeSessions implements CallerSessions {
  readonly calls: string[] = [];
  idle = 0;
  /** Sessions that run a statement, or are never idle. */
  busy = 0;
  transactions = 0;

  get open(): number {
    return this.idle + this.busy + this.transactions;
  }

  closeIdle(): void {
    this.#note('closeIdle');
    this.idle = 0;
  }

  rollBackTransactions(): void {
    this.#note('rollBackTransactions');
    this.idle += this.transactions;
    this.transactions = 0;
  }

  giveUp(): void {
    this.#note('giveUp');
    this.busy = 0;
  }

  close(): void {
    this.#note('close');
  }

  #note(call: string): void {
    if (this.calls.at(-1) !== call) this.calls.push(call);
  }
}

class FakeHomes implements ServedHomes {
  active = 0;
  refusesNew = false;
  refusesTransactions = false;

  refuseNew(): void {
    this.refusesNew = true;
  }

  endTransactions(): void {
    this.refusesTransactions = true;
  }
}

function create({announce = async () => {}} = {}) {
  const clock = new VirtualClock();
  const homes = new FakeHomes();
  const callers = new FakeSessions();
  const ends = {stopped: 0, finished: 0};
  const shutdown = new Shutdown({
    clock,
    log: createLogger('silent'),
    graceMs: GRACE_MS,
    homes,
    announce,
    stop: async () => void (ends.stopped += 1),
  });
  const begin = () =>
    shutdown.begin(callers, 'SIGTERM').then(() => (ends.finished += 1));
  return {clock, homes, callers, shutdown, ends, begin};
}

describe('the plan of a shutdown', () => {
  it.each([1_000, 3_000, 6_000, 30_000])(
    'gives each statement half of a grace period of %i ms, and keeps its order',
    graceMs => {
      const {closing, refusing, ending} = planShutdown(graceMs);
      expect(refusing).toBe(graceMs / 2);
      expect(closing).toBeLessThan(refusing);
      expect(ending).toBeGreaterThan(refusing);
      expect(ending).toBeLessThan(graceMs);
    },
  );
});

describe('the shutdown of a node', () => {
  it('serves until its callers are gone, then stops', async () => {
    const {clock, callers, shutdown, ends, begin, homes} = create();
    callers.idle = 3;
    expect(shutdown.refuse()).toBeUndefined();
    void begin();
    await clock.advance(planShutdown(GRACE_MS).closing - POLL_MS);
    expect(shutdown.phase).toBe('deregistering');
    expect(shutdown.refuse()).toBeUndefined();
    expect(homes.refusesNew).toBe(true);
    expect(callers.calls).toEqual([]);
    await clock.advance(2 * POLL_MS);
    expect(ends).toEqual({stopped: 1, finished: 1});
  });

  it('refuses what would start in the second half of the grace period', async () => {
    const {clock, callers, shutdown, ends, begin, homes} = create();
    callers.busy = 1;
    callers.transactions = 1;
    homes.active = 1;
    void begin();
    await clock.advance(GRACE_MS / 2 - POLL_MS);
    expect(shutdown.phase).toBe('closing');
    expect(shutdown.refuse()).toBeUndefined();
    expect(homes.refusesTransactions).toBe(false);
    await clock.advance(2 * POLL_MS);
    expect(shutdown.refuse()).toMatchObject({reason: 'shuttingDown'});
    expect(homes.refusesTransactions).toBe(true);
    expect(callers.transactions).toBe(0);
    callers.busy = 0;
    await clock.advance(POLL_MS);
    expect(ends.stopped, 'a home still runs a statement').toBe(0);
    homes.active = 0;
    await clock.advance(POLL_MS);
    expect(ends.stopped).toBe(1);
  });

  it('answers what still runs before the end of the grace period', async () => {
    const {clock, callers, ends, begin} = create();
    callers.busy = 1;
    void begin();
    await clock.advance(planShutdown(GRACE_MS).ending - POLL_MS);
    expect(callers.calls).not.toContain('giveUp');
    await clock.advance(GRACE_MS - planShutdown(GRACE_MS).ending);
    expect(callers.calls.slice(-2)).toEqual(['giveUp', 'close']);
    expect(ends.finished).toBe(1);
  });

  it('keeps its phases while the store does not answer', async () => {
    const {clock, callers, ends, begin, homes} = create({
      announce: () => new Promise(() => {}),
    });
    callers.busy = 1;
    void begin();
    await clock.advance(GRACE_MS / 2 - POLL_MS);
    expect(homes.refusesNew, 'nobody knows where else to go').toBe(false);
    await clock.advance(2 * POLL_MS);
    expect(homes.refusesNew).toBe(true);
    await clock.advance(GRACE_MS / 2);
    expect(ends.finished).toBe(1);
  });

  // The second request returned at once, and the process ended.
  it.each(SHUTDOWN_PHASES.slice(1))(
    'joins a request that arrives in phase %s',
    async phase => {
      const {clock, callers, shutdown, ends, begin} = create();
      callers.busy = 1;
      // Keeps the session open in the last phase.
      callers.giveUp = () => {};
      void begin();
      while (shutdown.phase !== phase) await clock.advance(POLL_MS);
      void begin();
      await clock.advance(0);
      expect(shutdown.phase).toBe(phase);
      expect(ends).toEqual({stopped: 0, finished: 0});
      await clock.advance(GRACE_MS);
      expect(ends).toEqual({stopped: 1, finished: 2});
    },
  );
});
