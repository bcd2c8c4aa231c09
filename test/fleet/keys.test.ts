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
/** The stated bound for a withdrawal to be in force on every node. */
const MAX_WITHDRAWAL_MS = 4_000;
/** How long a session is used on before the test gives it up. */
const SESSION_USE_TIMEOUT_MS = 8_000;
const STATEMENT_INTERVAL_MS = 20;
const INVALID_PASSWORD = '28P01';
const KEY_ID = /^zk_([0-9a-f]{16})_/;

/** How and when a session ended; no code if it never did. */
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
    idle.map(async ({vm, client, getFatalError: fatal}) => {
      const err = fatal() ?? (await runRead(client));
      return {vm, code: err?.code};
    }),
  );
  const newcomers = await Promise.all(
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
  expect.soft(newcomers).toEqual(codes);
  expect.soft(countFailures(record.failures)).toEqual({});
  expect(await findGuaranteeViolations(fleet, record)).toEqual([]);
});

/** A session and the error with which its connection was ended. */
interface OpenSession {
  readonly vm: string;
  readonly client: pg.Client;
  readonly getFatalError: () => ClientError | undefined;
}

/** One session of the team on each node, each proved to work. */
function openSessions(on: Fleet): Promise<readonly OpenSession[]> {
  return Promise.all(
    on.nodes.map(async node => {
      let first: ClientError | undefined;
      const client = await connect(on, node, TEAM, err => (first ??= err));
      const err = await runRead(client);
      if (err !== undefined) throw new Error(`${GROUP}: ${err.message}`);
      return {vm: node.vm, client, getFatalError: () => first};
    }),
  );
}

async function useSessionUntilEnd(
  {vm, client, getFatalError: fatal}: OpenSession,
  since: number,
): Promise<SessionEnd> {
  while (performance.now() - since < SESSION_USE_TIMEOUT_MS) {
    const err = fatal() ?? (await runRead(client));
    const afterMs = performance.now() - since;
    if (err !== undefined)
      return {vm, code: (fatal() ?? err).code, elapsedMs: afterMs};
    await sleep(STATEMENT_INTERVAL_MS);
  }
  await client.end().catch(() => {});
  return {vm, elapsedMs: SESSION_USE_TIMEOUT_MS};
}

/** The error of one read, if it fails. */
function runRead(client: pg.Client): Promise<ClientError | undefined> {
  return client.query('SELECT id FROM counters WHERE id = $1', ['none']).then(
    () => undefined,
    (err: ClientError) => err,
  );
}
