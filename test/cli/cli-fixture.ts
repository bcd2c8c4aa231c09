/** Runs the operator commands in this process against a stand-in store. */
import {vi} from 'vitest';
import yargs from 'yargs';
import {operatorCommands} from '../../src/cli/commands.js';

/** Output and exit code of a command. */
export interface CliRun {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs one command line. */
export async function runCli(
  url: string,
  ...args: readonly string[]
): Promise<CliRun> {
  const out: string[] = [];
  const err: string[] = [];
  const log = vi.spyOn(console, 'log').mockImplementation(line => {
    out.push(String(line));
  });
  const error = vi.spyOn(console, 'error').mockImplementation(line => {
    err.push(String(line));
  });
  vi.stubEnv('ZINNIA_STORE', url);
  vi.stubEnv('ZINNIA_BY', 'ana');
  process.exitCode = undefined;
  try {
    const cli = yargs().strict().exitProcess(false).fail(false);
    for (const command of operatorCommands) cli.command(command);
    await cli.parseAsync([...args]);
    const code = Number(process.exitCode ?? 0);
    return {code, out: out.join('\n'), err: err.join('\n')};
  } finally {
    process.exitCode = undefined;
    vi.unstubAllEnvs();
    log.mockRestore();
    error.mockRestore();
  }
}
