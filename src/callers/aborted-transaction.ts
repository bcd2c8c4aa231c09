/**
 * Responses in a transaction that the proxy has rolled back before the caller
 * ended it, since its database or home was lost or a statement was refused.
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
  emptyParameterDescription,
  parseComplete,
  type ErrorFields,
} from './messages.js';

/** Error of each statement between the failure and the caller's ROLLBACK. */
export const TRANSACTION_ABORTED: ErrorFields = {
  severity: 'ERROR',
  sqlstate: '25P02',
  message:
    'current transaction is aborted, commands ignored until end of transaction block',
  hint: 'The transaction was rolled back; end it by ROLLBACK and begin it again.',
};

const DESCRIBE_STATEMENT = 'S'.charCodeAt(0);

/** True if all statements of a batch are COMMIT or ROLLBACK without CHAIN. */
export function onlyEndsTransaction({statements}: Classification): boolean {
  return (
    statements.length > 0 &&
    statements.every(
      statement =>
        (statement.kind === 'commit' || statement.kind === 'rollback') &&
        !statement.chain,
    )
  );
}

/** True if a batch starts with ROLLBACK and has further statements. */
export function continuesAfterRollback({statements}: Classification): boolean {
  const [first] = statements;
  const isRollback = first?.kind === 'rollback' && !first.chain;
  return isRollback && statements.length > 1;
}

/**
 * Responses to frames that end a transaction already rolled back. COMMIT is
 * completed as ROLLBACK, as in PostgreSQL.
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
      const isStatement = bytes[FRAME_HEADER_BYTES] === DESCRIBE_STATEMENT;
      return isStatement ? [emptyParameterDescription(), noData()] : [noData()];
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
