/**
 * Answers for a transaction that ended before its caller ended it: because its
 * database or home was lost, or because the proxy refused a statement in it.
 */
import type {Classification} from '../routing/statement.js';
import {
  FRAME_HEADER_BYTES,
  splitFrames,
  type Frame,
} from '../targets/frames.js';
import {
  bindComplete,
  closeComplete,
  commandComplete,
  noData,
  noParameters,
  parseComplete,
  type ErrorFields,
} from './messages.js';

/** What a statement gets between the failure and the caller's ROLLBACK. */
export const TRANSACTION_ABORTED: ErrorFields = {
  severity: 'ERROR',
  sqlstate: '25P02',
  message:
    'current transaction is aborted, commands ignored until end of transaction block',
  hint: 'The transaction was rolled back; end it by ROLLBACK and begin it again.',
};

const STATEMENT_KIND = 'S'.charCodeAt(0);

/** Whether a batch does nothing but end the transaction. */
export function isEnd({statements}: Classification): boolean {
  return (
    statements.length > 0 &&
    statements.every(
      statement =>
        (statement.kind === 'commit' || statement.kind === 'rollback') &&
        !statement.chain,
    )
  );
}

/** Whether a batch ends the transaction by ROLLBACK and goes on to other work. */
export function isRestart({statements}: Classification): boolean {
  const [first] = statements;
  const isRollback = first?.kind === 'rollback' && !first.chain;
  return isRollback && statements.length > 1;
}

/**
 * The answer to frames that end a transaction which is rolled back already:
 * COMMIT ends as ROLLBACK, as in PostgreSQL.
 *
 * @example
 * socket.write(rollbackAnswer(serialize.query('COMMIT')));
 */
export function rollbackAnswer(frames: Uint8Array): Buffer {
  return Buffer.concat([...splitFrames(frames)].flatMap(answerTo));
}

function answerTo({type, bytes}: Frame): readonly Buffer[] {
  switch (type) {
    case 'P':
      return [parseComplete()];
    case 'B':
      return [bindComplete()];
    case 'D': {
      const isStatement = bytes[FRAME_HEADER_BYTES] === STATEMENT_KIND;
      return isStatement ? [noParameters(), noData()] : [noData()];
    }
    case 'C':
      return [closeComplete()];
    case 'E':
    case 'Q':
      return [commandComplete('ROLLBACK')];
    default:
      return [];
  }
}
