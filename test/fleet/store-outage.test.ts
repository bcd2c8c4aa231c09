import {expect, test} from 'vitest';
import type {Fleet} from '../../demo/fleet.js';
import type {TeamRow} from '../../src/rollout/table.js';
import {
  OTHER_TEAM,
  TEAM,
  countFailures,
  findGuaranteeViolations,
  readVersion,
  sleep,
  startFleet,
  startLoad,
  waitForProgress,
  waitUntil,
} from './fixture.js';

const SEED = 45;
const STATEMENTS = 200;
const OUTAGE_MS = 8_000;
/** Specified maximum time until an edit is in force on every node. */
const MAX_PROPAGATION_MS = 4_000;
/** More than the edit alone would use up: the nodes' own writes consume some. */
const LOST_RESPONSES = 5;
/** At least one statement must complete in each interval of this length. */
const SERVICE_CHECK_INTERVAL_MS = 1_000;
const CANNOT_CONNECT_NOW = '57P03';

test('service goes on through a store outage of 8 s', async () => {
  const fleet = await startFleet();
  const load = startLoad(fleet, SEED);
  await waitForProgress(load, STATEMENTS);
  const startedAt = performance.now();
  await fleet.controlStore('outage', {on: true});
  await sleep(OUTAGE_MS);
  const standings = await Promise.all(
    fleet.nodes.map(node =>
      fleet.readNode<{readonly standing: string}>(node, 'versions'),
    ),
  );
  const endedAt = performance.now();
  await fleet.controlStore('outage', {on: false});
  await waitForProgress(load, STATEMENTS);
  const record = await load.stop();

  // Verifies that the outage took effect: every node had lost contact with the store.
  expect
    .soft(standings.map(({standing}) => standing))
    .toEqual(fleet.nodes.map(() => 'outage'));
  for (
    let from = startedAt;
    from < endedAt;
    from += SERVICE_CHECK_INTERVAL_MS
  ) {
    const until = from + SERVICE_CHECK_INTERVAL_MS;
    const done = record.completions.filter(
      ({at}) => at >= from && at < until,
    ).length;
    expect
      .soft(done, 'statements completed in the interval')
      .toBeGreaterThan(0);
  }
  const refusals = record.failures.filter(
    ({sqlstate}) => sqlstate === CANNOT_CONNECT_NOW,
  );
  expect.soft(countFailures(refusals)).toEqual({});
  expect(await findGuaranteeViolations(fleet, record)).toEqual([]);
});

test('a node that restarts in a store outage comes back with the same version', async () => {
  const fleet = await startFleet();
  const row = createRow(OTHER_TEAM, 700);
  const result = await putRow(fleet, row, 'before-the-outage');
  const version = getAppliedVersion(result);
  await waitForVersion(fleet, version);

  await fleet.controlStore('outage', {on: true});
  const node = fleet.nodes[1]!;
  node.process.signal('SIGKILL');
  await node.process.exited();
  await fleet.restartNode(node);
  const versions = new Set<number>();
  await waitUntil(
    'the version from before the outage',
    MAX_PROPAGATION_MS,
    async () => {
      const current = await readVersion(fleet, node);
      versions.add(current);
      return current >= version ? current : undefined;
    },
  );
  expect([...versions]).toEqual([version]);
  await fleet.controlStore('outage', {on: false});
});

test('an edit whose store responses are lost is applied exactly once and is in force on all nodes', async () => {
  const fleet = await startFleet();
  const before = await readVersion(fleet, fleet.nodes[0]!);
  await fleet.controlStore('lostAnswers', {count: LOST_RESPONSES});
  const row = createRow(TEAM, 600);
  const result = await putRow(fleet, row, 'with-a-lost-answer');
  expect(result).toEqual({
    kind: 'applied',
    version: before + 1,
    repeated: true,
  });
  await waitForVersion(fleet, before + 1);
});

test('concurrent edits of different rows are both applied, and one of two edits of the same row conflicts', async () => {
  const fleet = await startFleet();
  const before = await readVersion(fleet, fleet.nodes[0]!);
  const differentRows = await Promise.all([
    putRow(fleet, createRow(TEAM, 500), 'ana-1', before),
    putRow(fleet, createRow(OTHER_TEAM, 500), 'ben-1', before),
  ]);
  expect(differentRows.map(({kind}) => kind)).toEqual(['applied', 'applied']);
  await waitForVersion(fleet, before + 2);

  const sameRow = await Promise.all([
    putRow(fleet, createRow(TEAM, 400), 'ana-2', before + 2),
    putRow(fleet, createRow(TEAM, 300), 'ben-2', before + 2),
  ]);
  expect(sameRow.map(({kind}) => kind).sort()).toEqual(['applied', 'conflict']);
  await waitForVersion(fleet, before + 3);
});

type EditResult = Awaited<ReturnType<Fleet['editor']['edit']>>;

function createRow(name: string, rate: number): TeamRow {
  return {kind: 'team', name, rate, burst: 100, priority: 'urgent'};
}

function putRow(
  {editor}: Fleet,
  row: TeamRow,
  id: string,
  baseVersion?: number,
): Promise<EditResult> {
  const edits = [{kind: 'put', row}] as const;
  const base = baseVersion === undefined ? {} : {baseVersion};
  return editor.edit({kind: 'rows', edits, ...base}, {id, by: id});
}

function getAppliedVersion(result: EditResult): number {
  if (result.kind !== 'applied')
    throw new Error(`the edit was not applied but ${result.kind}`);
  return result.version;
}

/** Waits until this version, and no other, is in force on all nodes. */
function waitForVersion(fleet: Fleet, version: number): Promise<true> {
  return waitUntil(
    `version ${version} on all nodes`,
    MAX_PROPAGATION_MS,
    async () => {
      const found = await Promise.all(
        fleet.nodes.map(node => readVersion(fleet, node)),
      );
      return found.every(one => one === version) ? true : undefined;
    },
  );
}
