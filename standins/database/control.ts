/** Implements the SQL control functions of the schema `platform`. */
import type {ConfirmResult, DatabaseStatus} from '../../src/groups/types.js';
import {formatPosition, parsePosition} from '../../src/session/position.js';
import type {GroupMember} from './member.js';
import type {OrderKind} from './order-gates.js';
import {SqlError} from './sql-error.js';
import type {ControlStatement} from './sql.js';
import {textColumns, type Result, type ResultColumn} from './result.js';

const STATUS_COLUMNS: readonly ResultColumn[] = textColumns(
  'role',
  'term',
  'fenced_term',
  'fenced_by',
  'received',
  'applied',
  'upstream_silent_ms',
);

const FENCE_COLUMNS = textColumns('result').concat(STATUS_COLUMNS);

/** Returns the result columns of a control function. */
export function describeControlColumns(
  statement: ControlStatement,
): readonly ResultColumn[] {
  switch (statement.kind) {
    case 'status':
      return STATUS_COLUMNS;
    case 'fence':
      return FENCE_COLUMNS;
    case 'promote':
      return textColumns('promote');
    case 'confirm':
      return textColumns('result', 'detail');
  }
}

/** Runs a control function, without occupying an execution slot. */
export async function runControl(
  member: GroupMember,
  statement: ControlStatement,
): Promise<Result> {
  const row = await runControlFunction(member, statement);
  return {
    columns: describeControlColumns(statement),
    rows: [row],
    tag: 'SELECT 1',
  };
}

async function runControlFunction(
  member: GroupMember,
  statement: ControlStatement,
): Promise<readonly string[]> {
  switch (statement.kind) {
    case 'status':
      return statusRow(member.status());
    case 'fence':
      return runOrder(member, statement, () => {
        const {kind} = member.fence(statement.term, statement.orderer);
        return [kind, ...statusRow(member.status())];
      });
    case 'promote':
      return runOrder(member, statement, () => {
        const {term, orderer} = statement;
        return [member.promote(term, orderer) ? 't' : 'f'];
      });
    case 'confirm': {
      const position = parsePosition(statement.position);
      if (position === undefined) {
        throw new SqlError('22023', 'a position is of the form term/offset');
      }
      const {term, timeoutMs} = statement;
      return confirmRow(await member.confirm(term, position, timeoutMs));
    }
  }
}

/**
 * Executes an order; tests may delay it before it runs or before its answer.
 */
async function runOrder(
  member: GroupMember,
  {kind, orderer}: {readonly kind: OrderKind; readonly orderer: string},
  run: () => readonly string[],
): Promise<readonly string[]> {
  await member.orders.waitUntilReleased({kind, moment: 'before', orderer});
  const row = run();
  await member.orders.waitUntilReleased({kind, moment: 'after', orderer});
  return row;
}

function confirmRow(result: ConfirmResult): readonly string[] {
  if (result.kind === 'fenced') return ['fenced', String(result.fencedTerm)];
  return [result.kind, formatPosition(result.received)];
}

function statusRow(status: DatabaseStatus): readonly string[] {
  return [
    status.role,
    String(status.term),
    String(status.fencedTerm),
    status.fencedBy,
    formatPosition(status.received),
    formatPosition(status.applied),
    String(status.upstreamSilentMs),
  ];
}
