/** Assembles a node that serves the statement protocol. */
import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {EVACUATIONS_METHOD} from '../catalog/evacuations.js';
import {MemberLease} from '../fleet/member-lease.js';
import {NodeDelay} from '../fleet/node-delay.js';
import {peerAddressOf} from '../fleet/member-list.js';
import type {FleetMember} from '../fleet/member-record.js';
import {RELAY_METHOD} from '../fleet/relay-messages.js';
import {PeerBackedStore} from '../fleet/peer-backed-store.js';
import {RelayedStore} from '../fleet/relayed-store.js';
import {StoreAccess} from '../fleet/store-access.js';
import {STORE_CALL_METHOD} from '../fleet/store-call.js';
import type {FeedChange} from '../fleet/store-feed.js';
import {TrackedStore} from '../fleet/tracked-store.js';
import {FailoverLease, type FailoverOrders} from '../groups/failover-lease.js';
import {PrimaryHandover} from '../groups/primary-handover.js';
import {PrimaryRights} from '../groups/primary-rights.js';
import {HomeForwarder, splitPin} from '../home/home-forwarder.js';
import {HomeMonitor, PING_METHOD} from '../home/home-monitor.js';
import {
  failedStatement,
  STATEMENT_METHODS,
  type StatementRequest,
  type StatementResult,
} from '../home/statement-request.js';
import {decodeResult, encodeRequest} from '../home/statement-codec.js';
import {StatementHomes} from '../home/statement-homes.js';
import {LoadSharing} from '../load/load-sharing.js';
import {SystemClock} from '../infra/clock.js';
import {EraCheckedStore} from '../infra/era-checked-store.js';
import type {LeasedStore} from '../infra/leased-store.js';
import {runAtTicks} from '../infra/timer.js';
import {PeerPool} from '../peers/peer-pool.js';
import {PeerServer} from '../peers/peer-server.js';
import {PeerTrafficTotals, type TrafficScope} from '../peers/peer-traffic.js';
import type {PeerHandler} from '../peers/types.js';
import {AccessGate, type Credentials} from '../sessions/access.js';
import {
  StatementSession,
  type SessionContext,
} from '../sessions/statement-session.js';
import type {StatementConnector} from '../statements/connection.js';
import type {Logger} from '../telemetry/log.js';
import {
  NodeMetrics,
  type FinishedStatement,
  type NodeGauges,
} from '../telemetry/node-metrics.js';
import type {NotRun} from '../verdict/verdict.js';
import {NodeBudgets} from './node-budgets.js';
import {ColdBudgets} from './cold-budgets.js';
import {ClusterState, type ClusterStateChange} from './cluster-state.js';
import {learnFromPeers} from './restore-learning.js';
import {Shutdown, type CallerSessions} from './shutdown.js';
import {StartSteps} from './start-steps.js';
import {WorkPlacement} from './work-placement.js';

const RELEASE_TIMEOUT_MS = 1_000;
const ERA_CHECK_PERIOD_MS = 1_000;
/** A peer counts as unreachable before a statement that waits for it times out. */
const PEER_CONNECT_TIMEOUT_MS = 400;
/**
 * Age of the configuration above which the node reports not ready. Keyed work
 * is refused soon after, and a failed readiness probe takes two seconds to
 * move new callers to other nodes.
 */
const MAX_READY_CATALOG_AGE_MS = 2_400;
/** Maximum time that a starting node waits for the configuration. */
const CATALOG_WAIT_MS = 1_500;
const CATALOG_POLL_MS = 2;
const STOP_TIMEOUT_MS = 50;

/** Settings and dependencies of a node. */
export interface StatementNodeOptions {
  readonly id: string;
  readonly host: string;
  readonly dataCentre: string;
  /** Port for other nodes. */
  readonly peerPort: number;
  readonly cores: number;
  /** Link of the node in Mbit/s and its memory in MB, if they are known. */
  readonly linkMbps?: number | undefined;
  readonly memoryMb?: number | undefined;
  /** Whether nodes tell one another their load at the databases they share. */
  readonly sharesLoad: boolean;
  /** Age of the configuration above which keyed work is refused. */
  readonly maxCatalogAgeMs: number;
  /** Length of the sliding window of the teams' limits, in milliseconds. */
  readonly rateWindowMs: number;
  /** Operations by which a window may exceed a team's limit. */
  readonly rateSlack: number;
  /** Shortest lease that the store grants, in milliseconds. */
  readonly minLeaseMs: number;
  /** Time from a database's announcement of its shutdown until it may stop. */
  readonly drainMs: number;
  /** Time from a request to evacuate a data centre until it must be unused. */
  readonly evacuateMs: number;
  /** Whether databases that start, recover or fail requests are paced. */
  readonly pacing: boolean;
  /** Multiple of its rate that a cold database may get in any second. */
  readonly coldOverage: number;
  /** Requests by which a second may exceed that. */
  readonly coldSlack: number;
  /** Time between the request to shut down and the kill of the process. */
  readonly graceMs: number;
  readonly log: Logger;
  readonly store: LeasedStore;
  /** Decodes a change of the store; undefined if the key is not relevant. */
  readonly decode: (change: FeedChange) => ClusterStateChange | undefined;
  readonly connector: StatementConnector;
  readonly orders: FailoverOrders;
  /** The steps of the process before the node was created. */
  readonly startSteps?: StartSteps;
}

/** Result of opening a session. */
export type SessionOpening =
  | {readonly kind: 'opened'; readonly session: StatementSession}
  | {readonly kind: 'refused'; readonly verdict: NotRun};

/**
 * A node: the entry of its own callers, and the home of some database groups.
 *
 * @example
 * const node = new StatementNode(options);
 * await node.start();
 * const opening = node.openSession({database: 'claims', key});
 */
export class StatementNode {
  readonly metrics = new NodeMetrics();
  readonly #options: StatementNodeOptions;
  readonly #clock = new SystemClock();
  readonly #stopping = new AbortController();
  readonly #peers: PeerPool;
  readonly #traffic = new PeerTrafficTotals(peer => this.#scopeOf(peer));
  readonly #peerServer: PeerServer;
  readonly #store: PeerBackedStore;
  readonly #cluster: ClusterState;
  readonly #placement: WorkPlacement;
  readonly #lease: MemberLease;
  readonly #delay: NodeDelay;
  readonly #budgets: NodeBudgets;
  readonly #coldBudgets: ColdBudgets;
  readonly #rights: PrimaryRights;
  readonly #handover: PrimaryHandover;
  readonly #instance = randomUUID().slice(0, 8);
  /** Undefined if the nodes share no load. */
  readonly #loadSharing: LoadSharing | undefined;
  readonly #homes: StatementHomes;
  readonly #homeMonitor: HomeMonitor;
  readonly #sessionContext: SessionContext;
  readonly #shutdown: Shutdown;
  readonly #startedAt = this.#clock.now();
  readonly #startSteps: StartSteps;
  #hasServed = false;
  /** Whether the node has asked others for what the store may have lost. */
  #hasLearnt = false;

  constructor(options: StatementNodeOptions) {
    const {id, host, log} = options;
    const clock = this.#clock;
    this.#options = options;
    const {startSteps} = options;
    this.#startSteps = startSteps ?? new StartSteps(() => clock.now());
    const {metrics} = this;
    const storeAccess = new StoreAccess(clock);
    const direct = new TrackedStore(
      new EraCheckedStore({store: options.store, log, metrics}),
      storeAccess,
    );
    // Every running call adds a listener; lifts the limit for the leak warning.
    setMaxListeners(0, this.#stopping.signal);
    this.#peers = new PeerPool({
      self: id,
      clock,
      connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
      traffic: this.#traffic,
    });
    this.#homeMonitor = new HomeMonitor({clock, peers: this.#peers, log});
    const store = new PeerBackedStore({
      direct,
      access: storeAccess,
      peers: this.#peers,
      helpers: () => this.#placement.storeHelpers(),
      log,
      recordPeerCall: outcome => metrics.recordPeerCall(outcome),
    });
    this.#store = store;
    this.#cluster = new ClusterState({
      clock,
      log,
      self: id,
      store: new RelayedStore({
        store: direct,
        peers: this.#peers,
        log,
        sources: () => this.#placement.feedSources(),
      }),
      metrics,
      evacuateMs: options.evacuateMs,
      decode: options.decode,
      onDatabase: (database, entry) =>
        this.#homes.applyDatabase(database, entry),
      onOrder: (group, order) => this.#rights.observe(group, order),
    });
    this.#placement = new WorkPlacement({
      self: id,
      dataCentre: options.dataCentre,
      clusterState: this.#cluster,
      evacuations: this.#cluster.evacuations,
      homeMonitor: this.#homeMonitor,
      storeAccess,
    });
    this.#lease = new MemberLease({
      store,
      clock,
      log,
      self: this.#createMember(),
      minTtlMs: options.minLeaseMs,
      hasWork: () => this.#placement.hasWork(this.#cluster.catalog),
      fleetSize: () => this.#cluster.members.live().length,
    });
    this.#delay = new NodeDelay({clock, log, lease: this.#lease});
    this.#budgets = new NodeBudgets({
      clock,
      log,
      self: id,
      clusterState: this.#cluster,
      placement: this.#placement,
      lease: this.#lease,
      homeMonitor: this.#homeMonitor,
      peers: this.#peers,
      windowMs: options.rateWindowMs,
      slack: options.rateSlack,
      signal: this.#stopping.signal,
    });
    this.#coldBudgets = new ColdBudgets({
      clock,
      log,
      self: id,
      clusterState: this.#cluster,
      copyAgeMs: () => this.#cluster.feed.ageMs(),
      placement: this.#placement,
      lease: this.#lease,
      peers: this.#peers,
      tolerance: {overage: options.coldOverage, slack: options.coldSlack},
    });
    this.#rights = new PrimaryRights({
      store,
      clock,
      log,
      self: {id, host, port: options.peerPort},
      minTtlMs: options.minLeaseMs,
      onOrder: (group, order) => this.#homes.applyOrder(group, order),
    });
    this.#handover = new PrimaryHandover({
      store,
      clock,
      log,
      peers: this.#peers,
      rights: this.#rights,
      self: id,
    });
    this.#loadSharing = options.sharesLoad
      ? this.#createLoadSharing()
      : undefined;
    this.#homes = this.#createHomes();
    this.#shutdown = new Shutdown({
      clock,
      log,
      graceMs: options.graceMs,
      homes: this.#homes,
      announce: () => this.#lease.announceLeaving(),
      stop: () => this.stop(),
    });
    this.#sessionContext = this.#createSessionContext();
    this.#peerServer = new PeerServer({
      host,
      port: options.peerPort,
      self: id,
      clock,
      traffic: this.#traffic,
      handlers: new Map<string, PeerHandler>([
        ...this.#homes.handlers,
        ...(this.#loadSharing?.handlers ?? []),
        [PING_METHOD, async () => true],
        [RELAY_METHOD, async body => this.#cluster.relay.serve(body)],
        [EVACUATIONS_METHOD, async () => this.#cluster.evacuations.encode()],
        [STORE_CALL_METHOD, body => store.serve(body)],
        ...this.#budgets.handlers,
        ...this.#coldBudgets.handlers,
        ...this.#handover.handlers,
      ]),
    });
  }

  /** Gauges for the metrics, except the number of sessions. */
  get gauges(): Omit<NodeGauges, 'sessions'> {
    return {
      catalogAgeMs: () => this.#cluster.feed.ageMs(),
      catalogVersion: () => this.#cluster.catalog.version,
      members: () => this.#cluster.members.live().length,
      homeActive: () => this.#homes.active,
      peerTraffic: () => this.#traffic.totals(),
      evacuatedDataCentres: () => this.#cluster.evacuations.dataCentres.length,
      delayMs: () => this.#delay.delayMs,
      isSlow: () => this.#delay.isSlow,
    };
  }

  /** True if the node is ready for new callers. */
  get isReady(): boolean {
    const isFresh = this.#hasFreshCopy;
    const hasCatalog = this.#cluster.catalog.version > 0;
    const isServing = this.#shutdown.phase === 'serving';
    return isServing && this.#hasLearnt && isFresh && hasCatalog;
  }

  get #hasFreshCopy(): boolean {
    return this.#cluster.feed.ageMs() <= MAX_READY_CATALOG_AGE_MS;
  }

  /**
   * Opens the peer port and joins the fleet. Resolves once the configuration has
   * arrived, or after `CATALOG_WAIT_MS` without one.
   */
  async start(): Promise<void> {
    const {signal} = this.#stopping;
    const steps = this.#startSteps;
    // The node registers once other nodes reach it; reading needs no port.
    const listening = this.#peerServer.listen();
    void this.#cluster.feed.run(signal);
    await listening;
    steps.end('peerPort');
    void this.#lease.run(signal);
    void this.#delay.run(signal);
    void this.#rights.run(signal);
    void this.#coldBudgets.run(signal);
    void runAtTicks(this.#clock, ERA_CHECK_PERIOD_MS, signal, () =>
      this.#handover.noteEra(),
    );
    void this.#homeMonitor.run(signal);
    this.#homes.start();
    void this.#loadSharing?.run(signal);
    void this.#noticeRegistration();
    const {id, host, peerPort, dataCentre} = this.#options;
    await this.#waitForCatalog();
    steps.end('feed');
    await learnFromPeers({
      self: id,
      log: this.#options.log,
      peers: this.#peers,
      clusterState: this.#cluster,
      era: this.#store.era,
    });
    this.#hasLearnt = true;
    steps.end('learn');
    this.#options.log.info('nodeStarted', {
      id,
      host,
      peerPort,
      dataCentre,
      version: this.#cluster.catalog.version,
      ...steps.fields(),
      tookMs: Math.round(this.#clock.now() - this.#startedAt),
      cpuMs: cpuMsOfProcess(),
      isRegistered: this.#lease.isHeld,
    });
  }

  /** Opens a session for a caller, or returns the reason for the refusal. */
  openSession(credentials: Credentials): SessionOpening {
    const refusal = this.#shutdown.refuse();
    if (refusal !== undefined) return {kind: 'refused', verdict: refusal};
    const access = this.#sessionContext.access.check(credentials);
    if (access.kind === 'refused') {
      const {verdict, basis} = access;
      this.#options.log.info('sessionRefused', {
        database: credentials.database,
        reason: verdict.reason,
        message: verdict.message,
        ...basis,
      });
      return access;
    }
    const session = new StatementSession(this.#sessionContext, credentials);
    return {kind: 'opened', session};
  }

  /**
   * Leaves the fleet without interrupting a request, then stops. Further calls
   * join the first one.
   *
   * @param trigger what requested it, for the log
   */
  shutDown(callers: CallerSessions, trigger = 'request'): Promise<void> {
    return this.#shutdown.begin(callers, trigger);
  }

  /** Stops immediately, without waiting for running work. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#homes.stop();
    const end = Promise.all([this.#lease.end(), this.#rights.end()]).catch(
      (err: unknown) =>
        this.#options.log.warn('leaseNotEnded', {message: String(err)}),
    );
    await Promise.race([end, this.#clock.sleep(STOP_TIMEOUT_MS)]);
    await this.#peerServer.close(0);
    this.#peers.close();
  }

  /** Reads this node's own record as soon as it is written: only then it is a home. */
  async #noticeRegistration(): Promise<void> {
    const until = this.#clock.now() + CATALOG_WAIT_MS;
    while (!this.#lease.isHeld && this.#clock.now() < until) {
      await this.#clock.sleep(CATALOG_POLL_MS);
    }
    this.#cluster.feed.pollSoon();
  }

  async #waitForCatalog(): Promise<void> {
    const until = this.#clock.now() + CATALOG_WAIT_MS;
    while (this.#cluster.catalog.version === 0 && this.#clock.now() < until) {
      await this.#clock.sleep(CATALOG_POLL_MS);
    }
  }

  #scopeOf(peer: string): TrafficScope {
    const member = this.#cluster.members.find(peer);
    if (member === undefined) return 'unknown';
    const {dataCentre} = this.#options;
    return member.dataCentre === dataCentre ? 'local' : 'remote';
  }

  #createMember(): FleetMember {
    const {id, host, peerPort: port, dataCentre, cores} = this.#options;
    const {linkMbps, memoryMb} = this.#options;
    const instance = this.#instance;
    const size = {cores, linkMbps, memoryMb};
    return {id, host, port, dataCentre, instance, ...size, isLeaving: false};
  }

  #createLoadSharing(): LoadSharing {
    return new LoadSharing({
      clock: this.#clock,
      log: this.#options.log,
      peers: this.#peers,
      metrics: this.metrics,
      instance: this.#instance,
      work: () => this.#homes.work,
      otherSenders: group =>
        this.#placement.otherSenders(group).map(peerAddressOf),
      isCurrent: (node, instance) => this.#placement.isCurrent(node, instance),
    });
  }

  #createHomes(): StatementHomes {
    const {id, log, connector, orders, dataCentre, minLeaseMs} = this.#options;
    const clock = this.#clock;
    return new StatementHomes({
      clock,
      log,
      self: id,
      dataCentre,
      connector,
      orders,
      catalog: () => this.#cluster.catalog,
      priorityCount: () => this.#cluster.priorityCount,
      entries: () => this.#cluster.entries,
      quota: this.#budgets.holder,
      failoverLease: new FailoverLease({
        store: this.#store,
        clock,
        log,
        self: id,
        minTtlMs: minLeaseMs,
      }),
      rights: this.#rights,
      handover: this.#handover,
      copyAgeMs: () => this.#cluster.feed.ageMs(),
      isFirstHome: group => this.#placement.isFirstHome(group),
      readerIn: (group, location) =>
        this.#placement.readerIn(group, location)?.id,
      responsibility: group => this.#placement.responsibility(group),
      hasFreshCopy: () => this.#hasFreshCopy,
      metrics: this.metrics,
      drainNoticeOf: database => this.#cluster.drainNoticeOf(database),
      drainMs: this.#options.drainMs,
      evacuations: this.#cluster.evacuations,
      isEvacuationDue: group => this.#placement.isEvacuationDue(group),
      mayHaveLapsed: () => this.#cluster.mayHaveLapsed,
      sharingOf: group => this.#loadSharing?.of(group),
      pacing: this.#options.pacing ? this.metrics : undefined,
      cold: this.#coldBudgets,
    });
  }

  #createSessionContext(): SessionContext {
    const {id, log, maxCatalogAgeMs} = this.#options;
    return {
      clock: this.#clock,
      log,
      access: new AccessGate({
        catalog: () => this.#cluster.catalog,
        ageMs: () => this.#cluster.feed.ageMs(),
        maxCatalogAgeMs,
      }),
      forwarder: new HomeForwarder<StatementRequest, StatementResult, never>({
        self: id,
        clock: this.#clock,
        peers: this.#peers,
        local: this.#homes,
        method: STATEMENT_METHODS.run,
        codec: {encode: encodeRequest, decode: decodeResult},
        homeOrder: group => this.#placement.homeOrder(group).map(peerAddressOf),
        readerOf: req => this.#placement.readerOf(req),
        findNode: node => {
          const member = this.#cluster.members.find(node);
          return member && peerAddressOf(member);
        },
        failed: verdict => failedStatement(verdict),
        watch: this.#homeMonitor,
      }),
      release: (group, pin) => this.#release(group, pin),
      observe: end => this.#observe(end),
      priorityOf: route => this.#cluster.priorityRankOf(route),
      refuse: () => this.#shutdown.refuse(),
    };
  }

  #observe(end: FinishedStatement): void {
    this.metrics.observe(end);
    if (this.#hasServed || end.outcome !== 'done') return;
    this.#hasServed = true;
    this.#options.log.info('firstStatementServed', {
      sinceStartMs: this.#startSteps.sinceStartMs(),
      elapsedMs: Math.round(end.elapsedMs),
      cpuMs: cpuMsOfProcess(),
    });
  }

  #release(group: string, pin: string): void {
    const {node, local} = splitPin(pin);
    if (node === this.#options.id) return this.#homes.release(group, local);
    const member = this.#cluster.members.find(node);
    if (member === undefined) return;
    const body = {group, pin: local};
    const options = {timeoutMs: RELEASE_TIMEOUT_MS};
    this.#peers
      .call(peerAddressOf(member), STATEMENT_METHODS.release, body, options)
      .catch((err: unknown) =>
        // The home rolls the transaction back after its idle timeout.
        this.#options.log.warn('releaseNotDelivered', {
          group,
          home: node,
          message: String(err),
        }),
      );
  }
}

/** CPU time of the process so far, of all threads. */
function cpuMsOfProcess(): number {
  const {user, system} = process.cpuUsage();
  return Math.round((user + system) / 1_000);
}
