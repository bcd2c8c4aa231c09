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
import {closeLater, deferred, startPool, startServer} from './fixture.js';

const LIMIT: CallOptions = {timeoutMs: 5_000};

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
  it('matches answers that come out of order', async () => {
    const slow = deferred();
    const {server} = await startServer({
      slow: async () => slow.promise.then(() => 'slow'),
      fast: async body => ['fast', body],
    });
    const pool = startPool();
    const first = pool.call(server.address, 'slow', {}, LIMIT);
    const second = await pool.call(server.address, 'fast', {n: 7}, LIMIT);
    expect(second).toEqual(['fast', {n: 7}]);
    slow.resolve();
    expect(await first).toBe('slow');
    expect(server.connections).toBe(1);
  });

  it('tells the handler who called', async () => {
    const {server} = await startServer({who: async (_, ctx) => ctx.from});
    expect(await startPool().call(server.address, 'who', 0, LIMIT)).toBe(
      'vm-a',
    );
  });

  it('fails with notSent when nobody listens', async () => {
    const {server} = await startServer({});
    const {address} = server;
    await server.close(0);
    await expectPeerError(startPool().call(address, 'x', 0, LIMIT), 'notSent');
  });

  it('fails with notSent when the connection is not made in time', async () => {
    const {server} = await startServer({});
    const clock = new VirtualClock();
    const pool = startPool({clock, peerSecret: 'known'});
    const mute = await startRaw(() => {});
    const call = pool.call({...server.address, port: mute.port}, 'x', 0, {
      timeoutMs: 300,
    });
    const failed = expectPeerError(call, 'notSent');
    await clock.advance(300);
    await failed;
  });

  it('fails with notSent when the body cannot be encoded', async () => {
    const {server} = await startServer({echo: async body => body});
    const pool = startPool({maxFrameBytes: 1_000});
    const big = 'x'.repeat(2_000);
    await expectPeerError(
      pool.call(server.address, 'echo', big, LIMIT),
      'notSent',
    );
    expect(await pool.call(server.address, 'echo', 'ok', LIMIT)).toBe('ok');
  });

  it('fails with lost when the connection ends before the answer', async () => {
    const {server, started, aborted} = await startHanging();
    const pool = startPool();
    const failed = expectPeerError(
      pool.call(server.address, 'hang', 0, LIMIT),
      'lost',
    );
    await started.promise;
    await server.close(0);
    await failed;
    await aborted.promise;
  });

  it('fails with lost on timeout and cancels the call', async () => {
    const clock = new VirtualClock();
    const {server, started, aborted} = await startHanging();
    const pool = startPool({clock});
    const failed = expectPeerError(
      pool.call(server.address, 'hang', 0, {timeoutMs: 400}),
      'lost',
    );
    await started.promise;
    await clock.advance(400);
    await failed;
    await aborted.promise;
    expect(await pool.call(server.address, 'echo', 1, LIMIT)).toBe(1);
  });

  it('drops and counts answers that match no call', async () => {
    const address = await startScripted([
      {kind: 'res', id: 999, body: 'stranger'},
      {kind: 'part', id: 998, body: 'stranger'},
      {kind: 'err', id: 997, message: 'stranger'},
      {kind: 'res', id: 1, body: 'mine'},
      {kind: 'res', id: 1, body: 'mine again'},
      {kind: 'res', id: 2, body: 'next'},
    ]);
    const pool = startPool();
    const calls = [1, 2].map(n => pool.call(address, 'any', n, LIMIT));
    expect(await Promise.all(calls)).toEqual(['mine', 'next']);
    expect(pool.unmatchedAnswers).toBe(4);
  });

  it('fails with failed when the handler throws or is missing', async () => {
    const {server} = await startServer({
      bad: async () => {
        throw new Error('no such row');
      },
    });
    const pool = startPool();
    const bad = pool.call(server.address, 'bad', 0, LIMIT);
    await expectPeerError(bad, 'failed', 'no such row');
    await expectPeerError(pool.call(server.address, 'y', 0, LIMIT), 'failed');
  });

  it('aborts the handler when the caller cancels', async () => {
    const {server, started, aborted} = await startHanging();
    const cancel = new AbortController();
    const call = startPool().call(server.address, 'hang', 0, {
      ...LIMIT,
      signal: cancel.signal,
    });
    const failed = expectPeerError(call, 'lost');
    await started.promise;
    cancel.abort();
    await failed;
    await aborted.promise;
  });

  it('lets running calls end on a graceful close', async () => {
    const started = deferred();
    const release = deferred();
    const {server} = await startServer({
      slow: async () => {
        started.resolve();
        await release.promise;
        return 'whole';
      },
    });
    const pool = startPool();
    const call = pool.call(server.address, 'slow', 0, LIMIT);
    await started.promise;
    const closed = server.close();
    const other = startPool({self: 'vm-d'});
    await expectPeerError(
      other.call(server.address, 'slow', 0, LIMIT),
      'notSent',
    );
    release.resolve();
    expect(await call).toBe('whole');
    await closed;
  });

  it('closes an idle connection and opens it again on demand', async () => {
    const clock = new VirtualClock();
    const {server} = await startServer({echo: async body => body});
    const pool = startPool({clock, idleCloseMs: 2_000});
    await pool.call(server.address, 'echo', 1, LIMIT);
    expect(pool.size).toBe(1);
    await clock.advance(4_000);
    expect(pool.size).toBe(0);
    expect(await pool.call(server.address, 'echo', 2, LIMIT)).toBe(2);
  });

  it('sends nothing once the pool is closed', async () => {
    const {server} = await startServer({echo: async body => body});
    const pool = startPool();
    await pool.call(server.address, 'echo', 1, LIMIT);
    pool.close();
    const {address} = server;
    await expectPeerError(pool.call(address, 'echo', 2, LIMIT), 'notSent');
    await expectPeerError(pool.openFresh(address, LIMIT), 'notSent');
  });

  it('does not call a node that answers under another id', async () => {
    const {server} = await startServer({echo: async body => body});
    const other = {...server.address, id: 'vm-c'};
    await expectPeerError(startPool().call(other, 'echo', 1, LIMIT), 'notSent');
  });
});

/** A server whose method `hang` ends when its caller gives up. */
async function startHanging() {
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

/** A node that sends these messages once the first request has come. */
function startScripted(messages: readonly PeerMessage[]): Promise<PeerAddress> {
  return startRaw(socket => {
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

async function startRaw(
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
