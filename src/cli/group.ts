/** `zinnia group`: the commands on database groups. */
import type {CommandModule} from 'yargs';
import {groupStatusCommand} from './group-status.js';
import {groupSwitchCommand} from './group-switch.js';

/** The command. */
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
