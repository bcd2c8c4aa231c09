/** `zinnia key withdraw`: revokes a key. */
import type {CommandModule} from 'yargs';
import type {EditResult} from '../rollout/edit-result.js';
import type {EditIdentity} from '../rollout/editor.js';
import {runCommand, type CommandContext} from './context.js';
import {createEditIdentity, finishEdit} from './finish-edit.js';
import {withEditOptions, type EditArgs} from './store-option.js';

interface KeyWithdrawArgs extends EditArgs {
  readonly id: string;
}

/**
 * Withdraws a key by its id.
 *
 * @example
 * await withdrawKey(ctx, '3f0c9a7e51b2d864', identity);
 */
export async function withdrawKey(
  {editor}: Pick<CommandContext, 'editor'>,
  keyId: string,
  identity: EditIdentity,
): Promise<EditResult> {
  return editor.edit({kind: 'withdrawKey', keyId}, identity);
}

/** The yargs module of `zinnia key withdraw`. */
export const keyWithdrawCommand: CommandModule<object, KeyWithdrawArgs> = {
  command: 'withdraw <id>',
  describe: 'Withdraw a key by its id, the part between zk_ and the next _',
  builder: yargs =>
    withEditOptions(yargs).positional('id', {
      type: 'string',
      demandOption: true,
    }),
  handler: args =>
    runCommand(args, async ctx => {
      const identity = createEditIdentity(args);
      const result = await withdrawKey(ctx, args.id, identity);
      return finishEdit(ctx, args, result);
    }),
};
