/** Splits a streamed response into lines. */

const MAX_LINE_LENGTH = 16 * 1024 * 1024;

/** Yields each non-empty line of a byte stream, without its newline. */
export async function* readLines(
  chunks: AsyncIterable<Uint8Array>,
): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let pending = '';
  for await (const chunk of chunks) {
    pending += decoder.decode(chunk, {stream: true});
    if (pending.length > MAX_LINE_LENGTH) {
      throw new Error('a line of the answer is too long');
    }
    const lines = pending.split('\n');
    pending = lines.pop() ?? '';
    yield* lines.filter(line => line !== '');
  }
}
