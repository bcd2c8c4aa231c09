#!/usr/bin/env node
/** The `zinnia` command line. */
import yargs, {type CommandModule} from 'yargs';
import {hideBin} from 'yargs/helpers';
import {configurationCommands} from './commands.js';
import {EXIT} from './exit-codes.js';
import {nodeCommand} from './node.js';

const commands: readonly CommandModule[] = [
  nodeCommand as CommandModule,
  ...configurationCommands,
];

const cli = yargs(hideBin(process.argv))
  .scriptName('zinnia')
  .usage('$0 <command>\n\nA database proxy with session consistency.')
  .demandCommand(1, 'Name a command; see zinnia --help.')
  .strict()
  .recommendCommands()
  .completion('completion', 'print a shell completion script')
  .help()
  .fail((message, err, parser) => {
    // yargs raises its own for an option's value that is refused.
    if (err && err.name !== 'YError') throw err;
    console.error(`${message}\n`);
    parser.showHelp('error');
    process.exit(EXIT.usage);
  });
for (const command of commands) cli.command(command);
await cli.parseAsync();
