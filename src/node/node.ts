/** Assembles a node from the library's components. */
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {createSecureContext, type SecureContext} from 'node:tls';
import type {BudgetMessage} from '../admission/types.js';
import {CallerServer} from '../callers/caller-server.js';
import {vmHash, vmHashOf} from '../callers/cancel-keys.js';
import type {CancelKey} from '../callers/startup.js';
import {HomeRouter} from '../home/home-router.js';
import {toPeerAddress} from '../membership/member-entry.js';
import type {HomeService} from '../home/home-service.js';
import {
  createCoordination,
  type Coordination,
} from '../membership/coordination.js';
import {PeerPool} from '../peers/peer-pool.js';
import {PeerServer} from '../peers/peer-server.js';
import type {PeerHandler} from '../peers/types.js';
import {SystemClock, SystemRandom} from '../infra/clock.js';
import {EtcdStore} from '../infra/etcd-store.js';
import type {Store} from '../infra/store.js';
import type {VmRecord} from '../infra/vm-list.js';
import {createClassifier} from '../routing/classify.js';
import {TokenSigner} from '../session/token-signer.js';
import type {Logger} from '../telemetry/log.js';
import {StatementMetrics} from '../telemetry/statement-metrics.js';
import {ConfiguredAccess} from './access.js';
import {createAdminRoutes} from './admin-routes.js';
import {AdminServer} from './admin-server.js';
import {LiveConfig} from './live-config.js';
import {createBudgets} from './create-budgets.js';
import {createHomes} from './create-homes.js';
import {waitForConfig} from './first-config.js';
import {groupHomeOrder, type NodeContext} from './node-context.js';
import {BUDGET_METHOD} from './peer-ports.js';
import type {RenewableBudgets} from './renewable-budgets.js';
import type {NodeSettings} from './settings.js';

const CANCEL_METHOD = 'callers.cancel';
const CANCEL_TIMEOUT_MS = 1_000;
/** Maximum time to claim budgets at start before callers are served. */
const PREPARE_WAIT_MS = 2_000;

/** Ports that a running node listens on. */
export interface NodePorts {
  readonly callers: number;
  readonly admin: number;
}

/** A node: the entry of its own callers, and the home of some database groups. */
export class Node {
  readonly #settings: NodeSettings;
  readonly #log: Logger;
  readonly #clock = new SystemClock();
  readonly #random = new SystemRandom();
  readonly #instance = randomUUID().slice(0, 8);
  readonly #store: Store;
  readonly #peers: PeerPool;
  readonly #handlers = new Map<string, PeerHandler>();
  readonly #peerServer: PeerServer;
  readonly #coordination: Coordination;
  readonly #config: LiveConfig;
  readonly #access: ConfiguredAccess;
  readonly #context: NodeContext;
  readonly #budgets: RenewableBudgets;
  readonly #homes: HomeService;
  readonly #metrics: StatementMetrics;
  readonly #callers: CallerServer;
  readonly #admin: AdminServer;
  #draining = false;
  #shutdown: Promise<void> | undefined;

  constructor(settings: NodeSettings, log: Logger) {
    this.#settings = settings;
    this.#log = log;
    this.#store = new EtcdStore({url: settings.store});
    this.#peers = this.#createPeers();
    this.#coordination = this.#createCoordination();
    this.#config = new LiveConfig(this.#coordination.documents, log);
    this.#access = new ConfiguredAccess(
      this.#config,
      this.#coordination.standing,
    );
    this.#context = this.#createContext();
    this.#budgets = createBudgets(this.#context);
    this.#homes = createHomes(this.#context);
    this.#metrics = new StatementMetrics(this.#clock);
    this.#callers = this.#createCallers();
    this.#admin = this.#createAdmin();
    this.#peerServer = this.#createPeerServer();
    this.#config.onChange(() => this.#budgets.renewIfRetired());
    this.#config.onChange(() =>
      this.#callers.closeRevoked(authority => {
        const refusal = this.#access.recheck(authority);
        return refusal?.reason === 'notAuthorised' ? refusal : undefined;
      }),
    );
  }

  /** Opens the ports; resolves once the node accepts callers. */
  async start(): Promise<NodePorts> {
    const {host, adminPort, vm, dataCentre} = this.#settings;
    await this.#peerServer.listen();
    this.#coordination.start();
    this.#budgets.start();
    this.#homes.start();
    await waitForConfig(this.#context);
    await this.#prepareBudgets();
    await this.#callers.listen();
    await this.#admin.listen(host, adminPort);
    const ports = {callers: this.#callers.port, admin: this.#admin.port};
    this.#log.info('nodeStarted', {
      vm,
      dataCentre,
      instance: this.#instance,
      ...ports,
      peers: this.#peerServer.address.port,
    });
    return ports;
  }

  /**
   * Shuts down without interrupting a request: announces the departure, drains
   * sessions and homes, returns budget shares, then closes. Further calls join
   * the first one.
   */
  shutDown(): Promise<void> {
    this.#shutdown ??= this.#shutDown();
    return this.#shutdown;
  }

  async #shutDown(): Promise<void> {
    this.#draining = true;
    const {drainMs} = this.#settings;
    const until = this.#clock.now() + drainMs;
    const remainingMs = () => Math.max(0, until - this.#clock.now());
    this.#log.info('shutdownStarted', {sessions: this.#callers.sessions});
    await this.#coordination.leave();
    // Work that other nodes started earlier gets the same drain time as callers.
    this.#homes.refusePeers();
    const cut = await this.#callers.drain(remainingMs());
    await this.#homes.drain(remainingMs());
    await this.#budgets.stop();
    await this.#peerServer.close(remainingMs());
    await this.stop();
    this.#log.info('shutdownFinished', {cut});
  }

  /** Stops immediately, without waiting for running work. */
  async stop(): Promise<void> {
    this.#homes.stop();
    this.#admin.close();
    this.#peers.close();
    await this.#coordination.stop();
  }

  /**
   * Claims budgets, but waits no longer than `PREPARE_WAIT_MS`: there is nothing
   * to claim while the store is unavailable.
   */
  async #prepareBudgets(): Promise<void> {
    const prepared = this.#budgets.prepare().then(() => true);
    const timedOut = this.#clock.sleep(PREPARE_WAIT_MS).then(() => false);
    if (await Promise.race([prepared, timedOut])) return;
    this.#log.warn('budgetsNotPrepared', {waitedMs: PREPARE_WAIT_MS});
  }

  #createContext(): NodeContext {
    return {
      settings: this.#settings,
      log: this.#log,
      clock: this.#clock,
      random: this.#random,
      instance: this.#instance,
      store: this.#store,
      peers: this.#peers,
      coordination: this.#coordination,
      config: this.#config,
    };
  }

  #createPeers(): PeerPool {
    const {vm, peerSecret} = this.#settings;
    return new PeerPool({self: vm, clock: this.#clock, peerSecret});
  }

  #createCoordination(): Coordination {
    const {vm, host, peerPort, adminPort, dataCentre} = this.#settings;
    const self: VmRecord = {
      id: vm,
      host,
      peerPort,
      adminPort,
      dataCentre,
      state: 'live',
    };
    return createCoordination({
      self,
      store: this.#store,
      caller: this.#peers,
      clock: this.#clock,
      random: this.#random,
      instance: this.#instance,
      standingLimitMs: this.#settings.standingLimitMs,
      onStoreFailure: err =>
        this.#log.warn('storeUnreachable', {message: String(err)}),
      onInvalidList: detail => this.#log.error('vmListRejected', {detail}),
    });
  }

  #createCallers(): CallerServer {
    const {vm, host, port, maxCallers, deadlineMs} = this.#settings;
    const {tokenSecret, previousTokenSecret} = this.#settings;
    const {members} = this.#coordination;
    const previous = previousTokenSecret === '' ? [] : [previousTokenSecret];
    return new CallerServer({
      vm,
      host,
      port,
      maxCallers,
      tls: readTls(this.#settings),
      forwardCancel: key => this.#forwardCancel(key),
      deps: {
        access: this.#access,
        admission: this.#budgets,
        executor: new HomeRouter({
          self: vm,
          clock: this.#clock,
          peers: this.#peers,
          local: this.#homes,
          homeOrder: group => groupHomeOrder(this.#context, group),
          findVm: id => members.find(id),
        }),
        classifier: createClassifier(),
        signer: new TokenSigner(tokenSecret, previous),
        clock: this.#clock,
        log: this.#log,
        deadlineMs,
        observe: sample => this.#metrics.observe(sample),
      },
    });
  }

  #createAdmin(): AdminServer {
    const routes = createAdminRoutes({
      vm: this.#settings.vm,
      coordination: this.#coordination,
      config: this.#config,
      budgets: this.#budgets,
      homes: this.#homes,
      peers: this.#peers,
      metrics: this.#metrics,
      homeOrder: group => groupHomeOrder(this.#context, group),
      sessions: () => this.#callers.sessions,
      isDraining: () => this.#draining,
    });
    return new AdminServer(routes, this.#log);
  }

  #createPeerServer(): PeerServer {
    const {vm, host, peerPort, peerSecret} = this.#settings;
    const all: [string, PeerHandler][] = [
      ...this.#coordination.handlers,
      ...this.#homes.handlers,
      [
        BUDGET_METHOD,
        (body, ctx) => this.#budgets.handle(body as BudgetMessage, ctx.from),
      ],
      [CANCEL_METHOD, async body => this.#callers.cancel(body as CancelKey)],
    ];
    for (const [method, handler] of all) this.#handlers.set(method, handler);
    return new PeerServer({
      host,
      port: peerPort,
      self: vm,
      handlers: this.#handlers,
      peerSecret,
      clock: this.#clock,
      log: ({event, peer, detail}) =>
        this.#log.debug('peerEvent', {kind: event, peer, detail}),
    });
  }

  /** Forwards a cancel request to the VMs whose hash matches its key. */
  #forwardCancel(key: CancelKey): void {
    const hash = vmHashOf(key);
    for (const member of this.#coordination.members.live()) {
      if (member.id === this.#settings.vm || vmHash(member.id) !== hash)
        continue;
      const options = {timeoutMs: CANCEL_TIMEOUT_MS};
      this.#peers
        .call(toPeerAddress(member), CANCEL_METHOD, key, options)
        .catch(() => {});
    }
  }
}

function readTls({tlsCert, tlsKey}: NodeSettings): SecureContext | undefined {
  if (tlsCert === '') return undefined;
  return createSecureContext({
    cert: readFileSync(tlsCert),
    key: readFileSync(tlsKey),
  });
}
