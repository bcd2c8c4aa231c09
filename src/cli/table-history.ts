/** `zinnia table history`: prints the latest edits. */
import type {CommandModule} from 'yargs';
import type {Store} from '../infra/store.js';
import type {EditRecord} from '../rollout/config-document.js';
import {readConfig} from '../rollout/editor.js';
import {runCommand} from './context.js';
import {EXIT} from './exit-codes.js';
import {withStoreOption, type StoreArgs} from './store-option.js';

/** Reads the latest edits, oldest first. */
export async function readHistory(
  store: Store,
): Promise<readonly EditRecord[]> {
  return (await readConfig(store)).document.edits;
}

/** Formats an edit as a line of key=value pairs. */
export function formatEdit(edit: EditRecord): string {
  const at = new Date(edit.at).toISOString();
  const summary = JSON.stringify(edit.summary);
  return `version=${edit.version} at=${at} by=${quoteIfNeeded(edit.by)} id=${quoteIfNeeded(edit.id)} summary=${summary}`;
}

/** Quotes a value unless it is a single plain word. */
function quoteIfNeeded(value: string): string {
  return /^[\w.@:/#-]+$/.test(value) ? value : JSON.stringify(value);
}

/** The yargs module of `zinnia table history`. */
export const tableHistoryCommand: CommandModule<object, StoreArgs> = {
  command: 'history',
  describe: 'Print the latest edits, oldest first',
  builder: yargs => withStoreOption(yargs),
  handler: args =>
    runCommand(args, async ({store, output}) => {
      for (const edit of await readHistory(store)) {
        output.print(formatEdit(edit));
      }
      return EXIT.ok;
    }),
};
