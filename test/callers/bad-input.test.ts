import fc from 'fast-check';
import {serialize} from 'pg-protocol';
import {beforeAll, describe, expect, it} from 'vitest';
import {useHarness, type TestClient} from './harness.js';
import {codesOf} from './wire-client.js';

const SEED = 20_261_203;
const RUNS = 150;
const OVERSIZED_BYTES = 0x7fffffff;

/** Builds a message whose length field may not match its body. */
function buildMessage(type: number, length: number, body: Uint8Array): Buffer {
  const header = Buffer.alloc(5);
  header.writeUInt8(type, 0);
  header.writeInt32BE(length, 1);
  return Buffer.concat([header, body]);
}

const body = fc.uint8Array({maxLength: 200});
const knownType = fc
  .constantFrom(...'QPBDECSHFXpdcf')
  .map(type => type.charCodeAt(0));
const validMessage = fc
  .tuple(fc.oneof(knownType, fc.integer({min: 0, max: 255})), body)
  .map(([type, bytes]) => buildMessage(type, bytes.length + 4, bytes));
const wrongLengthMessage = fc
  .tuple(knownType, fc.integer(), body)
  .map(([type, length, bytes]) => buildMessage(type, length, bytes));
const truncatedMessage = fc
  .tuple(validMessage, fc.nat())
  .map(([bytes, cut]) => bytes.subarray(0, cut % bytes.length));
const input = fc.array(
  fc.oneof(validMessage, wrongLengthMessage, truncatedMessage, body),
  {
    minLength: 1,
    maxLength: 4,
  },
);

describe('bad input', () => {
  const harness = useHarness();
  let otherClient: TestClient;
  beforeAll(async () => {
    await harness.connect().then(client => client.query('SELECT 1'));
  });

  /** Sends bytes and waits until the server has closed the connection. */
  async function send(parts: readonly Uint8Array[], login: boolean) {
    const wire = await harness.connectWire();
    if (login) await wire.logIn();
    wire.send(...parts.map(part => Buffer.from(part)));
    wire.socket.end();
    await wire.waitForClose();
  }

  it.each([
    ['before the login', false],
    ['after the login', true],
  ])('survives random messages %s', async (_, login) => {
    otherClient = await harness.connect({team: 'blue'});
    await fc.assert(
      fc.asyncProperty(input, async parts => {
        await send(parts, login);
        expect((await otherClient.query('SELECT 1')).rowCount).toBe(1);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });

  it('refuses an oversized message by its header alone', async () => {
    const wire = await harness.logInWire();
    wire.send(
      buildMessage('Q'.charCodeAt(0), OVERSIZED_BYTES, Buffer.alloc(10)),
    );
    expect(codesOf(await wire.readUntil('E'))).toEqual(['08P01']);
    await wire.waitForClose();
  });

  it('refuses an oversized start-up packet', async () => {
    const wire = await harness.connectWire();
    const packet = Buffer.alloc(8);
    packet.writeInt32BE(OVERSIZED_BYTES, 0);
    wire.send(packet);
    expect(codesOf(await wire.readUntil('E'))).toEqual(['08P01']);
    await wire.waitForClose();
  });

  it('refuses an oversized password', async () => {
    const wire = await harness.connectWire();
    wire.send(serialize.startup({user: 'red', database: 'claims'}));
    await wire.readUntil('R');
    wire.send(serialize.password('x'.repeat(100_000)));
    expect(codesOf(await wire.readUntil('E'))).toEqual(['08P01']);
    await wire.waitForClose();
  });

  it('rolls back for a caller that disconnects within a message', async () => {
    const wire = await harness.logInWire();
    await wire.query('BEGIN');
    wire.send(serialize.query('COMMIT').subarray(0, 7));
    wire.socket.end();
    await wire.waitForClose();
    expect(harness.node.homes.active).toBe(0);
  });
});
