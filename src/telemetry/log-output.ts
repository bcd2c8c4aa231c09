/** Writes log lines to a stream whose reader may go away. */
import type {Writable} from 'node:stream';

/**
 * Returns a function that writes lines to `stream`. Once the stream fails, as a
 * pipe does whose reader has ended, it drops them: an unhandled error of a
 * stream ends the process.
 *
 * @example
 * const write = lineWriter(process.stdout);
 * write('level=info event=nodeStarted\n');
 */
export function lineWriter(stream: Writable): (line: string) => void {
  let hasFailed = false;
  stream.on('error', () => (hasFailed = true));
  return line => {
    if (!hasFailed) stream.write(line);
  };
}
