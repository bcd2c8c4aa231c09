import {once} from 'node:events';
import {connect} from 'node:net';
import {serialize} from 'pg-protocol';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {createTestTls} from './certificate.js';
import {useHarness} from './harness.js';
import {codesOf, rowsOf, typesOf} from './wire-client.js';
import {expectSqlstate} from '../fakes/failures.js';

const STARTUP_TIMEOUT_MS = 10_000;
const PROTOCOL_3_2 = 0x00030002;

/** Builds a start-up packet for the given protocol version. */
function buildStartup(version: number, params: Record<string, string>): Buffer {
  const text = Object.entries(params).flat().join('\0');
  const body = Buffer.concat([Buffer.alloc(8), Buffer.from(`${text}\0\0`)]);
  body.writeInt32BE(body.length, 0);
  body.writeInt32BE(version, 4);
  return body;
}

describe('start-up', () => {
  const harness = useHarness({tls: createTestTls(), maxCallers: 20});
  afterEach(() => vi.useRealTimers());

  it('refuses an unknown route', async () => {
    await expect(harness.connect({database: 'nowhere'})).rejects.toMatchObject({
      code: '3D000',
      severity: 'FATAL',
    });
  });

  it.each(['wrong', ''])('refuses the key "%s"', async password => {
    const wire = await harness.connectWire();
    const frames = await wire.logIn({key: password});
    expect(codesOf(frames)).toEqual(['28P01']);
    await wire.waitForClose();
  });

  it("refuses another team's key", async () => {
    await expectSqlstate(
      harness.connect({team: 'red', password: 'key-of-blue'}),
      '28P01',
    );
  });

  it('requires no key on an open route', async () => {
    harness.access.open = true;
    const client = await harness.connect({password: undefined});
    expect((await client.query('SELECT 1')).rowCount).toBe(1);
  });

  it('shows no database the key of a caller', async () => {
    const client = await harness.connect();
    await client.query('SELECT 1');
    for (const {adminPort} of harness.databases) {
      const res = await fetch(`http://127.0.0.1:${adminPort}/seen`);
      expect(await res.text()).not.toContain('key-of');
    }
  });

  it('closes an idle session at once when its key is withdrawn', async () => {
    const wire = await harness.logInWire();
    const other = await harness.connect({team: 'blue'});
    harness.access.withdraw('red');
    harness.node.server.closeRevoked(authority =>
      harness.access.recheck(authority),
    );
    expect(codesOf(await wire.readUntil('E'))).toEqual(['28P01']);
    await wire.waitForClose();
    expect((await other.query('SELECT 1')).rowCount).toBe(1);
  });

  it('runs no statement for a withdrawn key', async () => {
    const client = await harness.connect();
    harness.access.withdraw('red');
    await expectSqlstate(client.query('SELECT 1'), '28P01');
  });

  it('upgrades to TLS on request', async () => {
    const client = await harness.connect({ssl: {rejectUnauthorized: false}});
    const {connection} = client as unknown as {
      connection: {stream: {encrypted?: boolean}};
    };
    expect(connection.stream.encrypted).toBe(true);
    const {rows} = await client.query('SELECT generate_series(1, 20000)');
    expect(rows).toHaveLength(20_000);
  });

  it('negotiates protocol 3.2 and unknown options down to 3.0', async () => {
    harness.access.open = true;
    const wire = await harness.connectWire();
    wire.send(
      buildStartup(PROTOCOL_3_2, {
        user: 'red',
        database: 'claims',
        '_pq_.extra': '1',
      }),
    );
    const frames = await wire.readUntil('Z');
    const [negotiate] = frames;
    expect(negotiate?.type).toBe('v');
    expect(negotiate?.bytes.readInt32BE(5)).toBe(0);
    expect(negotiate?.bytes.toString()).toContain('_pq_.extra');
    expect(rowsOf(await wire.query('SELECT 1'))).toEqual(['1']);
  });

  it('refuses protocol 2', async () => {
    const wire = await harness.connectWire();
    wire.send(buildStartup(0x00020000, {user: 'red'}));
    expect(codesOf(await wire.readUntil('E'))).toEqual(['08P01']);
    await wire.waitForClose();
  });

  it('disconnects a caller that does not finish its start-up', async () => {
    vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
    const socket = connect(harness.node.server.port, '127.0.0.1');
    socket.on('error', () => {});
    let closed = false;
    socket.on('close', () => (closed = true));
    socket.write(serialize.startup({user: 'red', database: 'claims'}));
    await once(socket, 'data');
    await vi.advanceTimersByTimeAsync(STARTUP_TIMEOUT_MS - 1);
    expect(closed).toBe(false);
    await vi.advanceTimersByTimeAsync(1);
    if (!closed) await once(socket, 'close');
  });

  it('refuses callers above its limit with a time to retry after', async () => {
    const wires = await Promise.all(
      Array.from({length: 20}, () => harness.connectWire()),
    );
    for (const wire of wires) await wire.logIn();
    await expect(harness.connect()).rejects.toMatchObject({
      code: '53300',
      detail: expect.stringMatching(/retry_after_ms=\d+/),
    });
    expect(typesOf(await wires[0]!.query('SELECT 1'))).toBe('TDCZ');
  });
});
