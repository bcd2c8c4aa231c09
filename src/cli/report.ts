/** `zinnia report`: reports over all VMs. */
import type {CommandModule} from 'yargs';
import {reportBurnCommand} from './report-burn.js';

/** The yargs module of `zinnia report`. */
export const reportCommand: CommandModule = {
  command: 'report <command>',
  describe: 'Report on the service level',
  builder: yargs => yargs.command(reportBurnCommand).demandCommand(1).strict(),
  handler: () => {},
};
