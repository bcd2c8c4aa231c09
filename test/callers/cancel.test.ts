import {once} from 'node:events';
import {connect} from 'node:net';
import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {useHarness, type TestClient} from './harness.js';
import {expectSqlstate} from '../fakes/failures.js';

/** Statements that the home runs concurrently at a database with two slots. */
const PRIMARY_CONCURRENCY = 3;

describe('cancel requests', () => {
  const harness = useHarness();

  function backendKeyOf(client: TestClient) {
    return client as unknown as {processID: number; secretKey: number};
  }

  /** Sends a cancel request and waits until the server has closed. */
  async function cancel(processID: number, secretKey: number): Promise<void> {
    const socket = connect(harness.node.server.port, '127.0.0.1');
    socket.end(serialize.cancel(processID, secretKey));
    socket.resume();
    await once(socket, 'close');
  }

  it('cancels a running statement and keeps the session', async () => {
    const client = await harness.connect();
    const sleeping = client.query('SELECT pg_sleep(60)');
    const outcome = expectSqlstate(sleeping, '57014');
    const {processID, secretKey} = backendKeyOf(client);
    let stopped = false;
    void sleeping.catch(() => (stopped = true));
    // A request that arrives before the statement runs has no effect.
    while (!stopped) await cancel(processID, secretKey);
    await outcome;
    expect((await client.query('SELECT 1')).rowCount).toBe(1);
  });

  it('removes a statement that waits for a slot from the queue', async () => {
    harness.access.staleMs = 0;
    const sleepers = await Promise.all(
      Array.from({length: PRIMARY_CONCURRENCY}, () => harness.connect()),
    );
    const ended: string[] = [];
    for (const sleeper of sleepers) {
      const query = sleeper.query('SELECT pg_sleep(60)');
      void query.catch(({code}) => void ended.push(code));
    }
    await harness.waitForActive(PRIMARY_CONCURRENCY);
    const client = await harness.connect();
    const waiting = client.query(
      "INSERT INTO claims (id, team, value) VALUES ('waits', 'red', 1)",
    );
    const outcome = expect(waiting).rejects.toMatchObject({
      code: '57014',
      detail: 'outcome=not_run reason=cancelled',
    });
    await harness.waitForActive(PRIMARY_CONCURRENCY + 1);
    const {processID, secretKey} = backendKeyOf(client);
    await cancel(processID, secretKey);
    await outcome;
    expect(ended).toEqual([]);
    await Promise.all(
      sleepers
        .map(backendKeyOf)
        .map(key => cancel(key.processID, key.secretKey)),
    );
    const read = "SELECT id FROM claims WHERE id = 'waits'";
    expect((await client.query(read)).rows).toEqual([]);
    expect(ended).toEqual(sleepers.map(() => '57014'));
  });

  it('cancels a statement of a transaction after its group was reconfigured', async () => {
    const client = await harness.connect();
    await client.query('BEGIN');
    harness.slots = 3;
    await (await harness.connect()).query('SELECT 1');
    const outcome = expectSqlstate(
      client.query('SELECT pg_sleep(60)'),
      '57014',
    );
    let stopped = false;
    void outcome.finally(() => (stopped = true)).catch(() => {});
    const {processID, secretKey} = backendKeyOf(client);
    while (!stopped) await cancel(processID, secretKey);
    await outcome;
  });

  it('ignores a cancel request with a wrong secret key', async () => {
    const client = await harness.connect();
    const sleeping = client.query('SELECT pg_sleep(0.3)');
    const {processID, secretKey} = backendKeyOf(client);
    await harness.waitForActive(1);
    await cancel(processID, secretKey ^ 1);
    expect((await sleeping).rowCount).toBe(1);
    expect(harness.forwardedCancels).toContainEqual({
      processId: processID,
      secret: secretKey ^ 1,
    });
  });
});
