import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  ConnectionPool,
  type SlotRequest,
  type SlotResult,
} from '../../src/home/connection-pool.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const SLOTS = 2;
const CONNECTIONS = 12;
const CONNECT_MS = 12;

interface FakeConnection {
  readonly usable: boolean;
  readonly transaction: 'idle';
  close(): void;
}

/** A pool whose connections take a while to open. */
function createPool() {
  const clock = new VirtualClock();
  const idle: FakeConnection[] = [];
  let taken = 0;
  const pool = new ConnectionPool<FakeConnection, SlotRequest>({
    clock,
    spec: {id: 'db1', slots: SLOTS},
    source: {
      get size() {
        return idle.length;
      },
      async take() {
        taken += 1;
        const known = idle.pop();
        if (known !== undefined) return known;
        await clock.sleep(CONNECT_MS);
        return {usable: true, transaction: 'idle', close: () => {}};
      },
      add: connection => void idle.push(connection),
      closeAll: () => {},
    },
    connectionLimit: () => CONNECTIONS,
    weightOf: () => 1,
    isReachable: () => true,
  });
  const request = (fields: Partial<SlotRequest> = {}): SlotRequest => ({
    team: 'red',
    priority: 0,
    latencyGoalAt: clock.now() + 200,
    deadlineAt: clock.now() + 1_000,
    workKind: 'primary write',
    cancelled: new AbortController().signal,
    ...fields,
  });
  return {clock, pool, request, taken: () => taken};
}

const STATEMENT = fc.record({
  atMs: fc.nat({max: 300}),
  team: fc.constantFrom('a', 'b'),
  priority: fc.nat({max: 2}),
  goalMs: fc.integer({min: 1, max: 300}),
  runMs: fc.integer({min: 1, max: 80}),
  cancelAfterMs: fc.option(fc.nat({max: 100}), {nil: undefined}),
  opensTransaction: fc.boolean(),
  heldMs: fc.option(fc.nat({max: 300}), {nil: undefined}),
});

describe('connection pool', () => {
  it('settles each request once, and a refusal takes no connection', async () => {
    const statements = fc.array(STATEMENT, {minLength: 60, maxLength: 120});
    await fc.assert(
      fc.asyncProperty(statements, async all => {
        const {clock, pool, request, taken} = createPool();
        const results: SlotResult<FakeConnection>[] = [];
        let running = 0;
        let cancelledWhileOpening = 0;
        await clock.advance(1);
        const ends = all.map(async ({atMs, goalMs, runMs, ...rest}) => {
          const {team, priority, opensTransaction} = rest;
          await clock.sleep(atMs);
          const cancel = new AbortController();
          const result = pool.acquire(
            request({
              team,
              priority,
              opensTransaction,
              latencyGoalAt: clock.now() + goalMs,
              deadlineAt: clock.now() + 3 * goalMs,
              cancelled: cancel.signal,
            }),
          );
          if (rest.cancelAfterMs !== undefined) {
            void clock.sleep(rest.cancelAfterMs).then(() => cancel.abort());
          }
          const settled = await result;
          results.push(settled);
          if (settled.kind === 'refused') {
            expect(settled.verdict.kind).toBe('notRun');
            if (settled.verdict.reason === 'cancelled') {
              cancelledWhileOpening += 1;
            }
            return;
          }
          running += 1;
          expect(running).toBeLessThanOrEqual(SLOTS + 1);
          await clock.sleep(runMs);
          running -= 1;
          if (opensTransaction && rest.heldMs !== undefined) {
            settled.slot.pin();
            await clock.sleep(rest.heldMs);
          }
          settled.slot.release();
        });
        await clock.advance(10_000);
        await Promise.all(ends);
        expect(results).toHaveLength(all.length);
        const granted = results.filter(({kind}) => kind === 'granted').length;
        expect(taken()).toBeGreaterThanOrEqual(granted);
        expect(taken()).toBeLessThanOrEqual(granted + cancelledWhileOpening);
        expect(pool.outstanding).toBe(0);
        expect(pool.pinned).toBe(0);
      }),
      {numRuns: 40},
    );
  }, 30_000);

  it('refuses an opening at once when its team holds half of the connections', async () => {
    const {clock, pool, request} = createPool();
    const open = async (team: string) => {
      const result = pool.acquire(request({team, opensTransaction: true}));
      await clock.advance(CONNECT_MS);
      const settled = await result;
      if (settled.kind === 'granted') settled.slot.pin();
      return settled;
    };
    const reservable = CONNECTIONS - 2;
    for (let n = 0; n < reservable / 2; n++) {
      expect((await open('idle')).kind).toBe('granted');
    }
    const refused = pool.acquire(
      request({team: 'idle', opensTransaction: true}),
    );
    expect(await clock.outcome(refused, 0)).toMatchObject({
      kind: 'refused',
      verdict: {reason: 'overloaded', retryAfterMs: 50},
    });
    expect((await open('other')).kind).toBe('granted');
    const single = pool.acquire(request({team: 'idle'}));
    expect((await clock.outcome(single, CONNECT_MS))?.kind).toBe('granted');
  });

  it('spreads the retries of refused callers', async () => {
    const {pool, request} = createPool();
    const results = Array.from({length: 2_000}, () => pool.acquire(request()));
    const retries = await Promise.race([
      Promise.all(results.slice(-5)),
      new Promise<never>((_resolve, reject) =>
        setImmediate(() => reject(new Error('not refused at once'))),
      ),
    ]);
    const times = retries.map(result =>
      result.kind === 'refused' ? result.verdict.retryAfterMs : undefined,
    );
    expect(times.every(ms => ms !== undefined && ms > 0 && ms <= 1_500)).toBe(
      true,
    );
  });
});
