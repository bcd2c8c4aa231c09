import {describe, expect, it} from 'vitest';
import {
  runLoad,
  type Policy,
  type RouteLoad,
  type RouteResult,
} from './queue-load.js';

/** Databases over which the model spreads a deployment's load. */
const DATABASES = 9;
const SEEDS = [1, 2, 3];
const FOR_MS = 20_000;

type Factors = (atMs: number) => readonly [number, number, number];

/** Routes of kalnote-shared-grown, with the time limits of one statement. */
function kalnote(factors: Factors, teamOf?: RouteLoad['teamOf']): RouteLoad[] {
  const route = (
    name: string,
    rank: number,
    [total, executionMs, goalMs, limitMs]: readonly number[],
    value: RouteLoad['value'],
  ): RouteLoad => ({
    name,
    rank,
    executionMs: executionMs!,
    goalMs: goalMs!,
    limitMs: limitMs!,
    value,
    perSecond: at => (total! / DATABASES) * factors(at)[rank]!,
    ...(rank === 1 && teamOf ? {teamOf} : {}),
  });
  return [
    route('engrave', 0, [101, 11, 200, 1_000], [3.5, 0.71]),
    route('extract', 1, [475, 33, 400, 1_000], [1.9, 0.47]),
    route('browse', 2, [177, 55, 1_500, 3_000], [0.47, 0.35]),
  ];
}

/** Routes of himalwire-grown, which configures two priorities. */
function himalwire(factor: (atMs: number) => number): RouteLoad[] {
  const common = {value: [2, 0.3] as const, rank: 1};
  const perSecond = (total: number) => (at: number) =>
    (total / DATABASES) * factor(at);
  return [
    {
      name: 'release',
      rank: 0,
      executionMs: 3.8,
      goalMs: 150,
      limitMs: 800,
      value: [2, 0.6],
      perSecond: perSecond(111),
    },
    {
      ...common,
      name: 'feed',
      executionMs: 19,
      goalMs: 400,
      limitMs: 1_500,
      value: [1, 0.3],
      perSecond: perSecond(111),
    },
    {
      ...common,
      name: 'embargo',
      executionMs: 12,
      goalMs: 250,
      limitMs: 800,
      perSecond: perSecond(517),
    },
  ];
}

const usual: Factors = () => [1, 1, 1];

function isPeak(atMs: number, fromMs: number, forMs: number): boolean {
  return atMs > fromMs && atMs < fromMs + forMs;
}

/** Adds up the results of several seeds. */
async function runSeeds(
  routes: readonly RouteLoad[],
  policy: Policy,
  slots: number,
) {
  const sums = new Map<string, RouteResult>();
  for (const seed of SEEDS) {
    const results = await runLoad(routes, policy, {
      slots,
      forMs: FOR_MS,
      seed,
    });
    for (const [key, result] of results) {
      const sum = sums.get(key);
      sums.set(key, sum === undefined ? result : addResults(sum, result));
    }
  }
  const of = (key: string) => sums.get(key)!;
  let worth = 0;
  let best = 0;
  for (const {name, value} of routes) {
    worth += of(name).worth;
    best += of(name).sent * value[0];
  }
  return {of, worth: worth / best, results: sums};
}

function addResults(a: RouteResult, b: RouteResult): RouteResult {
  return {
    sent: a.sent + b.sent,
    inTime: a.inTime + b.inTime,
    late: a.late + b.late,
    refused: a.refused + b.refused,
    worth: a.worth + b.worth,
    refusedAfterMs: Math.max(a.refusedAfterMs, b.refusedAfterMs),
  };
}

async function compare(routes: readonly RouteLoad[], slots: number) {
  const ranked = await runSeeds(routes, 'ranked', slots);
  const twoClasses = await runSeeds(routes, 'twoClasses', slots);
  for (const {sent, inTime, late, refused} of ranked.results.values()) {
    expect(inTime + late + refused).toBe(sent);
  }
  for (const {name, limitMs} of routes) {
    expect(ranked.of(name).refusedAfterMs).toBeLessThan(limitMs);
  }
  return {ranked, twoClasses};
}

describe('a home queue', () => {
  it('refuses nothing and answers all in time at the usual load', async () => {
    for (const [routes, slots] of [
      [kalnote(usual), 4],
      [himalwire(() => 1), 2],
    ] as const) {
      const {ranked} = await compare(routes, slots);
      for (const {name} of routes) {
        expect(ranked.of(name).inTime).toBe(ranked.of(name).sent);
      }
    }
  });

  it('keeps the most urgent in time while capacity is insufficient for all', async () => {
    const routes = kalnote(at =>
      isPeak(at, 3_000, 6_000) ? [1.8, 1.8, 1.8] : [1, 1, 1],
    );
    const {ranked, twoClasses} = await compare(routes, 4);
    expect(ranked.of('engrave').inTime).toBe(ranked.of('engrave').sent);
    expect(twoClasses.of('engrave').refused).toBeGreaterThan(0);
    expect(ranked.worth).toBeGreaterThan(twoClasses.worth + 0.02);
  });

  it('is worth no less with two priorities, and more under overload', async () => {
    const routes = himalwire(at => (isPeak(at, 3_000, 6_000) ? 2.4 : 1));
    const {ranked, twoClasses} = await compare(routes, 2);
    expect(ranked.of('release').inTime).toBe(ranked.of('release').sent);
    expect(ranked.worth).toBeGreaterThan(twoClasses.worth);
  });

  it('keeps the most urgent in time after a burst of the least urgent', async () => {
    const routes = kalnote(at => {
      if (isPeak(at, 3_000, 6_000)) return [1, 1, 2.4];
      return isPeak(at, 9_000, 6_000) ? [2.4, 1, 1] : [1, 1, 1];
    });
    const {ranked, twoClasses} = await compare(routes, 4);
    const {sent, inTime} = ranked.of('engrave');
    expect(inTime).toBe(sent);
    expect(ranked.of('browse').refused).toBeLessThanOrEqual(
      twoClasses.of('browse').refused,
    );
    expect(ranked.worth).toBeGreaterThan(twoClasses.worth - 0.001);
  });

  it('serves the other teams of a priority while one sends seven times its rate', async () => {
    const teams = 8;
    const hotTeam = (n: number, at: number) =>
      isPeak(at, 3_000, 6_000) && n % 2 === 0 ? 'hot' : `team${n % teams}`;
    const routes = kalnote(
      at => (isPeak(at, 3_000, 6_000) ? [1, 1.9, 1] : [1, 1, 1]),
      hotTeam,
    );
    const {ranked, twoClasses} = await compare(routes, 4);
    const others = (run: typeof ranked) => {
      let [sent, inTime] = [0, 0];
      for (let team = 0; team < teams; team++) {
        const result = run.of(`extract/team${team}`);
        sent += result.sent;
        inTime += result.inTime;
      }
      return inTime / sent;
    };
    expect(others(ranked)).toBeGreaterThan(0.99);
    expect(others(ranked)).toBeGreaterThanOrEqual(others(twoClasses));
    expect(ranked.of('engrave').inTime).toBe(ranked.of('engrave').sent);
    expect(ranked.worth).toBeGreaterThan(twoClasses.worth);
  });
});
