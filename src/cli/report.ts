/** `zinnia report`: the reports on the fleet. */
import type {CommandModule} from 'yargs';
import {reportBurnCommand} from './report-burn.js';

/** The command. */
export const reportCommand: CommandModule = {
  command: 'report <command>',
  describe: 'Report on the service level',
  builder: yargs => yargs.command(reportBurnCommand).demandCommand(1).strict(),
  handler: () => {},
};
