import {describe, expect, it} from 'vitest';
import {BudgetHolder} from '../../src/quota/budget-holder.js';
import {BudgetOwner} from '../../src/quota/budget-owner.js';
import {createLogger} from '../../src/telemetry/log.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const LIMITS = {rate: 100, burst: 100};
const WINDOW_MS = 5_000;
const ROUND_TRIP_MS = 2;

function createBudget() {
  const clock = new VirtualClock();
  const owner = new BudgetOwner({
    clock,
    roleFor: () => 'owner',
    heldForMs: () => WINDOW_MS,
    limits: () => LIMITS,
    windowMs: WINDOW_MS,
  });
  const holderOf = (id: string) =>
    new BudgetHolder({
      clock,
      log: createLogger('silent'),
      limits: () => LIMITS,
      requestTokens: async req => {
        await clock.sleep(ROUND_TRIP_MS);
        return owner.serve(id, req);
      },
    });
  return {clock, holderOf};
}

describe('budget holder', () => {
  it('refuses no operation of a team within its rate that joins a request under way', async () => {
    const {clock, holderOf} = createBudget();
    const holder = holderOf('node-1');
    const decisions = Promise.all(
      Array.from({length: 5}, () => holder.admit('red')),
    );
    await clock.advance(5 * ROUND_TRIP_MS);
    const refused = (await decisions).filter(({kind}) => kind === 'refused');
    expect(refused).toEqual([]);
  });
});
