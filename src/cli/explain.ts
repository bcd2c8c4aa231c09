/** `zinnia explain`: explains the outcome of a request from the nodes' logs. */
import {readFile} from 'node:fs/promises';
import type {CommandModule} from 'yargs';
import {explainRequest} from '../explain/timeline.js';
import {formatTimeline} from '../explain/format-timeline.js';
import {parseLogLine, type LogLine} from '../explain/log-line.js';
import {
  CommandError,
  CONSOLE_OUTPUT,
  reportErrors,
  type Output,
} from './context.js';
import {EXIT, type ExitCode} from './exit-codes.js';

/** Arguments of the command. */
export interface ExplainArgs {
  readonly request: string;
  readonly logs: readonly string[];
}

/** The yargs module of `zinnia explain`. */
export const explainCommand: CommandModule = {
  command: 'explain <request> <logs..>',
  describe: 'Print what the end of a request was decided from',
  builder: yargs =>
    yargs
      .positional('request', {
        type: 'string',
        describe: 'id of the request, as its caller sent it',
      })
      .positional('logs', {
        type: 'string',
        array: true,
        describe: 'files with the logs of the nodes',
      }),
  handler: async args => {
    process.exitCode = await reportErrors(CONSOLE_OUTPUT, () =>
      explain(args as unknown as ExplainArgs, CONSOLE_OUTPUT),
    );
  },
};

/** Prints the log lines that explain the outcome of a request. */
export async function explain(
  {request, logs}: ExplainArgs,
  output: Output,
): Promise<ExitCode> {
  const lines = (await Promise.all(logs.map(readLines))).flat();
  const steps = explainRequest(String(request), lines);
  if (steps.length === 0) {
    throw new CommandError(
      `none of ${lines.length} lines is about request ${request}; give the ` +
        'logs of all nodes around its time. Requests that were served leave ' +
        'no line, and suppressed= tells where lines were left out',
    );
  }
  for (const line of formatTimeline(steps)) output.print(line);
  return EXIT.ok;
}

async function readLines(path: string): Promise<readonly LogLine[]> {
  const text = await readFile(path, 'utf8').catch((err: unknown) => {
    throw new CommandError(`can't read ${path}: ${String(err)}`);
  });
  return text.split('\n').flatMap(line => {
    const parsed = parseLogLine(line);
    return parsed === undefined ? [] : [parsed];
  });
}
