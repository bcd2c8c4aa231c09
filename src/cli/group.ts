/** `zinnia group`: commands for database groups. */
import type {CommandModule} from 'yargs';
import {groupStatusCommand} from './group-status.js';
import {groupSwitchCommand} from './group-switch.js';

/** The yargs module of `zinnia group`. */
export const groupCommand: CommandModule = {
  command: 'group <command>',
  describe: 'Look at database groups and switch their primaries',
  builder: yargs =>
    yargs
      .command(groupStatusCommand)
      .command(groupSwitchCommand)
      .demandCommand(1)
      .strict(),
  handler: () => {},
};
