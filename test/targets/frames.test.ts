import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  buildFrame,
  cString,
  FrameError,
  FrameReader,
  int32,
  readErrorFields,
} from '../../src/targets/frames.js';
import {expectFailure} from '../fakes/failures.js';

const MAX_FRAME_BYTES = 64;

async function* chunksOf(chunks: readonly Uint8Array[]) {
  yield* chunks;
}

/** Splits `bytes` at the given offsets, which may be in any order. */
function splitAt(bytes: Uint8Array, offsets: readonly number[]): Uint8Array[] {
  const ends = [...offsets.map(offset => offset % (bytes.length + 1))];
  ends.sort((a, b) => a - b);
  return [...ends, bytes.length].map((end, index) =>
    bytes.subarray(ends[index - 1] ?? 0, end),
  );
}

describe('frame reader', () => {
  it('returns the same frames wherever the stream is split into chunks', async () => {
    const frame = fc
      .record({
        type: fc.constantFrom('Q', 'D', 'Z'),
        body: fc.uint8Array({maxLength: MAX_FRAME_BYTES - 5}),
      })
      .map(({type, body}) => buildFrame(type, body));
    await fc.assert(
      fc.asyncProperty(
        fc.array(frame),
        fc.array(fc.nat()),
        async (frames, offsets) => {
          const chunks = splitAt(Buffer.concat(frames), offsets);
          const reader = new FrameReader(chunksOf(chunks), MAX_FRAME_BYTES);
          const read: Buffer[] = [];
          for await (const {bytes} of reader) read.push(bytes);
          expect(read).toEqual(frames);
        },
      ),
    );
  });

  it('reads random bytes as whole frames or fails with a FrameError', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.uint8Array({maxLength: 300}),
        fc.array(fc.nat()),
        async (bytes, offsets) => {
          const reader = new FrameReader(
            chunksOf(splitAt(bytes, offsets)),
            MAX_FRAME_BYTES,
          );
          let consumed = 0;
          try {
            for await (const frame of reader) {
              expect(frame.bytes.length).toBeLessThanOrEqual(MAX_FRAME_BYTES);
              expect(frame.bytes.readInt32BE(1)).toBe(frame.bytes.length - 1);
              consumed += frame.bytes.length;
            }
            expect(consumed).toBe(bytes.length);
          } catch (err) {
            expect(err).toBeInstanceOf(FrameError);
            expect(consumed).toBeLessThan(bytes.length);
          }
        },
      ),
    );
  });

  it('refuses an oversized frame by its header alone', async () => {
    const header = buildFrame('D', Buffer.alloc(MAX_FRAME_BYTES)).subarray(
      0,
      5,
    );
    const reader = new FrameReader(chunksOf([header]), MAX_FRAME_BYTES);
    await expectFailure(reader.next(), 'oversized');
  });

  it('distinguishes a truncated frame from the end of the stream', async () => {
    const frame = buildFrame('D', Buffer.alloc(8));
    const whole = new FrameReader(chunksOf([frame]));
    expect((await whole.next())?.type).toBe('D');
    expect(await whole.next()).toBeUndefined();
    const part = new FrameReader(chunksOf([frame.subarray(0, 9)]));
    await expectFailure(part.next(), 'truncated');
  });

  it('reads untyped start-up frames before typed ones', async () => {
    const startup = Buffer.concat([int32(8), int32(80877103)]);
    const reader = new FrameReader(
      chunksOf([Buffer.concat([startup, buildFrame('X')])]),
    );
    expect((await reader.nextUntyped())?.bytes).toEqual(startup);
    expect((await reader.next())?.type).toBe('X');
  });

  it('reads the fields of an error', () => {
    const fields = ['SERROR', 'C23505', 'Mduplicate', 'Hsend it once'];
    const frame = buildFrame('E', ...fields.map(cString), Buffer.alloc(1));
    expect(readErrorFields(frame)).toEqual({
      severity: 'ERROR',
      code: '23505',
      message: 'duplicate',
      detail: undefined,
      hint: 'send it once',
    });
  });
});
