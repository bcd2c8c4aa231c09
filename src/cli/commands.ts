/** The `zinnia` commands for operators: all but `node`. */
import type {CommandModule} from 'yargs';
import {explainCommand} from './explain.js';
import {groupCommand} from './group.js';
import {keyCommand} from './key.js';
import {reportCommand} from './report.js';
import {settingsCommand} from './settings.js';
import {tableCommand} from './table.js';
import {vmCommand} from './vm.js';

/**
 * Command modules to register with yargs.
 *
 * @example
 * for (const command of operatorCommands) cli.command(command);
 */
export const operatorCommands: readonly CommandModule[] = [
  tableCommand,
  keyCommand,
  groupCommand,
  vmCommand,
  reportCommand,
  explainCommand,
  settingsCommand,
];
