#!/usr/bin/env node
/** The `zinnia` command line. */
import yargs, {type CommandModule} from 'yargs';
import {hideBin} from 'yargs/helpers';
import {operatorCommands} from './commands.js';
import {EXIT} from './exit-codes.js';
import {nodeCommand} from './node.js';

const commands: readonly CommandModule[] = [
  nodeCommand as CommandModule,
  ...operatorCommands,
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
    // A YError is a usage error, such as a value that an option's coerce rejects.
    if (err && err.name !== 'YError') throw err;
    console.error(`${message}\n`);
    parser.showHelp('error');
    process.exit(EXIT.usage);
  });
for (const command of commands) cli.command(command);
await cli.parseAsync();
