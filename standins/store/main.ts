/** Runs the store stand-in: `node dist/standins/store/main.js --port 2379`. */
import {readFileSync} from 'node:fs';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {GroupSpec} from '../../src/groups/types.js';
import type {VmRecord} from '../../src/infra/vm-list.js';
import {createStoreServer} from './server.js';

const DEFAULT_PORT = 2379;

/** Parses an option that is a JSON array or the path of a file with one. */
function readJsonOption<Value>(option: string | undefined): readonly Value[] {
  if (option === undefined) return [];
  const isJson = option.trimStart().startsWith('[');
  return JSON.parse(isJson ? option : readFileSync(option, 'utf8')) as Value[];
}

const args = await yargs(hideBin(process.argv))
  .option('port', {type: 'number', default: DEFAULT_PORT})
  .option('vms', {
    type: 'string',
    describe: 'JSON array of VMs, or the path of a file with one',
  })
  .option('groups', {
    type: 'string',
    describe: 'JSON array of database groups, or the path of a file with one',
  })
  .strict()
  .parse();

const server = await createStoreServer({
  port: args.port,
  vms: readJsonOption<VmRecord>(args.vms),
  groups: readJsonOption<GroupSpec>(args.groups),
});
console.log(`store stand-in url=${server.url}`);

const stop = () => void server.close().then(() => process.exit(0));
process.once('SIGINT', stop);
process.once('SIGTERM', stop);
