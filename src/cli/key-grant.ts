/** `zinnia key grant`: creates a key for a team. */
import type {CommandModule} from 'yargs';
import type {EditResult} from '../rollout/edit-result.js';
import type {EditIdentity} from '../rollout/editor.js';
import {createKey, type NewKey} from '../rollout/keys.js';
import {runCommand, type CommandContext} from './context.js';
import {createEditIdentity, finishEdit} from './finish-edit.js';
import {withEditOptions, type EditArgs} from './store-option.js';

/** A new key and the result of granting it. */
export interface GrantOutcome {
  readonly key: NewKey;
  readonly result: EditResult;
}

interface KeyGrantArgs extends EditArgs {
  readonly team: string;
}

/**
 * Grants a new key to a team. Only the returned outcome has the key's text; the
 * store keeps a hash.
 *
 * @example
 * const {key, result} = await grantKey(ctx, 'assessors', identity);
 */
export async function grantKey(
  {editor, clock}: Pick<CommandContext, 'editor' | 'clock'>,
  team: string,
  identity: EditIdentity,
): Promise<GrantOutcome> {
  const key = createKey(team, clock.wallNow());
  const change = {kind: 'grantKey', key: key.record} as const;
  return {key, result: await editor.edit(change, identity)};
}

/** The yargs module of `zinnia key grant`. */
export const keyGrantCommand: CommandModule<object, KeyGrantArgs> = {
  command: 'grant <team>',
  describe: 'Grant a new key to a team and print it once',
  builder: yargs =>
    withEditOptions(yargs).positional('team', {
      type: 'string',
      demandOption: true,
    }),
  handler: args =>
    runCommand(args, async ctx => {
      const identity = createEditIdentity({...args, editId: undefined});
      const {key, result} = await grantKey(ctx, args.team, identity);
      if (result.kind === 'applied') ctx.output.print(key.text);
      if (result.kind === 'unsettled') {
        ctx.output.printDiagnostic(
          `if zinnia key list shows key ${key.record.id}, withdraw it: its text was not handed out`,
        );
      }
      return finishEdit(ctx, args, result);
    }),
};
