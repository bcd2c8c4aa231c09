import {expect, test} from 'vitest';
import {
  connect,
  findGuaranteeViolations,
  findHome,
  insert,
  isSqlstate,
  readEntryIds,
  sleep,
  startFleet,
  startLoad,
  waitForProgress,
  waitUntil,
  type ClientError,
} from './fixture.js';

const KILL_SEED = 42;
const FREEZE_SEED = 43;
const STATEMENTS = 300;
/** Specified maximum time until service resumes after a failure. */
const RECOVERY_TIMEOUT_MS = 12_000;
const FREEZE_MS = 5_000;
const OPEN_ROW = 'row-of-the-open-transaction';

test('the other nodes serve on when the home is killed, and its open transaction is told and leaves nothing', async () => {
  const fleet = await startFleet();
  const load = startLoad(fleet, KILL_SEED);
  await waitForProgress(load, STATEMENTS);
  const home = await findHome(fleet, fleet.nodes[0]!);
  const survivors = fleet.nodes.filter(node => node !== home);
  const client = await connect(fleet, survivors[0]!);
  await client.query('BEGIN');
  await insert(client, OPEN_ROW);

  home.process.signal('SIGKILL');
  await home.process.exited();
  const commitError = await client.query('COMMIT').then(
    ({command}) => ({message: `COMMIT returned ${command}`}) as ClientError,
    (err: ClientError) => err,
  );
  expect
    .soft(commitError)
    .toSatisfy((err: ClientError) => isSqlstate(err.code));
  for (const node of survivors) {
    await waitUntil(
      `${node.vm} serves writes`,
      RECOVERY_TIMEOUT_MS,
      async () => {
        const probe = await connect(fleet, node).catch(() => undefined);
        const done = await probe
          ?.query('INSERT INTO entries (id, team, value) VALUES ($1, $2, $3)', [
            `probe-${node.vm}-${performance.now()}`,
            'probe',
            '1',
          ])
          .catch(() => undefined);
        await probe?.end().catch(() => {});
        return done;
      },
    );
  }
  await waitForProgress(load, STATEMENTS);
  const record = await load.stop();
  await client.end().catch(() => {});

  expect.soft(await readEntryIds(fleet)).not.toContain(OPEN_ROW);
  expect(await findGuaranteeViolations(fleet, record)).toEqual([]);
});

test('freezing and resuming the home causes no lost or duplicate writes and no stale reads', async () => {
  const fleet = await startFleet();
  const load = startLoad(fleet, FREEZE_SEED);
  await waitForProgress(load, STATEMENTS);
  const home = await findHome(fleet, fleet.nodes[0]!);
  home.process.signal('SIGSTOP');
  await sleep(FREEZE_MS);
  home.process.signal('SIGCONT');
  await waitForProgress(load, STATEMENTS);
  const record = await load.stop();
  expect(await findGuaranteeViolations(fleet, record)).toEqual([]);
});
