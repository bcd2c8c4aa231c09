/**
 * Decides whether a query is certain to be read-only.
 *
 * It uses allowlists, so that syntax added by a newer parser counts as a write
 * until it is listed here.
 */
import {
  isTree,
  listOf,
  namePartsOf,
  someKey,
  textOf,
  type Tree,
} from './syntax.js';

/** Parse tree node types that a read may contain. */
const READ_NODES: ReadonlySet<string> = new Set([
  'A_ArrayExpr',
  'A_Const',
  'A_Expr',
  'A_Indices',
  'A_Indirection',
  'A_Star',
  'BooleanTest',
  'BoolExpr',
  'CaseExpr',
  'CaseWhen',
  'CoalesceExpr',
  'CollateClause',
  'ColumnRef',
  'CommonTableExpr',
  'Float',
  'FuncCall',
  'GroupingFunc',
  'GroupingSet',
  'Integer',
  'JoinExpr',
  'List',
  'MinMaxExpr',
  'NamedArgExpr',
  'NullTest',
  'ParamRef',
  'RangeFunction',
  'RangeSubselect',
  'RangeVar',
  'ResTarget',
  'RowExpr',
  'SelectStmt',
  'SortBy',
  'SQLValueFunction',
  'String',
  'SubLink',
  'TypeCast',
  'TypeName',
  'WindowDef',
]);

/** Parts of a SELECT that lock rows or create a table. */
const WRITING_KEYS: ReadonlySet<string> = new Set([
  'intoClause',
  'lockingClause',
]);

/** Functions of `pg_catalog` without side effects. */
const READ_FUNCTIONS: ReadonlySet<string> = new Set(
  `abs age array_agg array_length array_to_string avg bit_and bit_or bool_and
  bool_or btrim ceil ceiling char_length character_length clock_timestamp concat concat_ws count
  cume_dist current_database current_schema date date_part date_trunc
  dense_rank every exp extract first_value floor format gen_random_uuid generate_series
  initcap json_agg json_array_length json_build_array json_build_object
  json_object_agg jsonb_agg jsonb_array_length jsonb_build_array
  jsonb_build_object jsonb_object_agg lag last_value lead left length ln log
  lower lpad ltrim make_date max md5 min mod now nth_value ntile numeric
  octet_length overlay percent_rank pg_is_in_recovery pg_sleep position power
  random rank regexp_match regexp_replace repeat replace reverse right round
  row_number row_to_json rpad rtrim sign split_part sqrt statement_timestamp stddev
  stddev_pop stddev_samp string_agg string_to_array strpos substr substring
  sum timezone to_char to_date to_json to_jsonb to_number to_timestamp
  transaction_timestamp translate trim trunc unnest upper var_pop var_samp variance version
  width_bucket`.split(/\s+/),
);

/**
 * Whether a parse tree is a SELECT that is certain to be read-only.
 *
 * @example
 * isReadQuery({SelectStmt: {...}});
 */
export function isReadQuery(query: unknown): boolean {
  if (!isTree(query) || !('SelectStmt' in query)) return false;
  return !someKey(query, mayWrite);
}

/** Whether a key of the tree is not known to be read-only. */
function mayWrite(key: string, child: unknown): boolean {
  if (WRITING_KEYS.has(key)) return true;
  if (!isNodeType(key)) return false;
  if (!READ_NODES.has(key)) return true;
  return key === 'FuncCall' && isTree(child) && !isReadFunction(child);
}

function isReadFunction(call: Tree): boolean {
  const parts = namePartsOf(listOf(call, 'funcname'));
  const [name = '', schema = 'pg_catalog', ...rest] = [...parts].reverse();
  if (schema !== 'pg_catalog' || rest.length > 0) return false;
  return READ_FUNCTIONS.has(name);
}

/** Whether a key is a node type; these are capitalised, fields are not. */
function isNodeType(key: string): boolean {
  return /^[A-Z]/.test(key);
}

/**
 * Returns the names of all functions that a tree calls, without their schemas.
 */
export function calledFunctions(tree: unknown): readonly string[] {
  const names: string[] = [];
  someKey(tree, (key, child) => {
    if (key !== 'FuncCall' || !isTree(child)) return false;
    names.push(namePartsOf(listOf(child, 'funcname')).at(-1) ?? '');
    return false;
  });
  return names;
}

/** Whether a tree creates or references a temporary relation. */
export function usesTemporaryRelation(tree: unknown): boolean {
  return someKey(tree, (key, child) => {
    if (key === 'relpersistence') return child === 't';
    return key === 'schemaname' && child === 'pg_temp';
  });
}

/** Whether a tree contains a node of one of these types. */
export function hasNode(tree: unknown, types: ReadonlySet<string>): boolean {
  return someKey(tree, key => types.has(key));
}

/**
 * Returns the constants of a SET as text, joined as PostgreSQL joins lists;
 * undefined if there are none or an argument is not a constant.
 */
export function constantsText(args: readonly unknown[]): string | undefined {
  const texts = args.map(arg => (isTree(arg) ? constantText(arg) : undefined));
  if (texts.length === 0 || texts.includes(undefined)) return undefined;
  return texts.join(', ');
}

function constantText(arg: Tree): string | undefined {
  const constant = arg['A_Const'];
  if (!isTree(constant)) return undefined;
  if (isTree(constant['sval'])) return textOf(constant['sval'], 'sval');
  if (isTree(constant['fval'])) return textOf(constant['fval'], 'fval');
  if (isTree(constant['boolval'])) {
    return String(constant['boolval']['boolval'] ?? false);
  }
  if (isTree(constant['ival'])) return String(constant['ival']['ival'] ?? 0);
  return undefined;
}
