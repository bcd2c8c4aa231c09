import {Writable} from 'node:stream';
import {expect, it} from 'vitest';
import {lineWriter} from '../../src/telemetry/log-output.js';

it('drops lines once the reader of the log has gone', async () => {
  const written: string[] = [];
  const stream = new Writable({
    decodeStrings: false,
    write: (line: string, _, done) => {
      written.push(line);
      done(written.length > 1 ? new Error('write EPIPE') : null);
    },
  });
  const write = lineWriter(stream);
  for (const line of ['first\n', 'second\n', 'third\n']) {
    write(line);
    await new Promise(resolve => setImmediate(resolve));
  }
  expect(written).toEqual(['first\n', 'second\n']);
});
