/** Dependencies, output and error handling shared by the commands. */
import {SystemClock, SystemRandom, type Clock} from '../infra/clock.js';
import {EtcdStore} from '../infra/etcd-store.js';
import {StoreError, type Store} from '../infra/store.js';
import {DocumentError} from '../rollout/config-codec.js';
import {ConfigEditor} from '../rollout/editor.js';
import {TableError, formatFault} from '../rollout/faults.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import type {StoreArgs} from './store-option.js';

/** Output streams of a command. */
export interface Output {
  /** Writes a line of the result to standard output. */
  print(line: string): void;
  /** Writes an error, a warning or a remark to standard error. */
  printDiagnostic(line: string): void;
}

/** Dependencies of a command. */
export interface CommandContext {
  readonly store: Store;
  readonly editor: ConfigEditor;
  readonly clock: Clock;
  readonly output: Output;
}

/** A failure that the operator can fix; the message says how. */
export class CommandError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'CommandError';
  }
}

/** Writes to the standard output and error of the process. */
export const CONSOLE_OUTPUT: Output = {
  print: line => console.log(line),
  printDiagnostic: line => console.error(line),
};

/** Creates the context of a command from its options. */
export function createContext(args: StoreArgs): CommandContext {
  const store = new EtcdStore({url: args.store});
  const clock = new SystemClock();
  const random = new SystemRandom();
  const editor = new ConfigEditor({store, clock, random});
  return {store, editor, clock, output: CONSOLE_OUTPUT};
}

/** Runs a command and sets the exit code of the process. */
export async function runCommand(
  args: StoreArgs,
  command: (ctx: CommandContext) => Promise<ExitCode>,
): Promise<void> {
  const ctx = createContext(args);
  process.exitCode = await reportErrors(ctx.output, () => command(ctx));
}

/** Prints an expected error as `error: ...` and returns the exit code. */
export async function reportErrors(
  output: Output,
  command: () => Promise<ExitCode>,
): Promise<ExitCode> {
  try {
    return await command();
  } catch (err) {
    if (err instanceof TableError) {
      for (const fault of err.faults) {
        output.printDiagnostic(`error: ${formatFault(fault)}`);
      }
      return EXIT.refused;
    }
    if (!isExpectedError(err)) throw err;
    output.printDiagnostic(`error: ${err.message}`);
    return err instanceof StoreError ? EXIT.unreachable : EXIT.refused;
  }
}

function isExpectedError(err: unknown): err is Error {
  return (
    err instanceof StoreError ||
    err instanceof DocumentError ||
    err instanceof CommandError
  );
}
