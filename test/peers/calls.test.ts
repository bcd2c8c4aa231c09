import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, expect, it} from 'vitest';
import {encodeFrame, FrameDecoder} from '../../src/peers/framing.js';
import type {PeerMessage} from '../../src/peers/messages.js';
import {
  PeerError,
  type CallOptions,
  type PeerAddress,
} from '../../src/peers/types.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {closeLater, createPool, deferred, startServer} from './fixture.js';

const TIMEOUT: CallOptions = {timeoutMs: 5_000};

async function expectPeerError(
  call: Promise<unknown>,
  kind: PeerError['kind'],
  message = expect.any(String) as string,
) {
  const err = await call.catch((reason: unknown) => reason);
  expect(err).toBeInstanceOf(PeerError);
  expect(err).toMatchObject({kind, message});
}

describe('peer calls', () => {
  it('matches answers that arrive out of order to their calls', async () => {
    const releaseSlow = deferred();
    const {server} = await startServer({
      slow: async () => releaseSlow.promise.then(() => 'slow'),
      fast: async body => ['fast', body],
    });
    const pool = createPool();
    const first = pool.call(server.address, 'slow', {}, TIMEOUT);
    const second = await pool.call(server.address, 'fast', {n: 7}, TIMEOUT);
    expect(second).toEqual(['fast', {n: 7}]);
    releaseSlow.resolve();
    expect(await first).toBe('slow');
    expect(server.connections).toBe(1);
  });

  it('passes the id of the calling node to the handler', async () => {
    const {server} = await startServer({who: async (_, ctx) => ctx.from});
    expect(await createPool().call(server.address, 'who', 0, TIMEOUT)).toBe(
      'vm-a',
    );
  });

  it('fails with notSent when no server listens', async () => {
    const {server} = await startServer({});
    const {address} = server;
    await server.close(0);
    await expectPeerError(
      createPool().call(address, 'x', 0, TIMEOUT),
      'notSent',
    );
  });

  it('fails with notSent when connecting times out', async () => {
    const {server} = await startServer({});
    const clock = new VirtualClock();
    const pool = createPool({clock, peerSecret: 'known'});
    const unresponsive = await startRawServer(() => {});
    const call = pool.call(
      {...server.address, port: unresponsive.port},
      'x',
      0,
      {timeoutMs: 300},
    );
    const failed = expectPeerError(call, 'notSent');
    await clock.advance(300);
    await failed;
  });

  it('fails with notSent when the body cannot be encoded', async () => {
    const {server} = await startServer({echo: async body => body});
    const pool = createPool({maxFrameBytes: 1_000});
    const big = 'x'.repeat(2_000);
    await expectPeerError(
      pool.call(server.address, 'echo', big, TIMEOUT),
      'notSent',
    );
    expect(await pool.call(server.address, 'echo', 'ok', TIMEOUT)).toBe('ok');
  });

  it('fails with lost when the connection ends before the answer', async () => {
    const {server, started, aborted} = await startHangingServer();
    const pool = createPool();
    const failed = expectPeerError(
      pool.call(server.address, 'hang', 0, TIMEOUT),
      'lost',
    );
    await started.promise;
    await server.close(0);
    await failed;
    await aborted.promise;
  });

  it('fails with lost on timeout and cancels the call', async () => {
    const clock = new VirtualClock();
    const {server, started, aborted} = await startHangingServer();
    const pool = createPool({clock});
    const failed = expectPeerError(
      pool.call(server.address, 'hang', 0, {timeoutMs: 400}),
      'lost',
    );
    await started.promise;
    await clock.advance(400);
    await failed;
    await aborted.promise;
    expect(await pool.call(server.address, 'echo', 1, TIMEOUT)).toBe(1);
  });

  it('drops and counts answers that match no call', async () => {
    const address = await startScriptedServer([
      {kind: 'res', id: 999, body: 'stranger'},
      {kind: 'part', id: 998, body: 'stranger'},
      {kind: 'err', id: 997, message: 'stranger'},
      {kind: 'res', id: 1, body: 'mine'},
      {kind: 'res', id: 1, body: 'mine again'},
      {kind: 'res', id: 2, body: 'next'},
    ]);
    const pool = createPool();
    const calls = [1, 2].map(n => pool.call(address, 'any', n, TIMEOUT));
    expect(await Promise.all(calls)).toEqual(['mine', 'next']);
    expect(pool.unmatchedAnswers).toBe(4);
  });

  it('fails with failed when the handler throws or does not exist', async () => {
    const {server} = await startServer({
      bad: async () => {
        throw new Error('no such row');
      },
    });
    const pool = createPool();
    const bad = pool.call(server.address, 'bad', 0, TIMEOUT);
    await expectPeerError(bad, 'failed', 'no such row');
    await expectPeerError(pool.call(server.address, 'y', 0, TIMEOUT), 'failed');
  });

  it('aborts the handler when the caller cancels', async () => {
    const {server, started, aborted} = await startHangingServer();
    const cancel = new AbortController();
    const call = createPool().call(server.address, 'hang', 0, {
      ...TIMEOUT,
      signal: cancel.signal,
    });
    const failed = expectPeerError(call, 'lost');
    await started.promise;
    cancel.abort();
    await failed;
    await aborted.promise;
  });

  it('completes running calls on a graceful close', async () => {
    const started = deferred();
    const release = deferred();
    const {server} = await startServer({
      slow: async () => {
        started.resolve();
        await release.promise;
        return 'whole';
      },
    });
    const pool = createPool();
    const call = pool.call(server.address, 'slow', 0, TIMEOUT);
    await started.promise;
    const closed = server.close();
    const other = createPool({self: 'vm-d'});
    await expectPeerError(
      other.call(server.address, 'slow', 0, TIMEOUT),
      'notSent',
    );
    release.resolve();
    expect(await call).toBe('whole');
    await closed;
  });

  it('closes an idle connection and reconnects on the next call', async () => {
    const clock = new VirtualClock();
    const {server} = await startServer({echo: async body => body});
    const pool = createPool({clock, idleCloseMs: 2_000});
    await pool.call(server.address, 'echo', 1, TIMEOUT);
    expect(pool.size).toBe(1);
    await clock.advance(4_000);
    expect(pool.size).toBe(0);
    expect(await pool.call(server.address, 'echo', 2, TIMEOUT)).toBe(2);
  });

  it('fails calls with notSent once the pool is closed', async () => {
    const {server} = await startServer({echo: async body => body});
    const pool = createPool();
    await pool.call(server.address, 'echo', 1, TIMEOUT);
    pool.close();
    const {address} = server;
    await expectPeerError(pool.call(address, 'echo', 2, TIMEOUT), 'notSent');
    await expectPeerError(pool.openDedicated(address, TIMEOUT), 'notSent');
  });

  it('does not call a node that reports another id than expected', async () => {
    const {server} = await startServer({echo: async body => body});
    const other = {...server.address, id: 'vm-c'};
    await expectPeerError(
      createPool().call(other, 'echo', 1, TIMEOUT),
      'notSent',
    );
  });
});

/** Starts a server whose method `hang` returns only when it is aborted. */
async function startHangingServer() {
  const started = deferred();
  const aborted = deferred();
  const {server} = await startServer({
    hang: async (_, ctx) => {
      ctx.signal.addEventListener('abort', () => aborted.resolve());
      started.resolve();
      await aborted.promise;
    },
    echo: async body => body,
  });
  return {server, started, aborted};
}

/** Starts a node that sends `messages` when it receives the second request. */
function startScriptedServer(
  messages: readonly PeerMessage[],
): Promise<PeerAddress> {
  return startRawServer(socket => {
    const decoder = new FrameDecoder();
    const nonce = new Uint8Array(16);
    const proof = new Uint8Array(0);
    const send = (message: PeerMessage) => socket.write(encodeFrame(message));
    send({kind: 'challenge', nonce});
    socket.on('data', chunk => {
      for (const {value} of decoder.push(chunk as Buffer)) {
        const {kind, id} = value as {kind: string; id: number};
        if (kind === 'hello') send({kind: 'welcome', from: 'vm-b', proof});
        if (kind === 'req' && id === 2) messages.forEach(send);
      }
    });
  });
}

/** Starts a TCP server without the peer protocol. */
async function startRawServer(
  onConnection: (socket: Socket) => void,
): Promise<PeerAddress> {
  const server = createServer(socket => {
    socket.on('error', () => {});
    closeLater(() => socket.destroy());
    onConnection(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  closeLater(() => server.close());
  const {port} = server.address() as AddressInfo;
  return {id: 'vm-b', host: '127.0.0.1', port};
}
