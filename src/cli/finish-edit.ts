/** Reports the result of an edit and, with `--wait`, waits for its rollout. */
import {randomUUID} from 'node:crypto';
import {describeEditResult, type EditResult} from '../rollout/edit-result.js';
import type {EditIdentity} from '../rollout/editor.js';
import type {CommandContext} from './context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {
  formatInForce,
  isInForceEverywhere,
  waitUntilInForce,
} from './in-force.js';
import type {EditArgs} from './store-option.js';

/** Identity of an edit: `--edit-id` if given, so that a retry applies once. */
export function createEditIdentity(args: EditArgs): EditIdentity {
  return {id: args.editId ?? randomUUID(), by: args.by};
}

/** Prints the result of an edit; with `--wait`, waits until it is in force. */
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
      ctx.output.printDiagnostic(`error: ${text}`);
      return EXIT.refused;
    case 'unreachable':
    case 'unsettled':
      ctx.output.printDiagnostic(`error: ${text}`);
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
  const report = await waitUntilInForce({store, clock, version, timeoutMs});
  for (const line of formatInForce(report)) ctx.output.print(line);
  if (isInForceEverywhere(report)) return EXIT.ok;
  ctx.output.printDiagnostic(
    `error: version ${version} was accepted but not seen in force everywhere ` +
      `within ${timeoutMs} ms; see zinnia vm list, it stays accepted`,
  );
  return EXIT.notInForce;
}
