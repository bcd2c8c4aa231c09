/** The platform's control functions as SQL results. */
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

/** The columns of a control function's result. */
export function controlColumns(
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

/** Runs a control function; it occupies no execution slot. */
export async function runControl(
  member: GroupMember,
  statement: ControlStatement,
): Promise<Result> {
  const row = await controlRow(member, statement);
  return {columns: controlColumns(statement), rows: [row], tag: 'SELECT 1'};
}

async function controlRow(
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

/** Carries an order out, between the gates that may hold it. */
async function runOrder(
  member: GroupMember,
  {kind, orderer}: {readonly kind: OrderKind; readonly orderer: string},
  run: () => readonly string[],
): Promise<readonly string[]> {
  await member.orders.pass({kind, moment: 'before', orderer});
  const row = run();
  await member.orders.pass({kind, moment: 'after', orderer});
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
