import {once} from 'node:events';
import {connect} from 'node:net';
import {serialize} from 'pg-protocol';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {Harness, WAIT_OPTIONS} from './harness.js';
import {codesOf, rowsOf} from './wire-client.js';

const DRAIN_MS = 5_000;

describe('shutdown', () => {
  let harness: Harness;
  beforeEach(async () => {
    harness = new Harness({});
    await harness.start();
  });
  afterEach(() => harness.stop());

  it('completes running statements and open transactions first', async () => {
    const idle = await harness.connectWire();
    const busy = await harness.connectWire();
    const open = await harness.connectWire();
    for (const wire of [idle, busy, open]) await wire.logIn();
    await open.query('BEGIN');
    const answer = busy.query('SELECT pg_sleep(0.2)');
    await harness.waitForActive(2);
    const drained = harness.node.server.drain(DRAIN_MS);
    expect(codesOf(await idle.readUntil('E'))).toEqual(['57P01']);
    expect(rowsOf(await answer)).toHaveLength(1);
    expect(codesOf(await busy.readUntil('E'))).toEqual(['57P01']);
    expect(rowsOf(await open.query('SELECT 1'))).toEqual(['1']);
    expect(codesOf(await open.query('COMMIT'))).toEqual([]);
    expect(codesOf(await open.readUntil('E'))).toEqual(['57P01']);
    expect(await drained).toBe(0);
  });

  it('completes a batch that has partly arrived', async () => {
    const wire = await harness.logInWire();
    wire.send(serialize.parse({text: 'SELECT 1'}), serialize.bind());
    wire.send(serialize.query('SELECT 1').subarray(0, 3));
    await vi.waitFor(
      () => expect(wire.socket.bytesWritten).toBeGreaterThan(60),
      WAIT_OPTIONS,
    );
    wire.send(serialize.query('SELECT 1').subarray(3));
    await wire.readUntil('Z');
    const drained = harness.node.server.drain(DRAIN_MS);
    wire.send(serialize.execute(), serialize.sync());
    expect(rowsOf(await wire.readUntil('Z'))).toEqual(['1']);
    expect(await drained).toBe(0);
  });

  it('runs no statement that it reports as not run', async () => {
    const wire = await harness.logInWire();
    // The home has found its primary then, so a write would run at once.
    await wire.query("DELETE FROM claims WHERE id = 'none'");
    const drained = harness.node.server.drain(DRAIN_MS);
    wire.send(
      serialize.query(
        "INSERT INTO claims (id, team, value) VALUES ('late', 'red', 1)",
      ),
    );
    expect(codesOf(await wire.readUntil('E'))).toEqual(['57P01']);
    await drained;
    await wire.waitForClose();
    expect([...harness.primary.member.rows.rows('claims')]).toEqual([]);
  });

  it('cuts off sessions that do not end in time and counts them', async () => {
    const wire = await harness.logInWire();
    await wire.query('BEGIN');
    expect(await harness.node.server.drain(50)).toBe(1);
    await wire.waitForClose();
  });

  it('cuts off a refused caller that does not close its connection', async () => {
    const {port} = harness.node.server;
    const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    socket.on('error', () => {});
    socket.resume();
    socket.write(serialize.startup({user: 'red', database: 'nowhere'}));
    await once(socket, 'end');
    await vi.waitFor(() => {
      socket.write(Buffer.alloc(1));
      expect(socket.destroyed).toBe(true);
    }, WAIT_OPTIONS);
  });
});
