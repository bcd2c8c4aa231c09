import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createRandom} from '../admission/random.js';
import {BudgetHolder} from '../../src/quota/budget-holder.js';
import {BudgetOwner} from '../../src/quota/budget-owner.js';
import {decodeTokenRequest, type RateLimits} from '../../src/quota/types.js';
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

/** The pattern of a calm day on many nodes: rate 7, 4.4 operations a second. */
const SMALL = {rate: 7, burst: 7};
const DEMAND_PER_S = 4.4;
const HOLDERS = 14;
const SECONDS = 120;
const SLACK = 20;

/** Offers a team's operations at random over many holders. */
async function offerTeam(seed: number, limits: RateLimits = SMALL) {
  const clock = new VirtualClock();
  const random = createRandom(seed);
  let ownedSince = -WINDOW_MS;
  const owners = [0, 1].map(
    () =>
      new BudgetOwner({
        clock,
        roleFor: () => 'owner',
        heldForMs: () => clock.now() - ownedSince,
        limits: () => limits,
        windowMs: WINDOW_MS,
        slack: SLACK,
      }),
  );
  let owner = owners[0]!;
  const holders = Array.from(
    {length: HOLDERS},
    (_, n) =>
      new BudgetHolder({
        clock,
        log: createLogger('silent'),
        limits: () => limits,
        requestTokens: async req => {
          await clock.sleep(ROUND_TRIP_MS);
          return owner.serve(`node-${n}`, req);
        },
      }),
  );
  const admittedAt: number[] = [];
  let refused = 0;
  const offer = async (perSecond: number, seconds: number) => {
    const until = clock.now() + seconds * 1_000;
    while (clock.now() < until) {
      const holder = holders[Math.floor(random.next() * HOLDERS)]!;
      void holder.admit('red').then(({kind}) => {
        if (kind === 'admitted') admittedAt.push(clock.now());
        else refused += 1;
      });
      const gapMs = (-Math.log(1 - random.next()) * 1_000) / perSecond;
      await clock.advance(Math.max(1, gapMs));
    }
  };
  return {
    offer,
    replaceOwner: () => {
      ownedSince = clock.now();
      owner = owners[1]!;
    },
    admittedAt,
    refused: () => refused,
  };
}

/** The most operations that were admitted within any window. */
function mostInWindow(admittedAt: readonly number[]): number {
  const counts = admittedAt.map(
    start =>
      admittedAt.filter(at => at >= start && at < start + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

describe('token request of another node', () => {
  it.each([
    undefined,
    {team: 'red'},
    {team: 7, wanted: 1, returned: 0},
    {team: 'red', wanted: -1, returned: 0},
    {team: 'red', wanted: 1e300, returned: 0},
    {team: 'red', wanted: Number.NaN, returned: 0},
  ])('is refused if it is malformed (%j)', body => {
    expect(decodeTokenRequest(body)).toBeUndefined();
  });

  it('gives nothing back if it says nothing of that', () => {
    expect(decodeTokenRequest({team: 'red', wanted: 2})).toEqual({
      team: 'red',
      wanted: 2,
      returned: 0,
    });
  });
});

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

  it.each([1, 2, 3, 4, 5])(
    'refuses at most 1 in 1,000 operations of a small team spread over many holders (seed %i)',
    async seed => {
      const {offer, admittedAt, refused} = await offerTeam(seed);
      await offer(DEMAND_PER_S, SECONDS);
      const offered = admittedAt.length + refused();
      expect(refused()).toBeLessThanOrEqual(offered / 1_000);
    },
  );

  it('admits no more than the stated bound, also as the owner changes', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({min: 1, max: 1_000}),
        fc.constantFrom(2, 4, 7, 30, 100),
        fc.double({min: 0.5, max: 6, noNaN: true}),
        fc.integer({min: 1, max: 12}),
        async (seed, rate, load, beforeS) => {
          const burst = rate;
          const team = await offerTeam(seed, {rate, burst});
          await team.offer(rate * load, beforeS);
          team.replaceOwner();
          await team.offer(rate * load, 8);
          const bound = ((rate * WINDOW_MS) / 1_000 + burst) * 1.1 + SLACK;
          expect(mostInWindow(team.admittedAt)).toBeLessThanOrEqual(bound);
        },
      ),
      {numRuns: 60, seed: 24},
    );
  });
});
