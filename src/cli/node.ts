/** `zinnia node`: runs the daemon. */
import type {Argv, CommandModule} from 'yargs';
import {Node} from '../node/node.js';
import {
  describeSettings,
  resolveSettings,
  SettingsError,
  type NodeSettings,
} from '../node/settings.js';
import {createLogger} from '../telemetry/log.js';
import {EXIT} from './exit-codes.js';

type NodeArgs = Readonly<Record<string, unknown>>;

/** The yargs module of `zinnia node`; each flag has a `ZINNIA_*` variable. */
export const nodeCommand: CommandModule<object, NodeArgs> = {
  command: 'node',
  describe: 'run a node: entry for callers and home of database groups',
  builder: yargs => addSettingsFlags(yargs),
  handler: args => runNode(args),
};

function addSettingsFlags(yargs: Argv): Argv<NodeArgs> {
  for (const {flag, variable, description, fallback} of describeSettings()) {
    const suffix =
      fallback === undefined ? '' : `, default ${fallback || 'none'}`;
    yargs.option(flag, {
      type: 'string',
      describe: `${description} (${variable}${suffix})`,
    });
  }
  return yargs as Argv<NodeArgs>;
}

async function runNode(args: NodeArgs): Promise<void> {
  const settings = tryReadSettings(args);
  if (settings === undefined) return process.exit(EXIT.usage);
  const log = createLogger(settings.logLevel, {vm: settings.vm});
  const node = new Node(settings, log);
  const shutDown = () => {
    node.shutDown().then(
      () => process.exit(0),
      (err: unknown) => {
        log.error('shutdownFailed', {message: String(err)});
        process.exit(1);
      },
    );
  };
  // Further signals join the shutdown: without a listener they end the process.
  process.on('SIGTERM', shutDown);
  process.on('SIGINT', shutDown);
  process.on('unhandledRejection', reason =>
    log.error('unhandledRejection', {
      message: reason instanceof Error ? (reason.stack ?? '') : String(reason),
    }),
  );
  await node.start();
}

function tryReadSettings(args: NodeArgs): NodeSettings | undefined {
  const flags: Record<string, string> = {};
  for (const {flag} of describeSettings()) {
    if (typeof args[flag] === 'string') flags[flag] = args[flag];
  }
  try {
    return resolveSettings(flags, process.env);
  } catch (err) {
    if (!(err instanceof SettingsError)) throw err;
    console.error(err.message);
    return undefined;
  }
}
