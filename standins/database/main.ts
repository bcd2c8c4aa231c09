/** Command-line entry point: runs one stand-in database of a group. */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {createDatabase} from './index.js';
import {DEFAULT_DATABASE_OPTIONS as defaults, parsePeers} from './options.js';

const args = await yargs(hideBin(process.argv))
  .options({
    id: {type: 'string', demandOption: true},
    host: {type: 'string', default: defaults.host},
    port: {type: 'number', demandOption: true},
    'admin-port': {type: 'number', demandOption: true},
    peers: {
      type: 'string',
      default: '',
      describe: 'the other databases of the group, as id@host:adminPort,...',
    },
    primary: {type: 'boolean', default: false},
    slots: {type: 'number', default: defaults.slots},
    'max-connections': {type: 'number', default: defaults.maxConnections},
    'max-control-connections': {
      type: 'number',
      default: defaults.maxControlConnections,
    },
    'connect-cost-ms': {type: 'number', default: defaults.connectCostMs},
    'lag-ms': {type: 'number', default: defaults.lagMs},
    'link-ms': {type: 'number', default: defaults.linkMs},
    'service-ms': {type: 'number', default: defaults.serviceMs},
    'node-user': {type: 'string', default: defaults.nodeUser},
    'node-password': {type: 'string', default: defaults.nodePassword},
  })
  .strict()
  .parseAsync();

const database = await createDatabase({
  id: args.id,
  host: args.host,
  port: args.port,
  adminPort: args.adminPort,
  peers: parsePeers(args.peers),
  primary: args.primary,
  slots: args.slots,
  maxConnections: args.maxConnections,
  maxControlConnections: args.maxControlConnections,
  connectCostMs: args.connectCostMs,
  lagMs: args.lagMs,
  linkMs: args.linkMs,
  serviceMs: args.serviceMs,
  nodeUser: args.nodeUser,
  nodePassword: args.nodePassword,
});

process.stdout.write(
  `database=${database.id} port=${database.port} adminPort=${database.adminPort} state=listening\n`,
);

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    void database.close().then(() => process.exit(0));
  });
}
