import {once} from 'node:events';
import {connect} from 'node:net';
import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {useHarness, type TestClient} from './harness.js';
import {expectSqlstate} from '../fakes/failures.js';

/** Statements that the home sends to one database of two slots at once. */
const PRIMARY_CONCURRENCY = 3;

describe('cancel requests', () => {
  const harness = useHarness();

  function keyOfClient(client: TestClient) {
    return client as unknown as {processID: number; secretKey: number};
  }

  /** Sends a cancel request and waits until the server has closed. */
  async function cancel(processID: number, secretKey: number): Promise<void> {
    const socket = connect(harness.node.server.port, '127.0.0.1');
    socket.end(serialize.cancel(processID, secretKey));
    socket.resume();
    await once(socket, 'close');
  }

  it('stops a running statement and the session goes on', async () => {
    const client = await harness.connect();
    const sleeping = client.query('SELECT pg_sleep(60)');
    const outcome = expectSqlstate(sleeping, '57014');
    const {processID, secretKey} = keyOfClient(client);
    let stopped = false;
    void sleeping.catch(() => (stopped = true));
    // A request that comes before the statement runs stops nothing.
    while (!stopped) await cancel(processID, secretKey);
    await outcome;
    expect((await client.query('SELECT 1')).rowCount).toBe(1);
  });

  it('takes a statement that waits for a slot out of the queue', async () => {
    harness.access.staleMs = 0;
    const sleepers = await Promise.all(
      Array.from({length: PRIMARY_CONCURRENCY}, () => harness.connect()),
    );
    const ended: string[] = [];
    for (const sleeper of sleepers) {
      const query = sleeper.query('SELECT pg_sleep(60)');
      void query.catch(({code}) => void ended.push(code));
    }
    await harness.untilActive(PRIMARY_CONCURRENCY);
    const client = await harness.connect();
    const waiting = client.query(
      "INSERT INTO claims (id, team, value) VALUES ('waits', 'red', 1)",
    );
    const outcome = expect(waiting).rejects.toMatchObject({
      code: '57014',
      detail: 'outcome=not_run reason=cancelled',
    });
    await harness.untilActive(PRIMARY_CONCURRENCY + 1);
    const {processID, secretKey} = keyOfClient(client);
    await cancel(processID, secretKey);
    await outcome;
    expect(ended).toEqual([]);
    await Promise.all(
      sleepers
        .map(keyOfClient)
        .map(key => cancel(key.processID, key.secretKey)),
    );
    const read = "SELECT id FROM claims WHERE id = 'waits'";
    expect((await client.query(read)).rows).toEqual([]);
    expect(ended).toEqual(sleepers.map(() => '57014'));
  });

  it('stops a transaction at a home that was described anew', async () => {
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
    const {processID, secretKey} = keyOfClient(client);
    while (!stopped) await cancel(processID, secretKey);
    await outcome;
  });

  it('stops nothing by a wrong secret', async () => {
    const client = await harness.connect();
    const sleeping = client.query('SELECT pg_sleep(0.3)');
    const {processID, secretKey} = keyOfClient(client);
    await harness.untilActive(1);
    await cancel(processID, secretKey ^ 1);
    expect((await sleeping).rowCount).toBe(1);
    expect(harness.forwardedCancels).toContainEqual({
      processId: processID,
      secret: secretKey ^ 1,
    });
  });
});
