import {describe, expect, it} from 'vitest';
import {CALL_WINDOW_BYTES} from '../../src/peers/running-call.js';
import {createPool, deferred, startServer} from './fixture.js';

const PART_BYTES = 16 * 1024;
const PARTS = 64;

describe('streamed answers', () => {
  it('delivers every part in order, then the result', async () => {
    const {server} = await startServer({
      count: async (_, ctx) => {
        for (let n = 0; n < 1_000; n++) await ctx.send(n);
        return 'end';
      },
    });
    const parts: unknown[] = [];
    const result = await createPool().call(server.address, 'count', 0, {
      timeoutMs: 5_000,
      onPart: part => void parts.push(part),
    });
    expect(result).toBe('end');
    expect(parts).toEqual(Array.from({length: 1_000}, (_, n) => n));
  });

  it('pauses a stream for a slow reader without stalling other calls', async () => {
    let sentParts = 0;
    const {server} = await startServer({
      flood: async (_, ctx) => {
        for (; sentParts < PARTS; sentParts++) {
          await ctx.send(new Uint8Array(PART_BYTES));
        }
      },
      echo: async body => body,
    });
    const pool = createPool();
    const resumeReading = deferred();
    const firstPart = deferred();
    let received = 0;
    const flood = pool.call(server.address, 'flood', 0, {
      timeoutMs: 10_000,
      onPart: async () => {
        received++;
        firstPart.resolve();
        await resumeReading.promise;
      },
    });
    await firstPart.promise;
    for (let n = 0; n < 50; n++) {
      const answer = pool.call(server.address, 'echo', n, {timeoutMs: 5_000});
      expect(await answer).toBe(n);
    }
    expect(sentParts * PART_BYTES).toBeLessThanOrEqual(CALL_WINDOW_BYTES);
    resumeReading.resolve();
    await flood;
    expect(received).toBe(PARTS);
  });

  it('aborts the call when the callback for a part throws', async () => {
    const aborted = deferred();
    const {server} = await startServer({
      flood: async (_, ctx) => {
        ctx.signal.addEventListener('abort', () => aborted.resolve());
        for (;;) await ctx.send(new Uint8Array(PART_BYTES));
      },
    });
    const call = createPool().call(server.address, 'flood', 0, {
      timeoutMs: 5_000,
      onPart: () => {
        throw new Error('disk full');
      },
    });
    await expect(call).rejects.toThrow('disk full');
    await aborted.promise;
  });
});
