import {expect, test} from 'vitest';
import type {Fleet} from '../../demo/fleet.js';
import {
  OTHER_TEAM,
  TEAM,
  connect,
  sleep,
  startFleet,
  type ClientError,
} from './fixture.js';

const RATE = 120;
const BURST = 60;
const OTHER_TEAM_RATE = 200;
const OTHER_TEAM_BURST = 100;
const LOAD_MS = 6_000;
/** Connections of each team to each node. */
const CONNECTIONS = 4;
/** 600 requests per second, over 4 connections to each of 3 nodes. */
const OVERLOAD_INTERVAL_MS = 20;
/** 60 requests per second, over 4 connections to each of 3 nodes. */
const OTHER_TEAM_INTERVAL_MS = 200;
/** Specified target: the minimum share of its rate that a team is served. */
const MIN_SERVED_SHARE = 0.95;
const MIN_OVERLOAD_FACTOR = 4;
const RATE_LIMITED = '53400';
const MS_PER_SECOND = 1_000;

/** A request with its client-side times and error, if it failed. */
interface Request {
  readonly sentAt: number;
  readonly doneAt: number;
  readonly err?: ClientError;
}

test('a team at 5 times its rate over 3 nodes gets its rate and no more, and another keeps its own', async () => {
  const fleet = await startFleet({
    teams: [
      {name: TEAM, rate: RATE, burst: BURST},
      {name: OTHER_TEAM, rate: OTHER_TEAM_RATE, burst: OTHER_TEAM_BURST},
    ],
  });
  const [overloaded, other] = await Promise.all([
    sendAtInterval(fleet, TEAM, OVERLOAD_INTERVAL_MS),
    sendAtInterval(fleet, OTHER_TEAM, OTHER_TEAM_INTERVAL_MS),
  ]);
  const served = overloaded.filter(({err}) => err === undefined);
  const refused = overloaded.flatMap(({err}) => err ?? []);
  const seconds = LOAD_MS / MS_PER_SECOND;

  // Verifies that the load exceeded the rate as intended.
  expect(overloaded.length).toBeGreaterThan(
    MIN_OVERLOAD_FACTOR * RATE * seconds,
  );
  expect.soft(findRateViolations(served)).toEqual([]);
  expect
    .soft(served.length)
    .toBeGreaterThanOrEqual(MIN_SERVED_SHARE * RATE * seconds);
  for (const {code, detail} of refused) {
    expect(code).toBe(RATE_LIMITED);
    expect(detail).toMatch(/\bretry_after_ms=\d+\b/);
  }
  expect(other.flatMap(({err}) => err ?? [])).toEqual([]);
});

/** Sends at a fixed interval on each connection; a late response delays the next request. */
async function sendAtInterval(
  fleet: Fleet,
  team: string,
  intervalMs: number,
): Promise<readonly Request[]> {
  const connectionNodes = fleet.nodes.flatMap(node =>
    Array.from({length: CONNECTIONS}, () => node),
  );
  const clients = await Promise.all(
    connectionNodes.map(node => connect(fleet, node, team)),
  );
  const startedAt = performance.now();
  const requests: Request[] = [];
  await Promise.all(
    clients.map(async (client, index) => {
      const offsetMs = (intervalMs * index) / clients.length;
      for (let at = offsetMs; at < LOAD_MS; at += intervalMs) {
        await sleep(startedAt + at - performance.now());
        const sentAt = performance.now();
        const err = await client.query('SELECT id FROM counters').then(
          () => undefined,
          (failure: ClientError) => failure,
        );
        const doneAt = performance.now();
        requests.push({sentAt, doneAt, ...(err && {err})});
      }
      await client.end();
    }),
  );
  return requests;
}

/** Finds time windows in which more requests start and end than rate and burst allow. */
function findRateViolations(served: readonly Request[]): readonly string[] {
  const byEnd = [...served].sort((a, b) => a.doneAt - b.doneAt);
  return served.flatMap(({sentAt: from}) => {
    const inside = byEnd.filter(({sentAt}) => sentAt >= from);
    const found = inside.findIndex(({doneAt}, index) => {
      const allowed = (RATE * (doneAt - from)) / MS_PER_SECOND + BURST;
      return index + 1 > allowed;
    });
    if (found === -1) return [];
    const ms = (inside[found]?.doneAt ?? from) - from;
    return [`${found + 1} requests within ${ms.toFixed(1)} ms`];
  });
}
