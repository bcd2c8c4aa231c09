/** Starts the processes of a fleet: nodes, databases and the store. */
import type {DatabaseSpec, GroupSpec} from '../src/groups/types.js';
import type {VmRecord} from '../src/infra/vm-list.js';
import {FleetProcess} from './processes.js';
import type {Profile} from './profiles.js';

/** Address that every process of a fleet listens on. */
export const HOST = '127.0.0.1';
/** User name with which nodes connect to databases. */
export const TARGET_USER = 'zinnia';
/** Password of {@link TARGET_USER}. */
export const TARGET_PASSWORD = 'target-password-of-the-nodes';
const TOKEN_SECRET = 'token-secret-of-the-demo-fleet';
const PEER_SECRET = 'peer-secret-of-the-demo-fleet';
/** Number of databases in each group. */
export const DATABASES_PER_GROUP = 3;
const CONTROL_CONNECTIONS = 24;
const DATABASE_SCRIPT = 'standins/database/main.js';

/** VM, ports and data centre of a node. */
export interface NodeAddress {
  readonly vm: string;
  readonly port: number;
  readonly peerPort: number;
  readonly adminPort: number;
  readonly dataCentre: string;
}

/** A node and its current process, which a restart replaces. */
export interface FleetNode extends NodeAddress {
  process: FleetProcess;
}

/** A database stand-in and its current process, which a restart replaces. */
export interface FleetDatabase {
  readonly group: string;
  readonly spec: DatabaseSpec;
  readonly adminPort: number;
  readonly args: readonly string[];
  process: FleetProcess;
}

/** Settings shared by the databases of a group. */
export interface DatabaseSettings {
  readonly profile: Profile;
  /** Replication lag. */
  readonly lagMs: number;
  /** Time that the database takes to run a statement. */
  readonly serviceMs: number;
}

/** Settings of a node other than its own addresses. */
export interface NodeSettings {
  readonly storeUrl: string;
  readonly seeds: readonly NodeAddress[];
  readonly logLevel: string;
  readonly env: Readonly<Record<string, string>>;
}

/** Starts the databases of a group, the first as primary and the others as replicas. */
export function startGroupDatabases(
  group: string,
  settings: DatabaseSettings,
  takePort: () => number,
): readonly FleetDatabase[] {
  const {profile} = settings;
  const {dataCentres, slots, maxConnections} = profile;
  const specs = Array.from({length: DATABASES_PER_GROUP}, (_, index) => ({
    spec: {
      id: `${group}-${index + 1}`,
      host: HOST,
      port: takePort(),
      dataCentre: dataCentres[index % dataCentres.length] ?? '',
      provider: index === DATABASES_PER_GROUP - 1 ? 'new' : 'old',
      slots,
      maxConnections,
    } as const,
    adminPort: takePort(),
  }));
  return specs.map((database, index) => {
    const peers = specs
      .filter(other => other !== database)
      .map(({spec, adminPort}) => `${spec.id}@${HOST}:${adminPort}`);
    const args = [
      ...createDatabaseArgs(database.spec, settings),
      `--admin-port=${database.adminPort}`,
      `--peers=${peers.join(',')}`,
      ...(index === 0 ? ['--primary'] : []),
    ];
    const process = new FleetProcess(DATABASE_SCRIPT, args);
    return {group, ...database, args, process};
  });
}

/** Starts a new, empty process for a database, as a replica. */
export function startReplica({args}: FleetDatabase): FleetProcess {
  const replicaArgs = args.filter(arg => arg !== '--primary');
  return new FleetProcess(DATABASE_SCRIPT, replicaArgs);
}

/** Starts the store stand-in with the platform's lists of VMs and groups. */
export function startStore(
  port: number,
  nodes: readonly NodeAddress[],
  groups: readonly GroupSpec[],
): FleetProcess {
  return new FleetProcess('standins/store/main.js', [
    `--port=${port}`,
    `--vms=${JSON.stringify(nodes.map(toVmRecord))}`,
    `--groups=${JSON.stringify(groups)}`,
  ]);
}

/** Starts the process of a node. */
export function startNode(
  node: NodeAddress,
  {storeUrl, seeds, logLevel, env}: NodeSettings,
): FleetProcess {
  return new FleetProcess('src/cli/main.js', ['node'], {
    ZINNIA_VM: node.vm,
    ZINNIA_DATA_CENTRE: node.dataCentre,
    ZINNIA_HOST: HOST,
    ZINNIA_PORT: String(node.port),
    ZINNIA_PEER_PORT: String(node.peerPort),
    ZINNIA_ADMIN_PORT: String(node.adminPort),
    ZINNIA_STORE: storeUrl,
    ZINNIA_SEEDS: seeds
      .map(({vm, peerPort}) => `${vm}@${HOST}:${peerPort}`)
      .join(','),
    ZINNIA_TARGET_USER: TARGET_USER,
    ZINNIA_TARGET_PASSWORD: TARGET_PASSWORD,
    ZINNIA_TOKEN_SECRET: TOKEN_SECRET,
    ZINNIA_PEER_SECRET: PEER_SECRET,
    ZINNIA_LOG_LEVEL: logLevel,
    ...env,
  });
}

/** Returns the entry of a node in the platform's VM list. */
export function toVmRecord(node: NodeAddress): VmRecord {
  return {
    id: node.vm,
    host: HOST,
    peerPort: node.peerPort,
    adminPort: node.adminPort,
    dataCentre: node.dataCentre,
    state: 'live',
  };
}

function createDatabaseArgs(
  spec: DatabaseSpec,
  {profile, lagMs, serviceMs}: DatabaseSettings,
): readonly string[] {
  return [
    `--id=${spec.id}`,
    `--port=${spec.port}`,
    `--slots=${spec.slots}`,
    `--max-connections=${spec.maxConnections}`,
    `--max-control-connections=${CONTROL_CONNECTIONS}`,
    `--connect-cost-ms=${profile.connectCostMs}`,
    `--lag-ms=${lagMs}`,
    `--service-ms=${serviceMs}`,
    `--node-user=${TARGET_USER}`,
    `--node-password=${TARGET_PASSWORD}`,
  ];
}
