/** `zinnia table set`: changes some columns of one row. */
import type {CommandModule} from 'yargs';
import type {EditResult} from '../rollout/edit-result.js';
import {readConfig, type EditIdentity} from '../rollout/editor.js';
import {TableError} from '../rollout/faults.js';
import {
  formatCells,
  isCsvColumn,
  parseCells,
  csvColumnOf,
  CSV_COLUMNS,
  type CsvColumn,
} from '../rollout/table-cells.js';
import {
  findRow,
  parseRow,
  type RowRef,
  type Table,
  type TableRow,
} from '../rollout/table.js';
import {CommandError, runCommand, type CommandContext} from './context.js';
import {createEditIdentity, finishEdit} from './finish-edit.js';
import {withEditOptions, type EditArgs} from './store-option.js';

/** Cells by column; a blank cell resets the column to its default. */
export type Cells = Readonly<Partial<Record<CsvColumn, string>>>;

interface TableSetArgs extends EditArgs {
  readonly kind: 'team' | 'group';
  readonly name: string;
  readonly cells: readonly string[];
}

/**
 * Changes columns of a row, or adds the row if it does not exist.
 *
 * @example
 * await setRow(ctx, {kind: 'team', name: 'lab'}, {rate: '80'}, identity);
 */
export async function setRow(
  {store, editor}: Pick<CommandContext, 'store' | 'editor'>,
  ref: RowRef,
  cells: Cells,
  identity: EditIdentity,
): Promise<EditResult> {
  const {document} = await readConfig(store);
  const row = createChangedRow(document.table, ref, cells);
  const baseVersion = document.version;
  const edits = [{kind: 'put', row}] as const;
  return editor.edit({kind: 'rows', edits, baseVersion}, identity);
}

/** The yargs module of `zinnia table set`. */
export const tableSetCommand: CommandModule<object, TableSetArgs> = {
  command: 'set <kind> <name> <cells..>',
  describe: 'Change columns of one row, or add it',
  builder: yargs =>
    withEditOptions(yargs)
      .positional('kind', {
        choices: ['team', 'group'] as const,
        demandOption: true,
      })
      .positional('name', {type: 'string', demandOption: true})
      .positional('cells', {
        type: 'string',
        array: true,
        describe: 'column=value; a blank value asks for the default',
        demandOption: true,
      }),
  handler: args =>
    runCommand(args, async ctx => {
      const cells = parseAssignments(args.cells);
      const {kind, name} = args;
      const identity = createEditIdentity(args);
      const result = await setRow(ctx, {kind, name}, cells, identity);
      return finishEdit(ctx, args, result);
    }),
};

function createChangedRow(table: Table, ref: RowRef, cells: Cells): TableRow {
  const current = findRow(table, ref);
  const before = current === undefined ? ref : formatCells(current);
  const result = parseRow(parseCells({...before, ...cells}));
  if (result.kind === 'row') return result.row;
  throw new TableError(
    result.faults.map(fault => ({
      ...fault,
      column: csvColumnOf(fault.column),
    })),
  );
}

function parseAssignments(assignments: readonly string[]): Cells {
  return Object.fromEntries(assignments.map(parseAssignment));
}

function parseAssignment(assignment: string): readonly [CsvColumn, string] {
  const [column = '', ...rest] = assignment.split('=');
  if (rest.length === 0) {
    throw new CommandError(`${assignment} sets nothing; write column=value`);
  }
  if (!isCsvColumn(column) || column === 'kind' || column === 'name') {
    const columns = CSV_COLUMNS.slice(2).join(', ');
    throw new CommandError(
      `${column} is no column that can be set; use one of ${columns}`,
    );
  }
  return [column, rest.join('=')];
}
