/** A database group and the caller servers in front of it, in this process. */
import type {SecureContext} from 'node:tls';
import pg from 'pg';
import {afterAll, afterEach, beforeAll, expect, vi} from 'vitest';
import {
  createDatabaseGroup,
  type Database,
  type DatabaseOptions,
} from '../../standins/database/index.js';
import {CallerServer} from '../../src/callers/caller-server.js';
import type {CancelKey} from '../../src/callers/startup.js';
import type {StatementSample} from '../../src/telemetry/statement-metrics.js';
import {HomeService} from '../../src/home/home-service.js';
import {SystemClock, SystemRandom} from '../../src/infra/clock.js';
import {createClassifier} from '../../src/routing/classify.js';
import {DEFAULT_MAX_WAIT_MS} from '../../src/routing/replica-choice.js';
import {TokenSigner} from '../../src/session/token-signer.js';
import {PgDatabaseControl} from '../../src/targets/database-control.js';
import {PgTargetConnection} from '../../src/targets/pg-connection.js';
import {createLogger} from '../../src/telemetry/log.js';
import {createDatabaseSpec} from '../fakes/database-spec.js';
import {createGroupRow} from '../rollout/rows.js';
import {FakeAccess, FakeAdmission, GROUP, keyOf} from './fakes.js';
import {WireClient} from './wire-client.js';

const HOST = '127.0.0.1';
const CREDENTIALS = {user: 'zinnia', password: 'zinnia'};
const TOKEN_SECRET = 'token-secret-of-the-tests';
const CONNECT_TIMEOUT_MS = 2_000;
const DRAIN_MS = 2_000;
/** Options of `vi.waitFor`. */
export const WAIT_OPTIONS = {timeout: 10_000, interval: 10};

/** Overrides of the harness's defaults. */
export interface HarnessOptions {
  readonly databases?: Partial<DatabaseOptions>;
  readonly tls?: SecureContext;
  readonly maxCallers?: number;
  readonly deadlineMs?: number;
}

/** A caller server with its home service and its metrics samples. */
export interface CallerNode {
  readonly server: CallerServer;
  readonly homes: HomeService;
  readonly samples: readonly StatementSample[];
}

/** Options of a client connection. */
export interface ConnectOptions extends pg.ClientConfig {
  readonly team?: string;
  readonly node?: CallerNode;
}

/** A `pg` client that stores the session token last reported to it. */
export interface TestClient extends pg.Client {
  token?: string;
}

/** A database group, its servers and the clients of a test. */
export class Harness {
  readonly access = new FakeAccess();
  readonly admission = new FakeAdmission();
  readonly forwardedCancels: CancelKey[] = [];
  databases: readonly Database[] = [];
  /** Slots of each database in the group's description. */
  slots = 2;
  readonly nodes: CallerNode[] = [];
  readonly #options: HarnessOptions;
  readonly #clients: TestClient[] = [];
  readonly #wires: WireClient[] = [];

  constructor(options: HarnessOptions) {
    this.#options = options;
  }

  /** The first server. */
  get node(): CallerNode {
    const [node] = this.nodes;
    if (node === undefined) throw new Error('start the harness first');
    return node;
  }

  get primary(): Database {
    const primary = this.databases.find(
      database => database.member.role === 'primary',
    );
    if (primary === undefined) throw new Error('the group has no primary');
    return primary;
  }

  get replicas(): readonly Database[] {
    return this.databases.filter(
      database => database.member.role === 'replica',
    );
  }

  async start(): Promise<void> {
    this.databases = await createDatabaseGroup(3, {
      connectCostMs: 0,
      serviceMs: 0,
      lagMs: 5,
      maxControlConnections: 24,
      ...this.#options.databases,
    });
    for (const team of ['red', 'blue']) this.access.grant(team);
    await this.addNode();
  }

  /** Starts another server with its own home service. */
  async addNode(vm = `vm${this.nodes.length + 1}`): Promise<CallerNode> {
    const samples: StatementSample[] = [];
    const homes = this.#createHomes(vm);
    const clock = new SystemClock();
    const server = new CallerServer({
      vm,
      host: HOST,
      port: 0,
      maxCallers: this.#options.maxCallers ?? 200,
      tls: this.#options.tls,
      forwardCancel: key => void this.forwardedCancels.push(key),
      deps: {
        access: this.access,
        admission: this.admission,
        executor: homes,
        classifier: createClassifier(),
        signer: new TokenSigner(TOKEN_SECRET),
        clock,
        log: createLogger('silent'),
        deadlineMs: this.#options.deadlineMs ?? 5_000,
        observe: sample => void samples.push(sample),
      },
    });
    await server.listen();
    homes.start();
    const node = {server, homes, samples};
    this.nodes.push(node);
    return node;
  }

  /** Connects a `pg` client. */
  async connect(options: ConnectOptions = {}): Promise<TestClient> {
    const {team = 'red', node = this.node, ...config} = options;
    const client: TestClient = new pg.Client({
      host: HOST,
      port: node.server.port,
      user: team,
      password: keyOf(team),
      database: GROUP,
      ...config,
    });
    client.on('error', () => {});
    const {connection} = client as unknown as {
      connection: NodeJS.EventEmitter;
    };
    connection.on('parameterStatus', ({parameterName, parameterValue}) => {
      if (parameterName === 'zinnia.session') client.token = parameterValue;
    });
    this.#clients.push(client);
    await client.connect();
    return client;
  }

  /** Opens a raw connection, to send and receive single messages. */
  async connectWire(node = this.node): Promise<WireClient> {
    const wire = await WireClient.connect(node.server.port);
    this.#wires.push(wire);
    return wire;
  }

  /** Opens a raw connection and logs in. */
  async logInWire(): Promise<WireClient> {
    const wire = await this.connectWire();
    await wire.logIn();
    return wire;
  }

  /** Waits until the home has this many running batches and open transactions. */
  async waitForActive(count: number): Promise<void> {
    const {homes} = this.node;
    await vi.waitFor(() => expect(homes.active).toBe(count), WAIT_OPTIONS);
  }

  /** Closes the clients and restores the default settings. */
  async reset(): Promise<void> {
    for (const wire of this.#wires.splice(0)) wire.destroy();
    await Promise.all(
      this.#clients.splice(0).map(client => client.end().catch(() => {})),
    );
    this.access.staleMs = 60_000;
    this.access.open = false;
    this.slots = 2;
    this.admission.refuseWithRetryMs = undefined;
    for (const team of ['red', 'blue']) this.access.grant(team);
  }

  async stop(): Promise<void> {
    await this.reset();
    for (const {server, homes} of this.nodes) {
      await server.drain(DRAIN_MS);
      homes.stop();
    }
    await Promise.all(this.databases.map(database => database.close()));
  }

  #createHomes(vm: string): HomeService {
    const describe = () => ({
      name: GROUP,
      databases: this.databases.map(({id, port}, index) =>
        createDatabaseSpec(id, {
          port,
          provider: index === 2 ? 'new' : 'old',
          slots: this.slots,
        }),
      ),
    });
    return new HomeService({
      clock: new SystemClock(),
      random: new SystemRandom(),
      dataCentre: 'hobart',
      instanceId: vm,
      access: {
        control: database => new PgDatabaseControl(database, CREDENTIALS),
        connect: ({host, port}) =>
          PgTargetConnection.connect({
            host,
            port,
            ...CREDENTIALS,
            database: 'app',
            timeoutMs: CONNECT_TIMEOUT_MS,
          }),
      },
      reachability: {canReach: async () => [false, false]},
      groups: () => [describe()],
      row: name =>
        createGroupRow(name, {oldWeight: 50, newWeight: 50, staleMs: 60_000}),
      weightOf: () => 1,
      replicaWaitMs: DEFAULT_MAX_WAIT_MS,
      isFirstHome: () => true,
      onFailover: () => {},
    });
  }
}

/** Shares a harness among the tests of a file; resets it after each test. */
export function useHarness(options: HarnessOptions = {}): Harness {
  const harness = new Harness(options);
  beforeAll(() => harness.start());
  afterEach(() => harness.reset());
  afterAll(() => harness.stop());
  return harness;
}
