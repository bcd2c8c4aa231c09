/** The operators' commands. */
import type {CommandModule} from 'yargs';
import {explainCommand} from './explain.js';
import {groupCommand} from './group.js';
import {keyCommand} from './key.js';
import {reportCommand} from './report.js';
import {settingsCommand} from './settings.js';
import {tableCommand} from './table.js';
import {vmCommand} from './vm.js';

/**
 * The commands, for the program's command line.
 *
 * @example
 * for (const command of configurationCommands) cli.command(command);
 */
export const configurationCommands: readonly CommandModule[] = [
  tableCommand,
  keyCommand,
  groupCommand,
  vmCommand,
  reportCommand,
  explainCommand,
  settingsCommand,
];
