/** `zinnia table get`: prints the table as CSV. */
import {writeFile} from 'node:fs/promises';
import type {CommandModule} from 'yargs';
import type {Store} from '../infra/store.js';
import {readConfig} from '../rollout/editor.js';
import {formatTableCsv} from '../rollout/table-csv.js';
import {runCommand, type CommandContext} from './context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {withStoreOption, type StoreArgs} from './store-option.js';

/** The table as CSV, and its version. */
export interface TableFile {
  readonly csv: string;
  readonly version: number;
}

interface TableGetArgs extends StoreArgs {
  readonly output: string | undefined;
}

/**
 * Reads the table in force and formats it as CSV.
 *
 * @example
 * const {csv, version} = await getTable(store);
 */
export async function getTable(store: Store): Promise<TableFile> {
  const {document} = await readConfig(store);
  return {csv: formatTableCsv(document.table), version: document.version};
}

/** The yargs module of `zinnia table get`. */
export const tableGetCommand: CommandModule<object, TableGetArgs> = {
  command: 'get',
  describe: 'Print the table as CSV, and its version on standard error',
  builder: yargs =>
    withStoreOption(yargs).option('output', {
      type: 'string',
      alias: 'o',
      describe: 'write the CSV to this file',
    }),
  handler: args => runCommand(args, ctx => run(ctx, args)),
};

async function run(
  {store, output}: CommandContext,
  args: TableGetArgs,
): Promise<ExitCode> {
  const {csv, version} = await getTable(store);
  if (args.output === undefined) output.print(csv.trimEnd());
  else await writeFile(args.output, csv);
  output.printDiagnostic(`version=${version}`);
  return EXIT.ok;
}
