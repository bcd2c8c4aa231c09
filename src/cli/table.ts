/** `zinnia table`: commands for the table of teams and database groups. */
import type {CommandModule} from 'yargs';
import {tableApplyCommand} from './table-apply.js';
import {tableCheckCommand} from './table-check.js';
import {tableGetCommand} from './table-get.js';
import {tableHistoryCommand} from './table-history.js';
import {tableSetCommand} from './table-set.js';

/** The yargs module of `zinnia table`. */
export const tableCommand: CommandModule = {
  command: 'table <command>',
  describe: 'Read and edit the table of teams and database groups',
  builder: yargs =>
    yargs
      .command(tableGetCommand)
      .command(tableSetCommand)
      .command(tableApplyCommand)
      .command(tableCheckCommand)
      .command(tableHistoryCommand)
      .demandCommand(1)
      .strict(),
  handler: () => {},
};
