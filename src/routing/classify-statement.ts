/** Classifies one parsed statement. */
import {
  calledFunctions,
  constantsText,
  hasNode,
  isReadQuery,
  usesTemporaryRelation,
} from './read-rules.js';
import {unsupported, type Statement} from './statement.js';
import {childOf, isTree, listOf, textOf, type Tree} from './syntax.js';

/** Prefix of the session parameters that the proxy itself defines. */
export const PROXY_PARAMETER_PREFIX = 'zinnia.';

/**
 * Session parameters that the proxy stores per session and sets on each
 * connection that the session uses.
 */
const SESSION_PARAMETERS: ReadonlySet<string> = new Set([
  'application_name',
  'client_encoding',
  'client_min_messages',
  'datestyle',
  'extra_float_digits',
  'intervalstyle',
  'standard_conforming_strings',
  'timezone',
]);

/**
 * Statements refused because they would bind a session to one connection, with
 * the error message for each.
 */
const UNSUPPORTED_NODES: ReadonlyMap<string, string> = new Map([
  ['CopyStmt', 'COPY is not supported; use INSERT or a direct connection'],
  ['ListenStmt', 'LISTEN is not supported; use a direct connection'],
  ['NotifyStmt', 'NOTIFY is not supported; use a direct connection'],
  ['UnlistenStmt', 'UNLISTEN is not supported; use a direct connection'],
  ['PrepareStmt', 'PREPARE is not supported; use protocol-level statements'],
  ['ExecuteStmt', 'EXECUTE is not supported; use protocol-level statements'],
  ['DeallocateStmt', 'DEALLOCATE is not supported; use protocol-level Close'],
  ['DiscardStmt', 'DISCARD is not supported; open a new session'],
  ['LoadStmt', 'LOAD is not supported; use a direct connection'],
]);

const TEMPORARY_MESSAGE =
  'temporary relations are not supported; use an ordinary table';
const HELD_CURSOR_MESSAGE =
  'cursors WITH HOLD are not supported; fetch inside the transaction';
const TWO_PHASE_MESSAGE =
  'two-phase commit is not supported; use a direct connection';
const ADVISORY_LOCK_MESSAGE =
  'session advisory locks are not supported; use pg_advisory_xact_lock';
const SET_CONFIG_MESSAGE =
  'set_config is not supported; use SET LOCAL inside the transaction';

/** The bit of DeclareCursorStmt.options that means WITH HOLD. */
const CURSOR_WITH_HOLD_BIT = 0x20;

/** Classifies one statement, given as its parse tree: `{SelectStmt: {...}}`. */
export function classifyStatement(statement: Tree): Statement {
  const [type = ''] = Object.keys(statement);
  const body = childOf(statement, type);
  if (type === 'TransactionStmt') return classifyTransaction(body);
  if (type === 'VariableSetStmt') return classifySet(body);
  if (type === 'VariableShowStmt') return classifyShow(body);
  const message = unsupportedMessage(statement);
  if (message !== undefined) return unsupported(message);
  if (type === 'ExplainStmt') return readOrWrite(body['query']);
  return readOrWrite(statement);
}

function readOrWrite(query: unknown): Statement {
  return isReadQuery(query) ? {kind: 'read'} : {kind: 'write'};
}

function unsupportedMessage(statement: Tree): string | undefined {
  for (const [type, message] of UNSUPPORTED_NODES) {
    if (hasNode(statement, new Set([type]))) return message;
  }
  if (usesTemporaryRelation(statement)) return TEMPORARY_MESSAGE;
  const cursor = statement['DeclareCursorStmt'];
  if (isTree(cursor) && isHeldCursor(cursor)) return HELD_CURSOR_MESSAGE;
  const functions = calledFunctions(statement);
  if (functions.some(isSessionLock)) return ADVISORY_LOCK_MESSAGE;
  if (functions.includes('set_config')) return SET_CONFIG_MESSAGE;
  return undefined;
}

function isHeldCursor(cursor: Tree): boolean {
  return (Number(cursor['options'] ?? 0) & CURSOR_WITH_HOLD_BIT) !== 0;
}

function isSessionLock(name: string): boolean {
  return /^pg_(try_)?advisory_/.test(name) && !name.includes('_xact_');
}

function classifyTransaction(body: Tree): Statement {
  const chain = body['chain'] === true;
  switch (body['kind']) {
    case 'TRANS_STMT_BEGIN':
    case 'TRANS_STMT_START':
      return {kind: 'begin', readOnly: opensReadOnly(body)};
    case 'TRANS_STMT_COMMIT':
      return {kind: 'commit', chain};
    case 'TRANS_STMT_ROLLBACK':
      return {kind: 'rollback', chain};
    case 'TRANS_STMT_SAVEPOINT':
    case 'TRANS_STMT_RELEASE':
    case 'TRANS_STMT_ROLLBACK_TO':
      return {kind: 'savepoint'};
    default:
      return unsupported(TWO_PHASE_MESSAGE);
  }
}

/** Whether a transaction is read-only; the last mode wins, as in PostgreSQL. */
function opensReadOnly(body: Tree): boolean {
  const modes = listOf(body, 'options')
    .map(option => (isTree(option) ? childOf(option, 'DefElem') : {}))
    .filter(option => textOf(option, 'defname') === 'transaction_read_only');
  const last = modes.at(-1);
  if (last === undefined) return false;
  return constantsText([last['arg']]) === '1';
}

function classifySet(body: Tree): Statement {
  const name = textOf(body, 'name').toLowerCase();
  const kind = textOf(body, 'kind');
  if (kind === 'VAR_RESET_ALL') {
    return unsupported('RESET ALL is not supported; reset each by its name');
  }
  const isProxyParameter = name.startsWith(PROXY_PARAMETER_PREFIX);
  if (body['is_local'] === true) {
    if (isProxyParameter)
      return unsupported(`SET LOCAL ${name} is not supported; use SET`);
    return {kind: 'write'};
  }
  if (kind === 'VAR_SET_MULTI' && name === 'transaction') {
    return {kind: 'write'};
  }
  if (!isProxyParameter && !SESSION_PARAMETERS.has(name)) {
    return unsupported(
      `SET ${name} is not supported; use SET LOCAL inside a transaction`,
    );
  }
  if (kind !== 'VAR_SET_VALUE') return {kind: 'set', name, value: undefined};
  const value = constantsText(listOf(body, 'args'));
  if (value === undefined) {
    return unsupported(`SET ${name} takes a plain constant here`);
  }
  return {kind: 'set', name, value};
}

function classifyShow(body: Tree): Statement {
  const name = textOf(body, 'name').toLowerCase();
  const isSessionParameter = SESSION_PARAMETERS.has(name);
  if (isSessionParameter || name.startsWith(PROXY_PARAMETER_PREFIX)) {
    return {kind: 'show', name};
  }
  return {kind: 'read'};
}
