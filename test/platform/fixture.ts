/**
 * Runs nodes in the test process against fakes of the platform's store, failover
 * API (`duties`) and databases.
 */
import {isDeepStrictEqual} from 'node:util';
import {findPorts} from '../../demo/ports.js';
import {CallerPort} from '../../platform/caller-port.js';
import {CatalogDecoder} from '../../platform/catalog.js';
import {DatabaseConnector} from '../../platform/database-connector.js';
import {PlatformFailoverOrders} from '../../platform/failover-orders.js';
import {HttpClient} from '../../platform/http-client.js';
import {PlatformStore} from '../../platform/store.js';
import {StatementNode} from '../../src/node/statement-node.js';
import {createLogger, type Logger} from '../../src/telemetry/log.js';
import {FailoverOrderServer} from '../../standins/kv/failover-orders.js';
import {KvServer} from '../../standins/kv/server.js';
import type {LineDatabase} from '../../standins/lines/database.js';
import {LineGroup, type LineGroupOptions} from '../../standins/lines/group.js';
import {LineClient} from './line-client.js';
import {NodeStore} from './node-store.js';

const HOST = '127.0.0.1';
/** Configuration age above which nodes refuse statements that need a key. */
export const KEY_LIMIT_MS = 3_000;
export const GRACE_MS = 3_000;
/** Time from a database's announcement until it may get no new statement. */
export const DRAIN_MS = 3_000;
/** Time from a request to evacuate a data centre until it must be unused. */
export const EVACUATE_MS = 5_000;

/** A running node, its port for callers and its log lines. */
export interface RunningNode {
  readonly id: string;
  readonly node: StatementNode;
  readonly callers: CallerPort;
  readonly port: number;
  readonly lines: string[];
  /** The store as this node reaches it. */
  readonly store: NodeStore;
  /** Stops the node as a kill does: nobody is told, its leases run out. */
  kill(): Promise<void>;
}

/** Overrides of the operators' default configuration. */
export interface ConfigOverrides {
  readonly version?: number;
  /** Keys of the team `red`. */
  readonly keys?: readonly string[];
  /** Keys of the team `blue`. */
  readonly blueKeys?: readonly string[];
  /** Rate and burst of the team `red`. */
  readonly rate?: number;
  readonly burst?: number;
  /** Idle timeout of transactions. */
  readonly idleMs?: number;
  /** Time limit of a statement. */
  readonly timeoutMs?: number;
  /** Requests a second that a cold database may get; no limit by default. */
  readonly coldPerS?: number;
}

/** Options of the database group and the placement of nodes and databases. */
export interface PlatformOptions extends Partial<LineGroupOptions> {
  /**
   * Data centres, assigned round robin to the nodes and to the databases; all in
   * one by default.
   */
  readonly dataCentres?: readonly string[];
  /** Time from a database's announcement until it may get no new statement. */
  readonly drainMs?: number;
  /** Time from a request to evacuate a data centre until it must be unused. */
  readonly evacuateMs?: number;
  /** Whether the nodes share their load. */
  readonly sharesLoad?: boolean;
}

/**
 * A fleet of nodes with a fake platform: the store, the failover API and one
 * database group. Routes: `now` reads from the primary, `recent` with bounded
 * staleness, `own` with session consistency and `open` likewise without a key.
 */
export class Platform {
  readonly store: KvServer;
  readonly duties: FailoverOrderServer;
  readonly group: LineGroup;
  readonly nodes: RunningNode[] = [];
  readonly #dataCentres: readonly string[];
  readonly #drainMs: number;
  readonly #evacuateMs: number;
  readonly #sharesLoad: boolean;
  readonly #draining = new Set<string>();
  /** Called with each promotion order that was carried out. */
  onOrder: (holder: string) => void = () => {};
  /** Number of announcements so far, which orders those of each database. */
  #announcements = 0;

  private constructor(
    store: KvServer,
    duties: FailoverOrderServer,
    group: LineGroup,
    dataCentres: readonly string[],
    drainMs: number,
    evacuateMs: number,
    sharesLoad: boolean,
  ) {
    this.store = store;
    this.duties = duties;
    this.group = group;
    this.#dataCentres = dataCentres;
    this.#drainMs = drainMs;
    this.#evacuateMs = evacuateMs;
    this.#sharesLoad = sharesLoad;
  }

  static async start(
    nodes: number,
    {
      dataCentres = ['hobart'],
      drainMs = DRAIN_MS,
      evacuateMs = EVACUATE_MS,
      sharesLoad = false,
      ...options
    }: PlatformOptions = {},
    config: ConfigOverrides = {},
  ): Promise<Platform> {
    const store = await KvServer.start();
    const group = await LineGroup.start({
      name: 'claims',
      databases: 3,
      ...options,
    });
    const duties = await FailoverOrderServer.start(({id, token, holder}) => {
      const isDone = group.promote(id, token);
      if (isDone) platform.onOrder(holder);
      const effectMs = options.promoteMs ?? 0;
      setTimeout(() => platform.announceAll(), effectMs + 100);
      return isDone;
    });
    const platform = new Platform(
      store,
      duties,
      group,
      dataCentres,
      drainMs,
      evacuateMs,
      sharesLoad,
    );
    platform.configure(config);
    platform.announceAll();
    for (let n = 0; n < nodes; n++) await platform.addNode();
    await platform.waitUntilSettled();
    return platform;
  }

  /** Writes the operators' configuration to the store. */
  configure(overrides: ConfigOverrides): void {
    const {
      version = 1,
      keys = ['red-key'],
      blueKeys = ['blue-key'],
      rate = 10_000,
      burst = 10_000,
    } = overrides;
    const route = (database: string, type: string, rest = {}) => ({
      name: database,
      database,
      type,
      timeout_ms: overrides.timeoutMs ?? 800,
      target_latency_ms: 400,
      priority: type === 'primary' ? 1 : 2,
      service: this.group.name,
      public: false,
      ...rest,
    });
    this.store.put(
      'op/config',
      JSON.stringify({
        version,
        routes: [
          route('now', 'primary'),
          route('recent', 'bounded_staleness', {max_staleness_ms: 1_000}),
          route('own', 'read_your_writes', {max_staleness_ms: 2_000}),
          route('open', 'read_your_writes', {
            max_staleness_ms: 2_000,
            public: true,
          }),
        ],
        services: [
          {
            name: this.group.name,
            max_connections: 16,
            cold_per_s: overrides.coldPerS ?? 0,
          },
        ],
        limits: {tx_idle_ms: overrides.idleMs ?? 3_000},
        tenants: [
          {name: 'red', api_keys: keys, rate_per_s: rate, burst},
          {name: 'blue', api_keys: blueKeys, rate_per_s: 1e4, burst: 1e4},
        ],
      }),
    );
  }

  /**
   * Writes the announcements of running databases and removes those of stopped
   * ones. Unresponsive (`dark`) databases keep theirs.
   */
  announceAll(): void {
    for (const [n, server] of this.group.databases.entries()) {
      const key = `servers/${server.id}`;
      if (server.faults.unresponsive) continue;
      if (server.isStopped) {
        this.store.remove(key);
        continue;
      }
      const entry = {
        service: this.group.name,
        address: `${HOST}:${server.port}`,
        zone: this.#dataCentreOf(n),
        version: 'v1',
        slots: 2,
        state: this.#draining.has(server.id) ? 'draining' : 'ready',
        db_role: server.isPrimary ? 'primary' : 'replica',
        born: 1,
      };
      if (this.#isAnnounced(key, entry)) continue;
      const sequence = ++this.#announcements;
      this.store.put(key, JSON.stringify({...entry, sequence}));
    }
  }

  /** Whether the store holds this announcement, under any sequence. */
  #isAnnounced(key: string, entry: object): boolean {
    const text = this.store.get(key);
    if (text === undefined) return false;
    const known = JSON.parse(text) as Record<string, unknown>;
    return isDeepStrictEqual({...known, sequence: 0}, {...entry, sequence: 0});
  }

  /** Announces that a database drains; it goes on serving. */
  drain(database: LineDatabase): void {
    this.#draining.add(database.id);
    this.announceAll();
  }

  /** Requests the evacuation of a data centre. */
  evacuate(dataCentre: string): void {
    this.store.put(`op/evacuate/${dataCentre}`, '{}');
  }

  /** Ends the evacuation of a data centre. */
  restore(dataCentre: string): void {
    this.store.remove(`op/evacuate/${dataCentre}`);
  }

  /** Announces how much longer a database remains cold. */
  announceCold(database: LineDatabase, remainingMs: number): void {
    const key = `servers/${database.id}`;
    const known = JSON.parse(this.store.get(key) ?? '{}') as object;
    const sequence = ++this.#announcements;
    const cold = {cold_remaining_ms: remainingMs};
    this.store.put(key, JSON.stringify({...known, ...cold, sequence}));
  }

  /** Starts a node and its port for callers. */
  async addNode(): Promise<RunningNode> {
    const id = `node-${this.nodes.length + 1}`;
    const [peerPort, port] = (await findPorts(2)) as [number, number];
    const lines: string[] = [];
    const log: Logger = createLogger('info', {vm: id}, line =>
      lines.push(line),
    );
    const decoder = new CatalogDecoder(log);
    const address = (port: number) => new HttpClient({host: HOST, port});
    const store = new NodeStore(new PlatformStore(address(this.store.port)));
    const node = new StatementNode({
      id,
      host: HOST,
      dataCentre: this.#dataCentreOf(this.nodes.length),
      peerPort,
      cores: 1,
      sharesLoad: this.#sharesLoad,
      maxCatalogAgeMs: KEY_LIMIT_MS,
      rateWindowMs: 5_000,
      rateSlack: 0,
      minLeaseMs: 1_000,
      graceMs: GRACE_MS,
      drainMs: this.#drainMs,
      evacuateMs: this.#evacuateMs,
      pacing: false,
      coldOverage: 1.5,
      coldSlack: 5,
      log,
      store: store.client,
      decode: change => decoder.decode(change),
      connector: new DatabaseConnector(),
      orders: new PlatformFailoverOrders(address(this.duties.port)),
    });
    await node.start();
    const callers = new CallerPort(node, log);
    await callers.listen({host: HOST, port});
    const kill = async () => {
      store.isKilled = true;
      callers.close();
      await node.stop();
    };
    const running = {id, node, callers, port, lines, store, kill};
    this.nodes.push(running);
    return running;
  }

  #dataCentreOf(n: number): string {
    return this.#dataCentres[n % this.#dataCentres.length]!;
  }

  /** Waits until every node is ready and has had time to learn the others. */
  async waitUntilSettled(): Promise<void> {
    await waitUntil(() => this.nodes.every(({node}) => node.isReady));
    const {length} = this.nodes;
    await waitUntil(() => this.store.keys('zinnia/members/').length >= length);
    await sleep(300);
  }

  /** Opens a session at the node with index `at`; `start` is `database key`. */
  async session(start: string, at = 0): Promise<LineClient> {
    const {client, hello} = await LineClient.open(this.nodes[at]!.port, start);
    if (!hello.startsWith('READY')) throw new Error(hello);
    return client;
  }

  async stop(): Promise<void> {
    this.store.faults.silent = false;
    await Promise.all(this.nodes.map(({node}) => node.stop()));
    await Promise.all([
      this.store.stop(),
      this.duties.stop(),
      this.group.stop(),
    ]);
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Polls until the condition holds; throws after `ms`. */
export async function waitUntil(
  condition: () => boolean,
  ms = 10_000,
): Promise<void> {
  const until = Date.now() + ms;
  while (!condition()) {
    if (Date.now() > until)
      throw new Error('the condition was not met in time');
    await sleep(10);
  }
}
