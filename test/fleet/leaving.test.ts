import {expect, test} from 'vitest';
import type {FleetDatabase} from '../../demo/fleet.js';
import {
  GROUP,
  connect,
  countFailures,
  findGuaranteeViolations,
  insert,
  removeFromGroup,
  sleep,
  startFleet,
  startLoad,
  waitForProgress,
} from './fixture.js';

const SEED = 47;
const STATEMENTS = 300;
/** Specified maximum time until a removed target gets no new statements. */
const MAX_REMOVAL_MS = 5_000;
const OBSERVATION_MS = 3_000;
/** Long enough that statements are running there when it is removed. */
const SLOW_STATEMENT_MS = 200;
const ROWS = ['row-before-the-change', 'row-after-the-change'];

test('a replica that leaves gets no new statement after 5 s, and nothing is cut', async () => {
  const fleet = await startFleet();
  const [primary, other, leaving] = fleet.databases as [
    FleetDatabase,
    FleetDatabase,
    FleetDatabase,
  ];
  const countStatements = (database: FleetDatabase) =>
    fleet
      .readDatabase<{readonly statements: number}>(database, 'counts')
      .then(({statements}) => statements);
  const load = startLoad(fleet, SEED);
  await waitForProgress(load, STATEMENTS);
  const client = await connect(fleet, fleet.nodes[0]!);
  await client.query('BEGIN');
  await insert(client, ROWS[0]!);
  const service = {ms: SLOW_STATEMENT_MS};
  await fleet.controlDatabase(leaving, 'service', service);
  const countAtStart = await countStatements(leaving);
  await waitForProgress(load, STATEMENTS);
  const before = await countStatements(leaving);

  await removeFromGroup(fleet, leaving);
  await sleep(MAX_REMOVAL_MS);
  const counts = await Promise.all(
    [primary, other, leaving].map(countStatements),
  );
  await sleep(OBSERVATION_MS);
  const later = await Promise.all(
    [primary, other, leaving].map(countStatements),
  );
  await insert(client, ROWS[1]!);
  await client.query('COMMIT');
  await client.end();
  const record = await load.stop();

  expect(
    before - countAtStart,
    'statements at the replica before its removal',
  ).toBeGreaterThan(0);
  const [atPrimary, atOther, atLeaving] = later.map((n, i) => n - counts[i]!);
  expect.soft(atLeaving).toBe(0);
  expect.soft(atPrimary).toBeGreaterThan(0);
  expect.soft(atOther).toBeGreaterThan(0);
  expect.soft(countFailures(record.failures)).toEqual({});
  record.inserted.get(GROUP)?.push(...ROWS);
  expect(await findGuaranteeViolations(fleet, record)).toEqual([]);
});
