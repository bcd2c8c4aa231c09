/** `zinnia vm`: the commands on the system's own VMs. */
import type {CommandModule} from 'yargs';
import {vmListCommand} from './vm-list.js';

/** The command. */
export const vmCommand: CommandModule = {
  command: 'vm <command>',
  describe: "Look at the system's own VMs",
  builder: yargs => yargs.command(vmListCommand).demandCommand(1).strict(),
  handler: () => {},
};
