/** `zinnia key`: commands for callers' keys. */
import type {CommandModule} from 'yargs';
import {keyGrantCommand} from './key-grant.js';
import {keyListCommand} from './key-list.js';
import {keyWithdrawCommand} from './key-withdraw.js';

/** The yargs module of `zinnia key`. */
export const keyCommand: CommandModule = {
  command: 'key <command>',
  describe: "Grant, withdraw and list callers' keys",
  builder: yargs =>
    yargs
      .command(keyGrantCommand)
      .command(keyWithdrawCommand)
      .command(keyListCommand)
      .demandCommand(1)
      .strict(),
  handler: () => {},
};
