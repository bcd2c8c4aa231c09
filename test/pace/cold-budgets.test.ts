import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {OWNER_HOLD_OFF_MS} from '../../src/node/cold-budgets.js';
import {coldBudgetLimits} from '../../src/pace/cold-limit.js';
import {ColdFleet} from './cold-fleet.js';

const NODES = 5;
const boundOf = (rate: number) => rate * 1.5 + 5;

/** One random event of a schedule, and the load until the next one. */
const eventArbitrary = fc.record({
  kind: fc.constantFrom('restart', 'leave', 'cutFromStore', 'staleCopy', 'cut'),
  node: fc.integer({min: 0, max: NODES - 1}),
  other: fc.integer({min: 0, max: NODES - 1}),
  ms: fc.integer({min: 200, max: 8_000}),
  thenMs: fc.integer({min: 0, max: 4_000}),
});

describe('the budgets of a cold database', () => {
  it('keep every second within the bound over random owner changes, cuts and restarts', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({min: 1, max: 1_000}),
        fc.constantFrom(3, 12, 40, 100),
        fc.array(eventArbitrary, {minLength: 1, maxLength: 8}),
        async (seed, rate, events) => {
          const fleet = new ColdFleet(NODES, rate, seed);
          await fleet.offer(1, OWNER_HOLD_OFF_MS);
          for (const {kind, node, other, ms, thenMs} of events) {
            if (kind === 'restart') fleet.restart(node);
            else if (kind === 'cut') fleet.cut(node, other, ms);
            else fleet[kind](node, ms);
            await fleet.offer(4, thenMs);
          }
          fleet.stop();
          expect(fleet.mostInSecond).toBeLessThanOrEqual(boundOf(rate));
        },
      ),
      {numRuns: 150, seed: 31},
    );
  });

  it('are not granted twice while some nodes have not learnt of a new owner', async () => {
    const fleet = new ColdFleet(NODES, 100, 3);
    await fleet.offer(1, OWNER_HOLD_OFF_MS);
    const [first, second, third] = fleet.order as [number, number, number];
    fleet.leave(first, OWNER_HOLD_OFF_MS + 6_000);
    await fleet.offer(4, OWNER_HOLD_OFF_MS + 5_000);
    fleet.staleCopy(second, 30_000);
    fleet.staleCopy(third, 30_000);
    await fleet.offer(4, OWNER_HOLD_OFF_MS + 6_000);
    fleet.stop();
    expect(fleet.mostInSecond).toBeLessThanOrEqual(boundOf(100));
  });

  it.each([3, 12, 40])(
    'give a database most of its rate while the owner stays (rate %i)',
    async rate => {
      const fleet = new ColdFleet(NODES, rate, 7);
      await fleet.offer(2, OWNER_HOLD_OFF_MS + 1_000);
      const before = fleet.arrivedAt.length;
      await fleet.offer(2, 10_000);
      fleet.stop();
      const perSecond = (fleet.arrivedAt.length - before) / 10;
      expect(perSecond).toBeGreaterThan(0.7 * rate);
      expect(fleet.mostInSecond).toBeLessThanOrEqual(boundOf(rate));
    },
  );

  it('grant nothing where the bound leaves no room', () => {
    const {rate} = coldBudgetLimits(1, {overage: 1, slack: 0});
    expect(rate).toBe(0);
  });
});
