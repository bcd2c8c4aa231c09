/** Sends the rows of a result with backpressure. */
import type {AnswerWriter} from './answer-writer.js';
import {commandComplete, dataRow} from './messages.js';
import type {Result} from './result.js';

/** Sends all rows of a result and its command tag. */
export async function sendResult(
  writer: AnswerWriter,
  result: Result,
): Promise<void> {
  for (const row of result.rows ?? []) {
    writer.write(dataRow(row));
    await writer.flushIfLarge();
  }
  writer.write(commandComplete(result.tag));
}

/** Sends at most `limit` rows; returns true if there are no more. */
export async function sendRows(
  writer: AnswerWriter,
  rows: Iterator<readonly string[]>,
  limit: number,
): Promise<boolean> {
  for (let count = 0; count < limit; count++) {
    const next = rows.next();
    if (next.done) return true;
    writer.write(dataRow(next.value));
    await writer.flushIfLarge();
  }
  return false;
}
