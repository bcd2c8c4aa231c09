import type pg from 'pg';
import {expect, test} from 'vitest';
import type {Fleet} from '../../demo/fleet.js';
import {
  GROUP,
  OTHER_TEAM,
  TEAM,
  connect,
  countFailures,
  findGuaranteeViolations,
  sleep,
  startFleet,
  startLoad,
  waitForProgress,
  type ClientError,
} from './fixture.js';

const SEED = 44;
const STATEMENTS = 100;
/** Specified maximum time until a key withdrawal is in force on every node. */
const MAX_WITHDRAWAL_MS = 4_000;
/** Time after which a session that has not ended counts as never ended. */
const SESSION_USE_TIMEOUT_MS = 8_000;
const STATEMENT_INTERVAL_MS = 20;
const INVALID_PASSWORD = '28P01';
const KEY_ID = /^zk_([0-9a-f]{16})_/;

/** SQLSTATE and time with which a session ended; no code if it did not end. */
interface SessionEnd {
  readonly vm: string;
  readonly code?: string;
  readonly elapsedMs: number;
}

test('a withdrawn key ends its busy and idle sessions on every node within 4 s and no other team notices', async () => {
  const fleet = await startFleet();
  const load = startLoad(fleet, SEED, {team: OTHER_TEAM});
  await waitForProgress(load, STATEMENTS);
  const busy = await openSessions(fleet);
  const idle = await openSessions(fleet);
  const keyId = KEY_ID.exec(fleet.keys.get(TEAM) ?? '')?.[1] ?? '';

  const result = await fleet.editor.edit(
    {kind: 'withdrawKey', keyId},
    {id: 'withdraw-of-the-test', by: 'test'},
  );
  const withdrawnAt = performance.now();
  expect(result.kind).toBe('applied');
  const ends = await Promise.all(
    busy.map(session => useSessionUntilEnd(session, withdrawnAt)),
  );
  await sleep(MAX_WITHDRAWAL_MS - (performance.now() - withdrawnAt));
  const idleEnds = await Promise.all(
    idle.map(async ({vm, client, getFatalError}) => {
      const err = getFatalError() ?? (await runRead(client));
      return {vm, code: err?.code};
    }),
  );
  const newSessions = await Promise.all(
    fleet.nodes.map(node =>
      connect(fleet, node).then(
        async client => {
          await client.end();
          return 'admitted';
        },
        (err: ClientError) => err.code,
      ),
    ),
  );
  await waitForProgress(load, STATEMENTS);
  const record = await load.stop();

  for (const end of ends) {
    expect.soft(end).toMatchObject({code: INVALID_PASSWORD});
    expect.soft(end.elapsedMs).toBeLessThan(MAX_WITHDRAWAL_MS);
  }
  const codes = fleet.nodes.map(() => INVALID_PASSWORD);
  expect.soft(idleEnds.map(({code}) => code)).toEqual(codes);
  expect.soft(newSessions).toEqual(codes);
  expect.soft(countFailures(record.failures)).toEqual({});
  expect(await findGuaranteeViolations(fleet, record)).toEqual([]);
});

/** An open session; `getFatalError` returns the error that ended its connection, if any. */
interface OpenSession {
  readonly vm: string;
  readonly client: pg.Client;
  readonly getFatalError: () => ClientError | undefined;
}

/** Opens one session of the team on each node and runs a read in each. */
function openSessions(fleet: Fleet): Promise<readonly OpenSession[]> {
  return Promise.all(
    fleet.nodes.map(async node => {
      let firstError: ClientError | undefined;
      const client = await connect(
        fleet,
        node,
        TEAM,
        err => (firstError ??= err),
      );
      const err = await runRead(client);
      if (err !== undefined) throw new Error(`${GROUP}: ${err.message}`);
      return {vm: node.vm, client, getFatalError: () => firstError};
    }),
  );
}

/** Runs reads until the session ends or the timeout passes. */
async function useSessionUntilEnd(
  {vm, client, getFatalError}: OpenSession,
  since: number,
): Promise<SessionEnd> {
  while (performance.now() - since < SESSION_USE_TIMEOUT_MS) {
    const err = getFatalError() ?? (await runRead(client));
    const elapsedMs = performance.now() - since;
    if (err !== undefined)
      return {vm, code: (getFatalError() ?? err).code, elapsedMs};
    await sleep(STATEMENT_INTERVAL_MS);
  }
  await client.end().catch(() => {});
  return {vm, elapsedMs: SESSION_USE_TIMEOUT_MS};
}

/** Runs a read; returns its error, or undefined if it succeeds. */
function runRead(client: pg.Client): Promise<ClientError | undefined> {
  return client.query('SELECT id FROM counters WHERE id = $1', ['none']).then(
    () => undefined,
    (err: ClientError) => err,
  );
}
