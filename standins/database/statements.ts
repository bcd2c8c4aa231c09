/** Evaluates read statements and resolves the operands of writes. */
import {describeControlColumns} from './control.js';
import {TYPE_OIDS, type Result, type ResultColumn} from './result.js';
import {SqlError} from './sql-error.js';
import type {
  Column,
  Condition,
  Operand,
  Statement,
  TableStatement,
} from './sql.js';
import type {Row, RowSource} from './tables.js';
import type {Write} from './write-set.js';

type Parameters = readonly (string | null)[];

/** Returns the result columns; undefined for a statement without rows. */
export function describeColumns(
  statement: Statement,
): readonly ResultColumn[] | undefined {
  switch (statement.kind) {
    case 'select':
      return statement.columns.map(name => ({
        name,
        typeOid: name === 'value' ? TYPE_OIDS.int8 : TYPE_OIDS.text,
      }));
    case 'count':
      return [{name: 'count', typeOid: TYPE_OIDS.int8}];
    case 'one':
      return [{name: '?column?', typeOid: TYPE_OIDS.int4}];
    case 'series':
      return [{name: 'generate_series', typeOid: TYPE_OIDS.int4}];
    case 'sleep':
      return [{name: 'pg_sleep', typeOid: TYPE_OIDS.void}];
    case 'currentUser':
      return [{name: 'current_user', typeOid: TYPE_OIDS.name}];
    case 'status':
    case 'fence':
    case 'promote':
    case 'confirm':
      return describeControlColumns(statement);
    default:
      return undefined;
  }
}

/** Evaluates a read statement. */
export function readRows(
  statement: Statement,
  parameters: Parameters,
  source: RowSource,
  user: string,
): Result {
  const columns = describeColumns(statement);
  switch (statement.kind) {
    case 'select': {
      const rows = selectRows(statement, parameters, source).map(row =>
        statement.columns.map(column => String(row[column])),
      );
      return {columns, rows, tag: `SELECT ${rows.length}`};
    }
    case 'count': {
      const count = selectRows(statement, parameters, source).length;
      return {columns, rows: [[String(count)]], tag: 'SELECT 1'};
    }
    case 'series': {
      const last = resolveInteger(statement.last, parameters);
      return {columns, rows: series(last), tag: `SELECT ${Math.max(0, last)}`};
    }
    case 'one':
      return {columns, rows: [['1']], tag: 'SELECT 1'};
    case 'sleep':
      return {columns, rows: [['']], tag: 'SELECT 1'};
    case 'currentUser':
      return {columns, rows: [[user]], tag: 'SELECT 1'};
    default:
      return {tag: ''};
  }
}

/** Replaces the operands of a write statement by their values. */
export function resolveWrite(
  statement: Extract<TableStatement, {kind: 'insert' | 'update' | 'delete'}>,
  parameters: Parameters,
): Write {
  const {table} = statement;
  switch (statement.kind) {
    case 'insert': {
      const [id, team, value] = statement.values as [Operand, Operand, Operand];
      const row: Row = {
        id: resolveText(id, parameters),
        team: resolveText(team, parameters),
        value: resolveInteger(value, parameters),
      };
      return {
        kind: 'insert',
        table,
        row,
        ignoreConflict: statement.ignoreConflict,
      };
    }
    case 'update': {
      const value = resolveInteger(statement.value, parameters);
      return {
        kind: statement.mode === 'set' ? 'set' : 'add',
        table,
        id: resolveText(statement.id, parameters),
        value: statement.mode === 'subtract' ? -value : value,
      };
    }
    case 'delete':
      return {kind: 'delete', table, id: resolveText(statement.id, parameters)};
  }
}

/** Returns the text value of an operand. */
export function resolveText(operand: Operand, parameters: Parameters): string {
  if (operand.kind === 'literal') return operand.text;
  const value = parameters[operand.index - 1];
  if (value === undefined) {
    throw new SqlError('08P01', `there is no parameter $${operand.index}`);
  }
  if (value === null) throw new SqlError('23502', 'null is not accepted');
  return value;
}

function resolveInteger(operand: Operand, parameters: Parameters): number {
  const text = resolveText(operand, parameters);
  if (/^-?\d{1,15}$/.test(text)) return Number(text);
  throw new SqlError('22P02', `invalid input for type bigint: "${text}"`);
}

function selectRows(
  statement: {readonly table: string; readonly where: Condition | undefined},
  parameters: Parameters,
  source: RowSource,
): readonly Row[] {
  const {table, where} = statement;
  if (where === undefined) return [...source.rows(table)];
  const wanted = resolveText(where.operand, parameters);
  if (where.column === 'id') {
    const row = source.get(table, wanted);
    return row === undefined ? [] : [row];
  }
  const column: Column = where.column;
  return [...source.rows(table)].filter(row => String(row[column]) === wanted);
}

function* series(last: number): Iterable<readonly string[]> {
  for (let number = 1; number <= last; number++) yield [String(number)];
}
