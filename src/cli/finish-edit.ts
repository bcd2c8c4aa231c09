/** Reports an edit and, if asked, waits until it is in force. */
import {randomUUID} from 'node:crypto';
import {describeEditResult, type EditResult} from '../rollout/edit-result.js';
import type {EditIdentity} from '../rollout/editor.js';
import type {CommandContext} from './context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {formatInForce, isInForce, waitInForce} from './in-force.js';
import type {EditArgs} from './store-option.js';

/** Who edits, under a new id unless the operator repeats an edit. */
export function createIdentity(args: EditArgs): EditIdentity {
  return {id: args.editId ?? randomUUID(), by: args.by};
}

/** Prints what became of an edit and waits for it with `--wait`. */
export async function finishEdit(
  ctx: CommandContext,
  args: EditArgs,
  result: EditResult,
): Promise<ExitCode> {
  const text = describeEditResult(result);
  switch (result.kind) {
    case 'applied':
    case 'unchanged':
      ctx.output.print(text);
      return args.wait ? waitForVersion(ctx, args, result.version) : EXIT.ok;
    case 'conflict':
    case 'refused':
      ctx.output.note(`error: ${text}`);
      return EXIT.refused;
    case 'unreachable':
    case 'unsettled':
      ctx.output.note(`error: ${text}`);
      return EXIT.unreachable;
  }
}

async function waitForVersion(
  ctx: CommandContext,
  args: EditArgs,
  version: number,
): Promise<ExitCode> {
  const {store, clock} = ctx;
  const timeoutMs = args.timeout;
  const report = await waitInForce({store, clock, version, timeoutMs});
  for (const line of formatInForce(report)) ctx.output.print(line);
  if (isInForce(report)) return EXIT.ok;
  ctx.output.note(
    `error: version ${version} was accepted but not seen in force everywhere ` +
      `within ${timeoutMs} ms; see zinnia vm list, it stays accepted`,
  );
  return EXIT.notInForce;
}
