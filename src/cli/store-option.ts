/** Options that several commands share. */
import type {Argv} from 'yargs';
import {parseDuration} from './durations.js';

const DEFAULT_STORE_URL = 'http://127.0.0.1:2379';
const DEFAULT_TIMEOUT = '10s';

/** Arguments of a command that reads the store. */
export interface StoreArgs {
  readonly store: string;
}

/** Arguments of a command that edits the configuration. */
export interface EditArgs extends StoreArgs {
  /** Who makes the edit; recorded in the history. */
  readonly by: string;
  readonly wait: boolean;
  /** Maximum time to wait with `--wait`, in milliseconds. */
  readonly timeout: number;
  /** Id of an earlier edit to retry, which is applied at most once. */
  readonly editId: string | undefined;
}

/** Adds `--store`. */
export function withStoreOption<T>(yargs: Argv<T>): Argv<T & StoreArgs> {
  return yargs.option('store', {
    type: 'string',
    describe: "URL of the platform's key-value service (ZINNIA_STORE)",
    default: process.env.ZINNIA_STORE ?? DEFAULT_STORE_URL,
  }) as Argv<T & StoreArgs>;
}

/** Adds `--store`, `--by`, `--wait`, `--timeout` and `--edit-id`. */
export function withEditOptions<T>(yargs: Argv<T>): Argv<T & EditArgs> {
  const by = process.env.ZINNIA_BY ?? process.env.USER;
  return withStoreOption(yargs)
    .option('by', {
      type: 'string',
      describe: 'who edits, for the history (ZINNIA_BY, else USER)',
      ...(by === undefined ? {demandOption: true} : {default: by}),
    })
    .option('wait', {
      type: 'boolean',
      describe: 'wait until the change is in force on every VM',
      default: false,
    })
    .option('timeout', {
      type: 'string',
      describe: 'how long to wait, such as 500ms, 10s, 2m or 1h',
      default: DEFAULT_TIMEOUT,
      coerce: parseDuration,
    })
    .option('edit-id', {
      type: 'string',
      describe: 'repeat the edit of this id, which is applied once at most',
    }) as unknown as Argv<T & EditArgs>;
}
