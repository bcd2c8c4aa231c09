/** `zinnia table apply`: applies a CSV file to the table. */
import type {Argv, CommandModule} from 'yargs';
import {planApply} from '../rollout/apply-plan.js';
import {applyChange, type RowsChange} from '../rollout/changes.js';
import type {EditResult} from '../rollout/edit-result.js';
import {
  createConflictResult,
  readConfig,
  type EditIdentity,
} from '../rollout/editor.js';
import type {Table} from '../rollout/table.js';
import {runCommand, type CommandContext} from './context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {createEditIdentity, finishEdit} from './finish-edit.js';
import {withEditOptions, type EditArgs} from './store-option.js';
import {formatRowEdit} from './table-diff.js';
import {readTableFile} from './table-file.js';

/** A whole table to apply. */
export interface ApplyRequest {
  readonly table: Table;
  /** The version that the file was made from; the current one by default. */
  readonly baseVersion: number | undefined;
  readonly dryRun: boolean;
}

/** The changed rows, one line each, and the result of the edit. */
export interface ApplyOutcome {
  readonly diff: readonly string[];
  /** Undefined for a dry run that would be accepted. */
  readonly result: EditResult | undefined;
}

interface TableApplyArgs extends EditArgs {
  readonly file: string;
  readonly dryRun: boolean;
  readonly baseVersion: number | undefined;
}

/**
 * Applies the operator's changes since the base version; rows that the file
 * lacks are removed. Rows that only others have changed since are kept.
 *
 * @example
 * await applyTable(ctx, {table, baseVersion: 41, dryRun: false}, identity);
 */
export async function applyTable(
  {store, editor}: Pick<CommandContext, 'store' | 'editor'>,
  request: ApplyRequest,
  identity: EditIdentity,
): Promise<ApplyOutcome> {
  const {document} = await readConfig(store);
  const plan = planApply(document, request.table, request.baseVersion);
  if (plan.kind === 'refused') return {diff: [], result: plan};
  const {edits, baseVersion} = plan;
  const diff = edits.map(edit => formatRowEdit(document.table, edit));
  const change: RowsChange = {kind: 'rows', edits, baseVersion};
  if (!request.dryRun) {
    return {diff, result: await editor.edit(change, identity)};
  }
  const dryRunResult = applyChange(document, change, baseVersion);
  switch (dryRunResult.kind) {
    case 'changed':
      return {diff, result: undefined};
    case 'unchanged':
      return {diff, result: {kind: 'unchanged', version: document.version}};
    case 'refused':
      return {diff, result: {kind: 'refused', reason: dryRunResult.message}};
    case 'conflict': {
      const {row, version} = dryRunResult;
      return {
        diff,
        result: createConflictResult(document, row, version, identity),
      };
    }
  }
}

/** The yargs module of `zinnia table apply`. */
export const tableApplyCommand: CommandModule<object, TableApplyArgs> = {
  command: 'apply <file>',
  describe: 'Make the table say what a CSV file says',
  builder: yargs =>
    withEditOptions(yargs)
      .positional('file', {type: 'string', demandOption: true})
      .option('dry-run', {
        type: 'boolean',
        default: false,
        describe: 'show the changes and make none',
      })
      .option('base-version', {
        type: 'number',
        describe: 'the version that the file was made from',
      }) as unknown as Argv<TableApplyArgs>,
  handler: args => runCommand(args, ctx => run(ctx, args)),
};

async function run(
  ctx: CommandContext,
  args: TableApplyArgs,
): Promise<ExitCode> {
  const {output} = ctx;
  const {baseVersion, dryRun} = args;
  const table = await readTableFile(args.file);
  if (baseVersion === undefined) {
    output.printDiagnostic(
      'warning: without --base-version, edits that others made since you ' +
        'read the table are undone by this file',
    );
  }
  const request = {table, baseVersion, dryRun};
  const {diff, result} = await applyTable(
    ctx,
    request,
    createEditIdentity(args),
  );
  for (const line of diff) output.print(line);
  if (result !== undefined) {
    return finishEdit(ctx, {...args, wait: args.wait && !dryRun}, result);
  }
  output.print('dry run: nothing was changed');
  return EXIT.ok;
}
