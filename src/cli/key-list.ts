/** `zinnia key list`: lists the keys in force. */
import type {CommandModule} from 'yargs';
import type {Store} from '../infra/store.js';
import {readConfig} from '../rollout/editor.js';
import type {KeyRecord} from '../rollout/keys.js';
import {runCommand} from './context.js';
import {EXIT} from './exit-codes.js';
import {withStoreOption, type StoreArgs} from './store-option.js';

interface KeyListArgs extends StoreArgs {
  readonly team: string | undefined;
}

/**
 * Reads the keys in force of one team, or of all teams.
 *
 * @example
 * const keys = await listKeys(store, 'assessors');
 */
export async function listKeys(
  store: Store,
  team?: string,
): Promise<readonly KeyRecord[]> {
  const {document} = await readConfig(store);
  return document.keys.filter(key => team === undefined || key.team === team);
}

/** The yargs module of `zinnia key list`. */
export const keyListCommand: CommandModule<object, KeyListArgs> = {
  command: 'list',
  describe: 'List the keys in force, without their secrets',
  builder: yargs =>
    withStoreOption(yargs).option('team', {
      type: 'string',
      describe: 'only the keys of this team',
    }),
  handler: args =>
    runCommand(args, async ({store, output}) => {
      for (const {id, team, grantedAt} of await listKeys(store, args.team)) {
        const granted = new Date(grantedAt).toISOString();
        output.print(`id=${id} team=${team} granted=${granted}`);
      }
      return EXIT.ok;
    }),
};
