import {describe, expect, it} from 'vitest';
import {BudgetHolder} from '../../src/quota/budget-holder.js';
import {BudgetOwner, type BudgetRole} from '../../src/quota/budget-owner.js';
import {createLogger} from '../../src/telemetry/log.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const RATE = 100;
const BURST = 100;
const WINDOW_MS = 5_000;

/** Holders that request tokens, and two nodes that may own the team's budget. */
function createFleet(holders: number, slack = 0) {
  const clock = new VirtualClock();
  let limits = {rate: RATE, burst: BURST};
  const roles: BudgetRole[] = ['owner', 'none'];
  /** Since when each node has been able to own budgets. */
  const heldSince = [-60_000, -60_000];
  const owners = roles.map(
    (_, n) =>
      new BudgetOwner({
        clock,
        roleFor: () => roles[n]!,
        heldForMs: () => clock.now() - heldSince[n]!,
        limits: () => limits,
        windowMs: WINDOW_MS,
        slack,
      }),
  );
  /** Index of the owner that each holder reaches; undefined for none. */
  const reached: (number | undefined)[] = Array.from(
    {length: holders},
    () => 0,
  );
  const all = reached.map(
    (_, h) =>
      new BudgetHolder({
        clock,
        log: createLogger('silent'),
        limits: () => limits,
        requestTokens: async req => {
          const at = reached[h];
          if (at === undefined) throw new Error('unreachable');
          return owners[at]!.serve(`holder-${h}`, req);
        },
      }),
  );
  const admitted: number[] = [];
  const refused: string[] = [];
  /** Offers `perSecond` operations for `ms`, round robin over the holders. */
  const offer = async (perSecond: number, ms: number) => {
    const gapMs = 1_000 / perSecond;
    const until = clock.now() + ms;
    for (let n = 0; clock.now() < until; n++) {
      const decision = all[n % all.length]!.admit('red');
      void decision.then(result => {
        if (result.kind === 'admitted') admitted.push(clock.now());
        else refused.push(result.reason);
      });
      await clock.advance(gapMs);
    }
  };
  /** Returns the most operations admitted in any window. */
  const mostInWindow = () =>
    Math.max(
      0,
      ...admitted.map(
        start =>
          admitted.filter(at => at >= start && at < start + WINDOW_MS).length,
      ),
    );
  return {
    clock,
    owners,
    roles,
    reached,
    heldSince,
    admitted,
    refused,
    offer,
    mostInWindow,
    setLimits: (next: typeof limits) => (limits = next),
  };
}

describe('team budgets with leased tokens', () => {
  it('refuse nothing within the rate', async () => {
    const fleet = createFleet(3);
    await fleet.offer(RATE * 0.6, 5_000);
    expect(fleet.refused).toEqual([]);
  });

  it('limit a team that offers ten times its rate to rate and burst', async () => {
    const fleet = createFleet(3);
    await fleet.offer(RATE * 10, 12_000);
    expect(fleet.mostInWindow()).toBeLessThanOrEqual(RATE * 5 + BURST + 5);
    expect(fleet.admitted.length).toBeGreaterThanOrEqual(RATE * 12 * 0.95);
  });

  it('grant part of the burst again in each window, and no window too much', async () => {
    const fleet = createFleet(3);
    await fleet.offer(RATE * 1.3, 20_000);
    const bareRate = RATE * 20 + BURST;
    expect(fleet.admitted.length).toBeGreaterThan(bareRate * 1.05);
    expect(fleet.mostInWindow()).toBeLessThanOrEqual(RATE * 5 + BURST + 5);
  });

  it('apply a lowered limit at once', async () => {
    const fleet = createFleet(3);
    await fleet.offer(RATE * 2, 6_000);
    fleet.setLimits({rate: 10, burst: 10});
    const before = fleet.admitted.length;
    await fleet.offer(RATE * 2, 5_000);
    expect(fleet.admitted.length - before).toBeLessThanOrEqual(
      10 * 5 + 10 + 10,
    );
  });

  it('stay within a tenth over the rate while the ownership moves', async () => {
    const fleet = createFleet(4);
    await fleet.offer(RATE * 5, 6_000);
    // The owner loses contact with half of the holders and keeps granting to the
    // others for 1.8 s, while a stand-in grants to that half.
    fleet.reached[2] = 1;
    fleet.reached[3] = 1;
    fleet.roles[1] = 'standIn';
    await fleet.offer(RATE * 5, 1_800);
    fleet.roles[0] = 'none';
    await fleet.offer(RATE * 5, 200);
    fleet.roles[1] = 'owner';
    fleet.heldSince[1] = fleet.clock.now();
    fleet.reached.fill(1);
    await fleet.offer(RATE * 5, 8_000);
    const allowed = (RATE * 5 + BURST) * 1.1 + 20;
    expect(fleet.mostInWindow()).toBeLessThanOrEqual(allowed);
  });

  it('admit bursts within a share of the rate while the owner is unreachable', async () => {
    const fleet = createFleet(2);
    await fleet.offer(RATE * 0.6, 3_000);
    fleet.reached.fill(undefined);
    const before = fleet.admitted.length;
    // 0.6 of the rate again, in bursts of ten per holder with pauses between.
    for (let round = 0; round < 6; round++) {
      await fleet.offer(RATE * 20, 10);
      await fleet.clock.advance(323);
    }
    await fleet.clock.advance(100);
    const admitted = fleet.admitted.length - before;
    expect(admitted).toBeGreaterThanOrEqual(6 * 20 * 0.75);
    expect(admitted).toBeLessThanOrEqual(RATE * 2 + 5);
  });

  it('admit a share of the rate while the owner is unreachable, then refuse', async () => {
    const fleet = createFleet(2);
    await fleet.offer(RATE * 0.6, 3_000);
    fleet.reached.fill(undefined);
    const before = fleet.admitted.length;
    await fleet.offer(RATE * 0.6, 2_000);
    const admitted = fleet.admitted.length - before;
    expect(admitted).toBeGreaterThanOrEqual(RATE * 0.6 * 2 * 0.8);
    expect(admitted).toBeLessThanOrEqual(RATE * 2 + 5);
    await fleet.offer(RATE * 0.6, 5_000);
    expect(fleet.refused.at(-1)).toBe('unavailable');
  });
});
