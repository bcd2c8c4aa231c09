/** A whole deployment on this machine: store, databases and nodes. */
import type {DatabaseSpec, GroupSpec} from '../src/groups/types.js';
import {grantKey} from '../src/cli/key-grant.js';
import {EtcdStore} from '../src/platform/etcd-store.js';
import {SystemClock, SystemRandom} from '../src/platform/clock.js';
import type {VmRecord} from '../src/platform/vm-list.js';
import {ConfigEditor} from '../src/rollout/editor.js';
import type {GroupRow, TableRow, TeamRow} from '../src/rollout/table.js';
import {FleetProcess, findPorts} from './processes.js';
import type {Profile} from './profiles.js';

const HOST = '127.0.0.1';
/** The user that nodes log in to databases with. */
export const TARGET_USER = 'zinnia';
/** Its password. */
export const TARGET_PASSWORD = 'target-password-of-the-nodes';
const TOKEN_SECRET = 'token-secret-of-the-demo-fleet';
const PEER_SECRET = 'peer-secret-of-the-demo-fleet';
const DATABASES_PER_GROUP = 3;
const CONTROL_CONNECTIONS = 24;

/** How a fleet differs from the profile's defaults. */
export interface FleetOptions {
  readonly profile: Profile;
  readonly nodes?: number;
  readonly lagMs?: number;
  readonly serviceMs?: number;
  readonly ack?: GroupRow['ack'];
  readonly staleMs?: number;
  readonly teams?: readonly Partial<TeamRow>[];
  readonly logLevel?: string;
  readonly env?: Readonly<Record<string, string>>;
}

/** A node of the fleet. */
export interface FleetNode {
  readonly vm: string;
  readonly port: number;
  readonly peerPort: number;
  readonly adminPort: number;
  readonly dataCentre: string;
  process: FleetProcess;
}

/** A database of the fleet. */
export interface FleetDatabase {
  readonly group: string;
  readonly spec: DatabaseSpec;
  readonly adminPort: number;
  readonly args: readonly string[];
  process: FleetProcess;
}

/** A running deployment. */
export class Fleet {
  readonly nodes: FleetNode[] = [];
  readonly databases: FleetDatabase[] = [];
  /** One key for each team. */
  readonly keys = new Map<string, string>();
  readonly #options: FleetOptions;
  #store!: FleetProcess;
  #storeUrl = '';
  #editor!: ConfigEditor;

  private constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** Starts everything; resolves once every node serves callers. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options);
    try {
      await fleet.#startAll();
      return fleet;
    } catch (err) {
      await fleet.stop();
      throw err;
    }
  }

  get storeUrl(): string {
    return this.#storeUrl;
  }

  get storeProcess(): FleetProcess {
    return this.#store;
  }

  get editor(): ConfigEditor {
    return this.#editor;
  }

  /** Ends every process of the fleet. */
  async stop(): Promise<void> {
    const all = [
      ...this.nodes.map(node => node.process),
      ...this.databases.map(database => database.process),
      this.#store,
    ];
    await Promise.all(all.map(one => one?.kill()));
  }

  /** Turns a switch of the store's stand-in. */
  async storeSwitch(name: string, body: unknown): Promise<void> {
    await post(`${this.#storeUrl}/standin/${name}`, body);
  }

  /** Turns a switch of a database's stand-in. */
  async databaseSwitch(
    database: FleetDatabase,
    name: string,
    body: unknown,
  ): Promise<void> {
    await post(`http://${HOST}:${database.adminPort}/${name}`, body);
  }

  /** Reads JSON from a database's stand-in. */
  readDatabase<Value>(database: FleetDatabase, path: string): Promise<Value> {
    return getJson(`http://${HOST}:${database.adminPort}/${path}`);
  }

  /** Reads JSON from a node's admin port. */
  readNode<Value>(node: FleetNode, path: string): Promise<Value> {
    return getJson(`http://${HOST}:${node.adminPort}/${path}`);
  }

  /** Starts a node's process again, as after a restart of its VM. */
  async restartNode(node: FleetNode): Promise<void> {
    node.process = this.#spawnNode(node);
    await node.process.waitFor('event=nodeStarted');
  }

  /** Starts a database again, empty and as a replica. */
  restartDatabase(database: FleetDatabase): void {
    const args = database.args.filter(arg => arg !== '--primary');
    database.process = new FleetProcess('standins/database/main.js', args);
  }

  /** The group's primary as the databases report it. */
  async findPrimary(group: string): Promise<FleetDatabase | undefined> {
    const {nodes} = this;
    for (const node of nodes) {
      const status = await this.readNode<GroupsAnswer>(node, 'groups').catch(
        () => undefined,
      );
      const view = status?.views.find(({name}) => name === group);
      if (view?.primaryId === undefined) continue;
      return this.databases.find(({spec}) => spec.id === view.primaryId);
    }
    return undefined;
  }

  async #startAll(): Promise<void> {
    const {profile, nodes: nodeCount = 7} = this.#options;
    const databaseCount = profile.groups.length * DATABASES_PER_GROUP;
    const ports = [...(await findPorts(1 + databaseCount * 2 + nodeCount * 3))];
    const takePort = () => ports.pop() ?? 0;
    const storePort = takePort();
    this.#storeUrl = `http://${HOST}:${storePort}`;
    for (const group of profile.groups) this.#startGroup(group, takePort);
    this.#planNodes(nodeCount, takePort);
    await this.#startStore(storePort);
    await Promise.all(
      this.databases.map(({process}) => process.waitFor('state=listening')),
    );
    await this.#writeConfiguration();
    for (const node of this.nodes) node.process = this.#spawnNode(node);
    await Promise.all(
      this.nodes.map(({process}) => process.waitFor('event=nodeStarted')),
    );
  }

  #startGroup(group: string, takePort: () => number): void {
    const {profile, lagMs = 10, serviceMs = 1} = this.#options;
    const members = Array.from({length: DATABASES_PER_GROUP}, (_, index) => ({
      id: `${group}-${index + 1}`,
      port: takePort(),
      adminPort: takePort(),
      dataCentre: profile.dataCentres[index % profile.dataCentres.length] ?? '',
    }));
    for (const [index, member] of members.entries()) {
      const peers = members.filter(other => other !== member);
      const args = [
        `--id=${member.id}`,
        `--port=${member.port}`,
        `--admin-port=${member.adminPort}`,
        `--peers=${peers.map(p => `${p.id}@${HOST}:${p.adminPort}`).join(',')}`,
        `--slots=${profile.slots}`,
        `--max-connections=${profile.maxConnections}`,
        `--max-control-connections=${CONTROL_CONNECTIONS}`,
        `--connect-cost-ms=${profile.connectCostMs}`,
        `--lag-ms=${lagMs}`,
        `--service-ms=${serviceMs}`,
        `--node-user=${TARGET_USER}`,
        `--node-password=${TARGET_PASSWORD}`,
        ...(index === 0 ? ['--primary'] : []),
      ];
      this.databases.push({
        group,
        adminPort: member.adminPort,
        args,
        process: new FleetProcess('standins/database/main.js', args),
        spec: {
          id: member.id,
          host: HOST,
          port: member.port,
          dataCentre: member.dataCentre,
          provider: index === DATABASES_PER_GROUP - 1 ? 'new' : 'old',
          slots: profile.slots,
          maxConnections: profile.maxConnections,
        },
      });
    }
  }

  #planNodes(count: number, takePort: () => number): void {
    const {dataCentres} = this.#options.profile;
    for (let index = 0; index < count; index++) {
      this.nodes.push({
        vm: `vm${index + 1}`,
        port: takePort(),
        peerPort: takePort(),
        adminPort: takePort(),
        dataCentre: dataCentres[index % dataCentres.length] ?? '',
        process: undefined as unknown as FleetProcess,
      });
    }
  }

  async #startStore(port: number): Promise<void> {
    this.#store = new FleetProcess('standins/store/main.js', [
      `--port=${port}`,
      `--vms=${JSON.stringify(this.nodes.map(toVmRecord))}`,
      `--groups=${JSON.stringify(this.#groupSpecs())}`,
    ]);
    await this.#store.waitFor('store stand-in');
    const clock = new SystemClock();
    this.#editor = new ConfigEditor({
      store: new EtcdStore({url: this.#storeUrl}),
      clock,
      random: new SystemRandom(),
    });
  }

  #groupSpecs(): readonly GroupSpec[] {
    return this.#options.profile.groups.map(name => ({
      name,
      databases: this.databases
        .filter(({group}) => group === name)
        .map(({spec}) => spec),
    }));
  }

  /** Writes the table and grants every team a key, as operators would. */
  async #writeConfiguration(): Promise<void> {
    const edits = this.#rows().map(row => ({kind: 'put', row}) as const);
    const editor = this.#editor;
    await editor.edit({kind: 'rows', edits}, {id: 'demo-table', by: 'demo'});
    const clock = new SystemClock();
    for (const {name} of this.#options.profile.teams) {
      const identity = {id: `demo-key-${name}`, by: 'demo'};
      const {key} = await grantKey({editor, clock}, name, identity);
      this.keys.set(name, key.text);
    }
  }

  #rows(): readonly TableRow[] {
    const {
      profile,
      ack = 'replica',
      staleMs = 1_000,
      teams = [],
    } = this.#options;
    const groups = profile.groups.map((name): GroupRow => ({
      kind: 'group',
      name,
      oldWeight: 50,
      newWeight: 50,
      staleMs,
      ack,
      urgent: 'writes',
      open: false,
    }));
    const rows = profile.teams.map(({name, rate, burst}): TeamRow => ({
      kind: 'team',
      name,
      rate,
      burst,
      priority: 'urgent',
      ...teams.find(team => team.name === name),
    }));
    return [...groups, ...rows];
  }

  #spawnNode(node: FleetNode): FleetProcess {
    const {logLevel = 'info', env = {}} = this.#options;
    const seeds = this.nodes.map(
      ({vm, peerPort}) => `${vm}@${HOST}:${peerPort}`,
    );
    return new FleetProcess('src/cli/main.js', ['node'], {
      ZINNIA_VM: node.vm,
      ZINNIA_DATA_CENTRE: node.dataCentre,
      ZINNIA_HOST: HOST,
      ZINNIA_PORT: String(node.port),
      ZINNIA_PEER_PORT: String(node.peerPort),
      ZINNIA_ADMIN_PORT: String(node.adminPort),
      ZINNIA_STORE: this.#storeUrl,
      ZINNIA_SEEDS: seeds.join(','),
      ZINNIA_TARGET_USER: TARGET_USER,
      ZINNIA_TARGET_PASSWORD: TARGET_PASSWORD,
      ZINNIA_TOKEN_SECRET: TOKEN_SECRET,
      ZINNIA_PEER_SECRET: PEER_SECRET,
      ZINNIA_LOG_LEVEL: logLevel,
      ...env,
    });
  }
}

interface GroupsAnswer {
  readonly views: readonly {
    readonly name: string;
    readonly primaryId?: string;
  }[];
}

/** A node as the platform lists it. */
export function toVmRecord(node: FleetNode): VmRecord {
  return {
    id: node.vm,
    host: HOST,
    peerPort: node.peerPort,
    adminPort: node.adminPort,
    dataCentre: node.dataCentre,
    state: 'live',
  };
}

async function post(url: string, body: unknown): Promise<void> {
  const res = await fetch(url, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  if (!res.ok) throw new Error(`${url} answered ${res.status}`);
}

async function getJson<Value>(url: string): Promise<Value> {
  const res = await fetch(url);
  return (await res.json()) as Value;
}
