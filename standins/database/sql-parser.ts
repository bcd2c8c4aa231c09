/** Parses the supported SQL statements by matching regular expressions. */
import {SqlError} from './sql-error.js';
import {splitStatements} from './sql-text.js';
import type {Column, Condition, Operand, Statement} from './sql.js';

type MatchGroups = readonly (string | undefined)[];
type Rule = readonly [RegExp, (groups: MatchGroups) => Statement];

const NAME = '([a-z_][a-z0-9_]*)';
const OPERAND_PATTERN =
  "(\\$\\d+|'(?:[^']|'')*'|-?\\d+(?:\\.\\d+)?)(?:::[a-z0-9]+)?";
const COLUMN = '(?:id|team|value)';
const COLUMNS = `(\\*|${COLUMN}(?:,${COLUMN})*)`;
const WHERE = `(?: where (${COLUMN})=${OPERAND_PATTERN})?`;
const TEXT = "'((?:[^']|'')*)'";
const ALL_COLUMNS: readonly Column[] = ['id', 'team', 'value'];

const RULES: readonly Rule[] = [
  rule('(?:begin|start transaction)[a-z ,]*', () => ({kind: 'begin'})),
  rule('(?:commit|end)(?: work| transaction)?', () => ({kind: 'commit'})),
  rule('(?:rollback|abort)(?: work| transaction)?', () => ({
    kind: 'rollback',
  })),
  rule('select 1', () => ({kind: 'one'})),
  rule('select current_user', () => ({kind: 'currentUser'})),
  rule(`select generate_series\\(1,${OPERAND_PATTERN}\\)`, ([last]) => ({
    kind: 'series',
    last: parseOperand(last),
  })),
  rule(`select pg_sleep\\(${OPERAND_PATTERN}\\)`, ([seconds]) => ({
    kind: 'sleep',
    seconds: parseOperand(seconds),
  })),
  rule(
    `insert into ${NAME}\\(id,team,value\\)values\\(${OPERAND_PATTERN},${OPERAND_PATTERN},${OPERAND_PATTERN}\\)( ?on conflict ?(?:\\(id\\))?do nothing)?`,
    ([table, id, team, value, ignore]) => ({
      kind: 'insert',
      table: table ?? '',
      values: [parseOperand(id), parseOperand(team), parseOperand(value)],
      ignoreConflict: ignore !== undefined,
    }),
  ),
  rule(
    `update ${NAME} set value=(value[+-])?${OPERAND_PATTERN} where id=${OPERAND_PATTERN}`,
    ([table, sign, value, id]) => ({
      kind: 'update',
      table: table ?? '',
      mode: updateMode(sign),
      value: parseOperand(value),
      id: parseOperand(id),
    }),
  ),
  rule(`delete from ${NAME} where id=${OPERAND_PATTERN}`, ([table, id]) => ({
    kind: 'delete',
    table: table ?? '',
    id: parseOperand(id),
  })),
  rule(
    `select count\\(\\*\\)(?:as [a-z]+ )?from ${NAME}${WHERE}`,
    ([table, column, operand]) => ({
      kind: 'count',
      table: table ?? '',
      where: parseCondition(column, operand),
    }),
  ),
  rule(
    `select ${COLUMNS} from ${NAME}${WHERE}`,
    ([columns, table, column, operand]) => ({
      kind: 'select',
      table: table ?? '',
      columns: parseColumns(columns ?? '*'),
      where: parseCondition(column, operand),
    }),
  ),
  rule('select \\* from platform\\.status\\(\\)', () => ({kind: 'status'})),
  rule(
    `select platform\\.(fence|promote)\\((\\d+),${TEXT}\\)`,
    ([kind, term, orderer]) => ({
      kind: kind === 'fence' ? 'fence' : 'promote',
      term: Number(term),
      orderer: unquote(orderer ?? ''),
    }),
  ),
  rule(
    `select platform\\.confirm\\((\\d+),${TEXT},(\\d+)\\)`,
    ([term, position, timeoutMs]) => ({
      kind: 'confirm',
      term: Number(term),
      position: position ?? '',
      timeoutMs: Number(timeoutMs),
    }),
  ),
];

/**
 * Parses all statements in `text`; throws SqlError 42601 if one is unsupported.
 *
 * @example
 * parseStatements('BEGIN; SELECT 1');
 */
export function parseStatements(text: string): readonly Statement[] {
  return splitStatements(text).map(parseStatement);
}

/** Returns the highest parameter number (`$n`) in a statement. */
export function countParameters(text: string): number {
  const indexes = [...text.matchAll(/\$(\d+)/g)].map(match => Number(match[1]));
  return Math.max(0, ...indexes);
}

function parseStatement(text: string): Statement {
  for (const [pattern, build] of RULES) {
    const match = pattern.exec(text);
    if (match !== null) return build(match.slice(1));
  }
  throw new SqlError('42601', `syntax error: the stand-in has no "${text}"`);
}

function rule(
  pattern: string,
  build: (groups: MatchGroups) => Statement,
): Rule {
  return [new RegExp(`^${pattern}$`), build];
}

function updateMode(sign: string | undefined): 'add' | 'subtract' | 'set' {
  if (sign === undefined) return 'set';
  return sign.endsWith('+') ? 'add' : 'subtract';
}

function parseOperand(text = ''): Operand {
  if (text.startsWith('$')) {
    return {kind: 'parameter', index: Number(text.slice(1))};
  }
  if (!text.startsWith("'")) return {kind: 'literal', text};
  return {kind: 'literal', text: unquote(text.slice(1, -1))};
}

function parseCondition(
  column: string | undefined,
  operand: string | undefined,
): Condition | undefined {
  if (column === undefined) return undefined;
  return {column: column as Column, operand: parseOperand(operand)};
}

function parseColumns(text: string): readonly Column[] {
  return text === '*' ? ALL_COLUMNS : (text.split(',') as Column[]);
}

function unquote(text: string): string {
  return text.replaceAll("''", "'");
}
