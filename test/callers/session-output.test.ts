import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {SessionOutput} from '../../src/callers/session-output.js';

const PART = Buffer.alloc(100_000);

describe('session output', () => {
  it('waits for a caller that reads slowly', async () => {
    const socket = new PassThrough({highWaterMark: 1});
    const output = new SessionOutput(socket);
    let passed = false;
    const passing = output
      .addWithBackpressure(PART)
      .then(() => (passed = true));
    await new Promise(resolve => setImmediate(resolve));
    expect(passed).toBe(false);
    socket.resume();
    await passing;
  });

  it('stops waiting when the caller disconnects', async () => {
    const socket = new PassThrough({highWaterMark: 1});
    const output = new SessionOutput(socket);
    const passing = output.addWithBackpressure(PART);
    socket.destroy();
    await passing;
    await output.addWithBackpressure(PART);
  });

  it('joins small messages into one write', () => {
    const socket = new PassThrough();
    const output = new SessionOutput(socket);
    output.add(Buffer.from('a'));
    output.add(Buffer.from('b'));
    expect(socket.readableLength).toBe(0);
    output.flush();
    expect(String(socket.read())).toBe('ab');
  });
});
