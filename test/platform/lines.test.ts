import {once} from 'node:events';
import {
  connect,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import fc from 'fast-check';
import {afterEach, describe, expect, it} from 'vitest';
import {LineError, LineReader, LineSplitter} from '../../platform/lines.js';

/** Maximum length of a message, by the protocol. */
const MAX_LINE_BYTES = 1024 * 1024;

const open: (Server | Socket)[] = [];
afterEach(() => {
  for (const each of open.splice(0)) {
    if ('destroy' in each) each.destroy();
    else each.close();
  }
});

/** Returns a reader, and the socket whose bytes it reads. */
async function connectReader() {
  const server = createServer();
  open.push(server);
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  const sender = connect({port, host: '127.0.0.1', noDelay: true});
  open.push(sender);
  const [socket] = (await once(server, 'connection')) as [Socket];
  open.push(socket);
  return {reader: new LineReader(socket), sender};
}

/** Splits `bytes` at the given offsets. */
function cut(bytes: string, offsets: readonly number[]): readonly string[] {
  const ends = [...offsets].sort((a, b) => a - b);
  return [...ends, bytes.length].map((end, n) =>
    bytes.slice(n === 0 ? 0 : ends[n - 1], end),
  );
}

/** Returns what a reader makes of these segments, each read on its own. */
function readSegments(segments: readonly string[]): readonly string[] {
  const lines: string[] = [];
  const splitter = new LineSplitter();
  for (const segment of segments) splitter.add(segment, l => lines.push(l));
  return lines;
}

describe('the reader of lines', () => {
  // A line feed in the data of a WRITE ran the rest of it as a statement.
  it('ends a line at CR LF only, wherever the bytes are cut', () => {
    const field = fc.string({
      unit: fc.constantFrom('a', ' ', '\r', '\n', '\u00e9'),
      maxLength: 12,
    });
    const line = field.filter(
      text => !`${text}\r\n`.slice(0, -1).includes('\r\n'),
    );
    fc.assert(
      fc.property(
        fc.array(line, {maxLength: 6}),
        fc.array(fc.nat(100), {maxLength: 20}),
        (lines, offsets) => {
          const bytes = lines.map(each => `${each}\r\n`).join('');
          const at = offsets.map(n => Math.min(n, bytes.length));
          expect(readSegments(cut(bytes, at))).toEqual(lines);
        },
      ),
      {numRuns: 2_000, seed: 38},
    );
  });

  it('keeps a line feed and a carriage return that stand alone, at each cut', () => {
    const lines = [
      'QUERY w1 WRITE a x\nQUERY w9 WRITE b y',
      'a\rb\r',
      '\n',
      '',
    ];
    const bytes = lines.map(each => `${each}\r\n`).join('');
    for (let at = 0; at <= bytes.length; at++) {
      expect(readSegments(cut(bytes, [at])), `cut at ${at}`).toEqual(lines);
    }
    expect(readSegments([...bytes])).toEqual(lines);
  });

  it('returns no line that the end of the stream cut off', async () => {
    for (const end of ['DONE sig', 'DONE sig\r', 'DONE sig\n']) {
      const {reader, sender} = await connectReader();
      sender.end(`ROW x\r\n${end}`);
      expect(await reader.next()).toBe('ROW x');
      expect(await reader.next(), JSON.stringify(end)).toBeUndefined();
    }
  });

  it('returns the lines before one that is too long, then fails', async () => {
    const {reader, sender} = await connectReader();
    sender.write(`first\r\n${'x'.repeat(MAX_LINE_BYTES)}\r\nthird\r\n`);
    expect(await reader.next()).toBe('first');
    expect((await reader.next())?.length).toBe(MAX_LINE_BYTES);
    expect(await reader.next()).toBe('third');
    sender.write(`fourth\r\n${'x'.repeat(MAX_LINE_BYTES + 1)}\r\n`);
    expect(await reader.next()).toBe('fourth');
    await expect(reader.next()).rejects.toThrow(LineError);
  });

  it('reports what was read of the next line', async () => {
    const {reader, sender} = await connectReader();
    expect(reader.isBetweenLines).toBe(true);
    sender.write('whole\r\npar');
    expect(await reader.next()).toBe('whole');
    expect(reader.isBetweenLines).toBe(false);
    sender.write('t\r\n');
    expect(await reader.next()).toBe('part');
    expect(reader.isBetweenLines).toBe(true);
  });
});
