/** `zinnia settings`: prints the reference of a node's settings. */
import type {CommandModule} from 'yargs';
import {formatSettingsPage} from '../node/settings-page.js';
import {CONSOLE_OUTPUT} from './context.js';

/** The yargs module of `zinnia settings`. */
export const settingsCommand: CommandModule = {
  command: 'settings',
  describe: 'Print the reference of all settings of a node, as Markdown',
  handler: () => CONSOLE_OUTPUT.print(formatSettingsPage().trimEnd()),
};
