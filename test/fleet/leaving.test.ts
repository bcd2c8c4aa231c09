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
/** The stated bound for the last new statement at a target that leaves. */
const MAX_REMOVAL_MS = 5_000;
const OBSERVATION_MS = 3_000;
/** So slow that statements run there at the moment it leaves. */
const SLOW_STATEMENT_MS = 200;
const ROWS = ['row-before-the-change', 'row-after-the-change'];

test('a replica that leaves gets no new statement after 5 s, and nothing is cut', async () => {
  const running = await startFleet();
  const [primary, other, leaving] = running.databases as [
    FleetDatabase,
    FleetDatabase,
    FleetDatabase,
  ];
  const countStatements = (database: FleetDatabase) =>
    running
      .readDatabase<{readonly statements: number}>(database, 'counts')
      .then(({statements}) => statements);
  const load = startLoad(running, SEED);
  await waitForProgress(load, STATEMENTS);
  const client = await connect(running, running.nodes[0]!);
  await client.query('BEGIN');
  await insert(client, ROWS[0]!);
  const service = {ms: SLOW_STATEMENT_MS};
  await running.controlDatabase(leaving, 'service', service);
  const early = await countStatements(leaving);
  await waitForProgress(load, STATEMENTS);
  const before = await countStatements(leaving);

  await removeFromGroup(running, leaving);
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

  expect(before - early, 'statements there just before').toBeGreaterThan(0);
  const [atPrimary, atOther, atLeaving] = later.map((n, i) => n - counts[i]!);
  expect.soft(atLeaving).toBe(0);
  expect.soft(atPrimary).toBeGreaterThan(0);
  expect.soft(atOther).toBeGreaterThan(0);
  expect.soft(countFailures(record.failures)).toEqual({});
  record.inserted.get(GROUP)?.push(...ROWS);
  expect(await findGuaranteeViolations(running, record)).toEqual([]);
});
