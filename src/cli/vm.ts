/** `zinnia vm`: commands for the VMs that run the proxy. */
import type {CommandModule} from 'yargs';
import {vmListCommand} from './vm-list.js';

/** The yargs module of `zinnia vm`. */
export const vmCommand: CommandModule = {
  command: 'vm <command>',
  describe: "Look at the system's own VMs",
  builder: yargs => yargs.command(vmListCommand).demandCommand(1).strict(),
  handler: () => {},
};
