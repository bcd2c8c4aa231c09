/** A complete local deployment: store, databases and nodes, each as a process. */
import {EtcdStore} from '../src/infra/etcd-store.js';
import {SystemClock, SystemRandom} from '../src/infra/clock.js';
import {ConfigEditor} from '../src/rollout/editor.js';
import {getJson, postJson} from './admin-client.js';
import {writeConfiguration, type TableOptions} from './fleet-config.js';
import {
  DATABASES_PER_GROUP,
  HOST,
  startGroupDatabases,
  startNode,
  startReplica,
  startStore,
  type FleetDatabase,
  type FleetNode,
  type NodeAddress,
} from './fleet-members.js';
import {findPorts} from './ports.js';
import type {FleetProcess} from './processes.js';

export {TARGET_PASSWORD, TARGET_USER, toVmRecord} from './fleet-members.js';
export type {FleetDatabase, FleetNode} from './fleet-members.js';

/** Options of a fleet; omitted ones take defaults. */
export interface FleetOptions extends TableOptions {
  readonly nodes?: number;
  readonly lagMs?: number;
  readonly serviceMs?: number;
  readonly logLevel?: string;
  readonly env?: Readonly<Record<string, string>>;
}

/** A running fleet of nodes with its databases and store. */
export class Fleet {
  readonly nodes: FleetNode[] = [];
  readonly databases: FleetDatabase[] = [];
  readonly #options: FleetOptions;
  readonly #storePort: number;
  readonly #editor: ConfigEditor;
  #keys: ReadonlyMap<string, string> = new Map();
  #addresses: readonly NodeAddress[] = [];
  #store: FleetProcess | undefined;

  private constructor(options: FleetOptions, storePort: number) {
    this.#options = options;
    this.#storePort = storePort;
    this.#editor = new ConfigEditor({
      store: new EtcdStore({url: this.storeUrl}),
      clock: new SystemClock(),
      random: new SystemRandom(),
    });
  }

  /** Starts all processes; resolves once every node serves callers. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const {profile, nodes = 7} = options;
    const databases = profile.groups.length * DATABASES_PER_GROUP;
    const ports = [...(await findPorts(1 + databases * 2 + nodes * 3))];
    const takePort = () => ports.pop() ?? 0;
    const fleet = new Fleet(options, takePort());
    try {
      await fleet.#startAll(nodes, takePort);
      return fleet;
    } catch (err) {
      await fleet.stop();
      throw err;
    }
  }

  get storeUrl(): string {
    return `http://${HOST}:${this.#storePort}`;
  }

  /** Edits the configuration in the fleet's store. */
  get editor(): ConfigEditor {
    return this.#editor;
  }

  /** API keys by team name. */
  get keys(): ReadonlyMap<string, string> {
    return this.#keys;
  }

  /** The process of the store stand-in. */
  get storeProcess(): FleetProcess {
    if (this.#store === undefined) throw new Error('start the fleet first');
    return this.#store;
  }

  /** Kills all processes of the fleet. */
  async stop(): Promise<void> {
    const members = [...this.nodes, ...this.databases];
    const all = [...members.map(({process}) => process), this.#store];
    await Promise.all(all.map(process => process?.kill()));
  }

  /** Posts to a fault control of the store stand-in, such as `outage`. */
  controlStore(name: string, body: unknown): Promise<void> {
    return postJson(`${this.storeUrl}/standin/${name}`, body);
  }

  /** Posts to a control of a database stand-in, such as `freeze` or `partition`. */
  controlDatabase(
    database: FleetDatabase,
    name: string,
    body: unknown,
  ): Promise<void> {
    return postJson(adminUrl(database, name), body);
  }

  /** Reads JSON from the admin port of a database stand-in. */
  readDatabase<Value>(database: FleetDatabase, path: string): Promise<Value> {
    return getJson(adminUrl(database, path));
  }

  /** Reads JSON from a node's admin port. */
  readNode<Value>(node: FleetNode, path: string): Promise<Value> {
    return getJson(adminUrl(node, path));
  }

  /** Starts a new process for a node; resolves once it serves callers. */
  async restartNode(node: FleetNode): Promise<void> {
    node.process = this.#startNode(node);
    await node.process.waitFor('event=nodeStarted');
  }

  /** Starts a new, empty process for a database, as a replica. */
  restartDatabase(database: FleetDatabase): void {
    database.process = startReplica(database);
  }

  /**
   * Returns the primary of a group according to the first node that answers and
   * knows one; undefined if none does.
   */
  async findPrimary(group: string): Promise<FleetDatabase | undefined> {
    for (const node of this.nodes) {
      const status = await this.readNode<GroupsResponse>(node, 'groups').catch(
        () => undefined,
      );
      const view = status?.views.find(({name}) => name === group);
      if (view?.primaryId === undefined) continue;
      return this.databases.find(({spec}) => spec.id === view.primaryId);
    }
    return undefined;
  }

  async #startAll(nodes: number, takePort: () => number): Promise<void> {
    const {profile, lagMs = 10, serviceMs = 1} = this.#options;
    const settings = {profile, lagMs, serviceMs};
    for (const group of profile.groups) {
      this.databases.push(...startGroupDatabases(group, settings, takePort));
    }
    this.#addresses = this.#assignNodeAddresses(nodes, takePort);
    await this.#startStore();
    await waitForAll(this.databases, 'state=listening');
    this.#keys = await writeConfiguration(this.#editor, this.#options);
    for (const address of this.#addresses) {
      this.nodes.push({...address, process: this.#startNode(address)});
    }
    await waitForAll(this.nodes, 'event=nodeStarted');
  }

  #assignNodeAddresses(
    count: number,
    takePort: () => number,
  ): readonly NodeAddress[] {
    const {dataCentres} = this.#options.profile;
    return Array.from({length: count}, (_, index) => ({
      vm: `vm${index + 1}`,
      port: takePort(),
      peerPort: takePort(),
      adminPort: takePort(),
      dataCentre: dataCentres[index % dataCentres.length] ?? '',
    }));
  }

  async #startStore(): Promise<void> {
    const groups = this.#options.profile.groups.map(name => ({
      name,
      databases: this.databases
        .filter(({group}) => group === name)
        .map(({spec}) => spec),
    }));
    this.#store = startStore(this.#storePort, this.#addresses, groups);
    await this.#store.waitFor('store stand-in');
  }

  #startNode(address: NodeAddress): FleetProcess {
    const {logLevel = 'info', env = {}} = this.#options;
    const seeds = this.#addresses;
    const {storeUrl} = this;
    return startNode(address, {storeUrl, seeds, logLevel, env});
  }
}

interface GroupsResponse {
  readonly views: readonly {
    readonly name: string;
    readonly primaryId?: string;
  }[];
}

function adminUrl(member: {readonly adminPort: number}, path: string): string {
  return `http://${HOST}:${member.adminPort}/${path}`;
}

async function waitForAll(
  members: readonly {readonly process: FleetProcess}[],
  text: string,
): Promise<void> {
  await Promise.all(members.map(({process}) => process.waitFor(text)));
}
