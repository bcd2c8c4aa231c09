import {once} from 'node:events';
import {connect} from 'node:net';
import {serialize} from 'pg-protocol';
import {describe, expect, it, vi} from 'vitest';
import {useHarness, type TestClient} from './harness.js';

const WAIT = {timeout: 5_000, interval: 10};

describe('cancel requests', () => {
  const harness = useHarness();

  function keyOfClient(client: TestClient) {
    const {processID, secretKey} = client as unknown as {
      processID: number;
      secretKey: number;
    };
    return {processID, secretKey};
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
    const outcome = expect(sleeping).rejects.toMatchObject({code: '57014'});
    const {processID, secretKey} = keyOfClient(client);
    let stopped = false;
    void sleeping.catch(() => (stopped = true));
    // A request that comes before the statement runs stops nothing.
    while (!stopped) await cancel(processID, secretKey);
    await outcome;
    expect((await client.query('SELECT 1')).rowCount).toBe(1);
  });

  it('stops nothing by a wrong secret', async () => {
    const client = await harness.connect();
    const sleeping = client.query('SELECT pg_sleep(0.3)');
    const {processID, secretKey} = keyOfClient(client);
    await vi.waitFor(() => expect(harness.node.homes.active).toBe(1), WAIT);
    await cancel(processID, secretKey ^ 1);
    expect((await sleeping).rowCount).toBe(1);
    expect(harness.forwardedCancels).toContainEqual({
      processId: processID,
      secret: secretKey ^ 1,
    });
  });
});
