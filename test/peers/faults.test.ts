import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {encodeFrame} from '../../src/peers/framing.js';
import type {PeerLogEvent} from '../../src/peers/peer-log.js';
import type {PeerAddress} from '../../src/peers/types.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {
  closeLater,
  connectRaw,
  createPool,
  deferred,
  startServer,
} from './fixture.js';
import {expectFailure} from '../fakes/failures.js';

const TIMEOUT = {timeoutMs: 5_000};

async function sendAndWaitForClose(port: number, bytes: Uint8Array) {
  const socket = await connectRaw(port);
  socket.on('error', () => {});
  socket.resume();
  socket.end(bytes);
  if (!socket.destroyed) await once(socket, 'close');
}

describe('peer faults', () => {
  it('survives random bytes and keeps serving other connections', async () => {
    const {server} = await startServer({echo: async body => body});
    const pool = createPool();
    await fc.assert(
      fc.asyncProperty(
        fc.uint8Array({maxLength: 300}),
        fc.boolean(),
        async (bytes, framed) => {
          const head = Buffer.alloc(4);
          head.writeUInt32BE(bytes.length);
          const data = framed ? Buffer.concat([head, bytes]) : bytes;
          await sendAndWaitForClose(server.address.port, data);
          expect(await pool.call(server.address, 'echo', 1, TIMEOUT)).toBe(1);
        },
      ),
      {seed: 7, numRuns: 200},
    );
    expect(server.connections).toBe(1);
  });

  it('survives random messages after the handshake', async () => {
    const {server} = await startServer({echo: async body => body});
    const pool = createPool();
    const kinds = ['req', 'cancel', 'credit', 'part', 'ping', 'x', 'hello'];
    const message = fc.record(
      {
        kind: fc.constantFrom(...kinds),
        id: fc.oneof(fc.integer(), fc.string()),
        method: fc.constantFrom('echo', 'none', '__proto__'),
        body: fc.anything({maxDepth: 2}),
        bytes: fc.integer(),
      },
      {requiredKeys: ['kind']},
    );
    await fc.assert(
      fc.asyncProperty(fc.array(message), async messages => {
        const hello = {
          kind: 'hello',
          version: 1,
          from: 'vm-x',
          nonce: new Uint8Array(16),
          proof: new Uint8Array(0),
        };
        const frames = [hello, ...messages].map(m => encodeFrame(m));
        await sendAndWaitForClose(server.address.port, Buffer.concat(frames));
        expect(await pool.call(server.address, 'echo', 1, TIMEOUT)).toBe(1);
      }),
      {seed: 11, numRuns: 100},
    );
  });

  it('closes the connection on an oversized frame and logs it', async () => {
    const {server, events} = await startServer({});
    const data = Buffer.from([0x7f, 0xff, 0xff, 0xff, 1, 2]);
    await sendAndWaitForClose(server.address.port, data);
    expect(events.map(event => event.event)).toEqual(['peer-frame-rejected']);
    expect(events[0]!.detail).toContain('announces 2147483647 bytes');
  });

  it('rejects a client without the shared secret', async () => {
    const {server, events} = await startServer(
      {echo: async body => body},
      {peerSecret: 'right'},
    );
    const {address} = server;
    const wrong = createPool({peerSecret: 'wrong'});
    const none = createPool();
    const right = createPool({peerSecret: 'right'});
    for (const pool of [wrong, none]) {
      await expectFailure(pool.call(address, 'echo', 1, TIMEOUT), 'notSent');
    }
    expect(await right.call(address, 'echo', 1, TIMEOUT)).toBe(1);
    expect(events.map(event => event.event)).toEqual([
      'peer-handshake-rejected',
      'peer-handshake-rejected',
    ]);
  });

  it('rejects a server without the shared secret', async () => {
    const {server} = await startServer({echo: async body => body});
    const pool = createPool({peerSecret: 'right'});
    await expectFailure(
      pool.call(server.address, 'echo', 1, TIMEOUT),
      'notSent',
    );
  });

  it('closes a silent connection and reconnects on the next call', async () => {
    const clock = new VirtualClock();
    const {server} = await startServer({echo: async body => body});
    const relay = await startRelay(server.address);
    const events: PeerLogEvent[] = [];
    const pool = createPool({clock, log: event => events.push(event)});
    expect(await pool.call(relay.address, 'echo', 1, TIMEOUT)).toBe(1);
    relay.silence();
    const outcome = pool
      .call(relay.address, 'echo', 2, {timeoutMs: 60_000})
      .catch((err: unknown) => err);
    await clock.advance(4_000);
    expect(await outcome).toMatchObject({kind: 'lost'});
    expect(events.map(event => event.event)).toEqual([
      'peer-connection-silent',
    ]);
    expect(await pool.call(relay.address, 'echo', 3, TIMEOUT)).toBe(3);
  });

  it('keeps an idle connection alive with heartbeats', async () => {
    const clock = new VirtualClock();
    const release = deferred();
    const {server} = await startServer(
      {
        slow: async () => release.promise.then(() => 'done'),
        echo: async body => body,
      },
      {clock},
    );
    const pool = createPool({clock});
    const call = pool.call(server.address, 'slow', 0, {timeoutMs: 60_000});
    const other = createPool({self: 'vm-c'});
    for (let second = 0; second < 20; second++) {
      await other.call(server.address, 'echo', second, TIMEOUT);
      await clock.advance(1_000);
    }
    release.resolve();
    expect(await call).toBe('done');
  });
});

/**
 * Starts a TCP relay. `silence` stops all data on the connections that exist
 * then, without closing them.
 */
async function startRelay(
  to: PeerAddress,
): Promise<{address: PeerAddress; silence: () => void}> {
  let open: Socket[] = [];
  const relay = createServer(client => {
    const upstream = connect({host: to.host, port: to.port});
    for (const socket of [client, upstream]) {
      socket.on('error', () => {});
      closeLater(() => socket.destroy());
      open.push(socket);
    }
    client.pipe(upstream);
    upstream.pipe(client);
  });
  relay.listen(0, '127.0.0.1');
  await once(relay, 'listening');
  closeLater(() => relay.close());
  const {port} = relay.address() as {port: number};
  const silence = () => {
    for (const socket of open) socket.unpipe().pause();
    open = [];
  };
  return {address: {...to, port}, silence};
}
