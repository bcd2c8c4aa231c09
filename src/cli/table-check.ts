/** `zinnia table check`: validates a CSV file without accessing the store. */
import type {CommandModule} from 'yargs';
import {CONSOLE_OUTPUT, reportErrors} from './context.js';
import {EXIT} from './exit-codes.js';
import {readTableFile} from './table-file.js';

interface TableCheckArgs {
  readonly file: string;
}

/**
 * Validates a CSV file; throws an error that lists every fault.
 *
 * @example
 * await checkTableFile('table.csv'); // 'table.csv is valid: 3 groups, 8 teams'
 */
export async function checkTableFile(path: string): Promise<string> {
  const {groups, teams} = await readTableFile(path);
  return `${path} is valid: ${groups.size} groups, ${teams.size} teams`;
}

/** The yargs module of `zinnia table check`. */
export const tableCheckCommand: CommandModule<object, TableCheckArgs> = {
  command: 'check <file>',
  describe: 'Check a CSV file without applying it',
  builder: yargs =>
    yargs.positional('file', {type: 'string', demandOption: true}),
  handler: async args => {
    process.exitCode = await reportErrors(CONSOLE_OUTPUT, async () => {
      CONSOLE_OUTPUT.print(await checkTableFile(args.file));
      return EXIT.ok;
    });
  },
};
