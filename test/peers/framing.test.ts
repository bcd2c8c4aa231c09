import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  encodeFrame,
  FrameDecoder,
  FrameError,
} from '../../src/peers/framing.js';

function frameErrorKindOf(run: () => unknown): string | undefined {
  try {
    run();
  } catch (err) {
    if (err instanceof FrameError) return err.kind;
    throw err;
  }
  return undefined;
}

describe('framing', () => {
  it('decodes the same values however the stream is split into chunks', () => {
    // cbor-x decodes this key under another name; no message uses it.
    const key = fc.string({minLength: 1}).filter(text => text !== '__proto__');
    const value = fc.oneof(
      fc.string(),
      fc.integer(),
      fc.dictionary(key, fc.array(fc.nat())),
      fc.uint8Array(),
    );
    fc.assert(
      fc.property(
        fc.array(value, {minLength: 1, maxLength: 8}),
        fc.infiniteStream(fc.integer({min: 1, max: 40})),
        (values, chunkSizes) => {
          const stream = Buffer.concat(values.map(v => encodeFrame(v)));
          const decoder = new FrameDecoder();
          const decoded: unknown[] = [];
          for (let at = 0; at < stream.length;) {
            const size = chunkSizes.next().value as number;
            for (const frame of decoder.push(stream.subarray(at, at + size))) {
              decoded.push(frame.value);
            }
            at += size;
          }
          decoder.end();
          const plain = (v: unknown) =>
            v instanceof Uint8Array ? [...v] : {...Object(v)};
          expect(decoded.map(plain)).toEqual(values.map(plain));
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });

  it('rejects an oversized frame from its length alone', () => {
    const decoder = new FrameDecoder(10);
    const head = Buffer.from([0, 0, 0, 11]);
    expect(frameErrorKindOf(() => [...decoder.push(head)])).toBe('oversized');
    expect(frameErrorKindOf(() => encodeFrame('x'.repeat(20), 10))).toBe(
      'oversized',
    );
  });

  it('distinguishes truncated from undecodable frames', () => {
    const truncated = new FrameDecoder();
    expect([...truncated.push(encodeFrame('hello').subarray(0, 6))]).toEqual(
      [],
    );
    expect(frameErrorKindOf(() => truncated.end())).toBe('truncated');
    const bad = Buffer.from([0, 0, 0, 2, 0xff, 0xff]);
    expect(frameErrorKindOf(() => [...new FrameDecoder().push(bad)])).toBe(
      'undecodable',
    );
  });
});
