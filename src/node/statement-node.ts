/** A node that serves a statement protocol, put together from its parts. */
import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import type {Route} from '../catalog/types.js';
import {MemberLease} from '../fleet/member-lease.js';
import {peerAddressOf} from '../fleet/member-list.js';
import type {FleetMember} from '../fleet/member-record.js';
import {RELAY_METHOD} from '../fleet/feed-relay.js';
import {RelayedStore} from '../fleet/relayed-store.js';
import type {FeedChange} from '../fleet/store-feed.js';
import {FailoverLease, type FailoverOrders} from '../groups/failover-lease.js';
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
import type {Priority} from '../home/types.js';
import {SystemClock} from '../infra/clock.js';
import type {LeasedStore} from '../infra/leased-store.js';
import {PeerPool} from '../peers/peer-pool.js';
import {PeerServer} from '../peers/peer-server.js';
import type {PeerHandler} from '../peers/types.js';
import {AccessGate, type Credentials} from '../sessions/access.js';
import {
  StatementSession,
  type SessionContext,
} from '../sessions/statement-session.js';
import type {StatementConnector} from '../statements/connection.js';
import type {Logger} from '../telemetry/log.js';
import {NodeMetrics, type NodeGauges} from '../telemetry/node-metrics.js';
import type {NotRun} from '../verdict/verdict.js';
import {NodeBudgets} from './node-budgets.js';
import {NodePicture, type CatalogChange} from './node-picture.js';
import {NodePlaces} from './node-places.js';

const RELEASE_TIMEOUT_MS = 1_000;
/** Peers are silent or lost sooner than a statement gives up on them. */
const PEER_CONNECT_TIMEOUT_MS = 400;
/**
 * Age of the configuration after which new callers are better served by other
 * nodes: keyed work ends here soon, and a probe takes two seconds to count.
 */
const READY_LIMIT_MS = 2_400;
/** Longest wait of a starting node for the configuration. */
const FIRST_CATALOG_MS = 1_500;
const FIRST_CATALOG_POLL_MS = 10;
/** New callers stop coming two missed probes, one second apart, later. */
const ROTATION_MS = 2_600;
/** The same as a part of a short grace. */
const ROTATION_SHARE = 0.45;
const STOP_POLL_MS = 50;
/** Left of the grace for closing what is open. */
const STOP_RESERVE_MS = 500;

/** Settings and ports of a node. */
export interface StatementNodeOptions {
  readonly id: string;
  readonly host: string;
  readonly dataCentre: string;
  /** Port for other nodes. */
  readonly peerPort: number;
  readonly cores: number;
  /** Age of the configuration after which keyed work is refused. */
  readonly keyLimitMs: number;
  /** Length of the windows for which the teams' limits hold. */
  readonly rateWindowMs: number;
  /** The shortest lease that the store grants, in milliseconds. */
  readonly minLeaseMs: number;
  /** Time from the order to stop until the process is killed. */
  readonly graceMs: number;
  readonly log: Logger;
  readonly store: LeasedStore;
  /** Decodes a change of the store; undefined where it concerns others. */
  readonly decode: (change: FeedChange) => CatalogChange | undefined;
  readonly connector: StatementConnector;
  readonly orders: FailoverOrders;
}

/** The sessions of the callers of this node. */
export interface CallerSessions {
  /** Sessions that are open. */
  readonly open: number;
  /** Closes sessions that have neither a request nor a transaction open. */
  closeIdle(): void;
  /** Rolls the open transactions back. */
  breakTransactions(): void;
  /** Takes no new callers and closes every session. */
  close(): void;
}

/** The outcome of opening a session. */
export type SessionOpening =
  | {readonly kind: 'opened'; readonly session: StatementSession}
  | {readonly kind: 'refused'; readonly verdict: NotRun};

/**
 * Entry and home of one node.
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
  readonly #peerServer: PeerServer;
  readonly #picture: NodePicture;
  readonly #places: NodePlaces;
  readonly #lease: MemberLease;
  readonly #budgets: NodeBudgets;
  readonly #homes: StatementHomes;
  readonly #watch: HomeMonitor;
  readonly #sessionContext: SessionContext;
  readonly #startedAt = this.#clock.now();
  #isLeaving = false;

  constructor(options: StatementNodeOptions) {
    const {id, host, log, store} = options;
    const clock = this.#clock;
    this.#options = options;
    // Every call under way listens to it.
    setMaxListeners(0, this.#stopping.signal);
    this.#peers = new PeerPool({
      self: id,
      clock,
      connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
    });
    this.#watch = new HomeMonitor({clock, peers: this.#peers, log});
    this.#picture = new NodePicture({
      clock,
      log,
      self: id,
      store: new RelayedStore({
        store,
        peers: this.#peers,
        log,
        watchers: () => this.#places.watchersToAsk(),
      }),
      decode: options.decode,
      onDatabase: (database, entry) =>
        this.#homes.applyDatabase(database, entry),
    });
    this.#places = new NodePlaces({
      self: id,
      dataCentre: options.dataCentre,
      picture: this.#picture,
      watch: this.#watch,
    });
    this.#lease = new MemberLease({
      store,
      clock,
      log,
      self: this.#describe(),
      minTtlMs: options.minLeaseMs,
    });
    this.#budgets = new NodeBudgets({
      clock,
      log,
      self: id,
      picture: this.#picture,
      places: this.#places,
      lease: this.#lease,
      watch: this.#watch,
      peers: this.#peers,
      windowMs: options.rateWindowMs,
      signal: this.#stopping.signal,
    });
    this.#homes = this.#createHomes();
    this.#sessionContext = this.#createSessionContext();
    this.#peerServer = new PeerServer({
      host,
      port: options.peerPort,
      self: id,
      clock,
      handlers: new Map<string, PeerHandler>([
        ...this.#homes.handlers,
        [PING_METHOD, async () => true],
        [RELAY_METHOD, async body => this.#picture.relay.serve(body)],
        ...this.#budgets.handlers,
      ]),
    });
  }

  /** What the metrics read of this node, but for its callers' sessions. */
  get gauges(): Omit<NodeGauges, 'sessions'> {
    return {
      catalogAgeMs: () => this.#picture.feed.ageMs(),
      catalogVersion: () => this.#picture.catalog.version,
      members: () => this.#picture.members.live().length,
      homeActive: () => this.#homes.active,
    };
  }

  /** Whether new callers are served well here. */
  get isReady(): boolean {
    const isFresh = this.#picture.feed.ageMs() <= READY_LIMIT_MS;
    return !this.#isLeaving && isFresh && this.#picture.catalog.version > 0;
  }

  /**
   * Opens the port for other nodes and joins the fleet; resolves once the
   * configuration is known, or can't be had soon.
   */
  async start(): Promise<void> {
    const {signal} = this.#stopping;
    await this.#peerServer.listen();
    void this.#picture.feed.run(signal);
    void this.#lease.run(signal);
    void this.#watch.run(signal);
    this.#homes.start();
    const {id, host, peerPort, dataCentre} = this.#options;
    await this.#firstCatalog();
    this.#options.log.info('nodeStarted', {
      id,
      host,
      peerPort,
      dataCentre,
      version: this.#picture.catalog.version,
      tookMs: Math.round(this.#clock.now() - this.#startedAt),
    });
  }

  /** Opens a session for a caller, or says why not. */
  openSession(credentials: Credentials): SessionOpening {
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
   * Leaves without cutting a request: hands homes over, lets callers' requests
   * and half of the time later their transactions end, then stops.
   */
  async shutDown(callers: CallerSessions): Promise<void> {
    if (this.#isLeaving) return;
    const {log, graceMs} = this.#options;
    const clock = this.#clock;
    this.#isLeaving = true;
    const startedAt = clock.now();
    log.info('shutdownStarted', {sessions: callers.open});
    await this.#lease
      .announceLeaving()
      .catch((err: unknown) =>
        log.warn('leavingNotAnnounced', {message: String(err)}),
      );
    this.#homes.refuseNew();
    const rotatedAt =
      startedAt + Math.min(ROTATION_MS, graceMs * ROTATION_SHARE);
    const transactionsEndAt = startedAt + graceMs / 2;
    const endAt = startedAt + graceMs - STOP_RESERVE_MS;
    while (clock.now() < endAt) {
      if (clock.now() >= transactionsEndAt) callers.breakTransactions();
      if (clock.now() >= rotatedAt) callers.closeIdle();
      const isDone = callers.open === 0 && this.#homes.active === 0;
      if (isDone && clock.now() >= rotatedAt) break;
      await clock.sleep(STOP_POLL_MS);
    }
    callers.close();
    await this.stop();
    log.info('shutdownFinished', {
      tookMs: Math.round(clock.now() - startedAt),
      sessions: callers.open,
    });
  }

  /** Stops at once. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#homes.stop();
    const end = this.#lease
      .end()
      .catch((err: unknown) =>
        this.#options.log.warn('leaseNotEnded', {message: String(err)}),
      );
    await Promise.race([end, this.#clock.sleep(STOP_POLL_MS)]);
    await this.#peerServer.close(0);
    this.#peers.close();
  }

  async #firstCatalog(): Promise<void> {
    const until = this.#clock.now() + FIRST_CATALOG_MS;
    while (this.#picture.catalog.version === 0 && this.#clock.now() < until) {
      await this.#clock.sleep(FIRST_CATALOG_POLL_MS);
    }
  }

  #describe(): FleetMember {
    const {id, host, peerPort: port, dataCentre, cores} = this.#options;
    const instance = randomUUID().slice(0, 8);
    return {id, host, port, dataCentre, instance, cores, isLeaving: false};
  }

  #createHomes(): StatementHomes {
    const {id, log, connector, orders, store, dataCentre} = this.#options;
    const clock = this.#clock;
    return new StatementHomes({
      clock,
      log,
      self: id,
      dataCentre,
      connector,
      orders,
      catalog: () => this.#picture.catalog,
      entries: () => this.#picture.entries,
      quota: this.#budgets.holder,
      failoverLease: new FailoverLease({
        store,
        log,
        self: id,
        lease: () => this.#lease.id,
      }),
      isFirstHome: group => this.#places.isFirstHome(group),
      readerIn: (group, place) => this.#places.readerIn(group, place)?.id,
      isResponsible: group => this.#places.isResponsible(group),
      mayHaveLapsed: () => this.#picture.mayHaveLapsed,
    });
  }

  #createSessionContext(): SessionContext {
    const {id, log, keyLimitMs} = this.#options;
    return {
      clock: this.#clock,
      log,
      access: new AccessGate({
        catalog: () => this.#picture.catalog,
        ageMs: () => this.#picture.feed.ageMs(),
        maxCatalogAgeMs: keyLimitMs,
      }),
      forwarder: new HomeForwarder<StatementRequest, StatementResult, never>({
        self: id,
        clock: this.#clock,
        peers: this.#peers,
        local: this.#homes,
        method: STATEMENT_METHODS.run,
        codec: {encode: encodeRequest, decode: decodeResult},
        homeOrder: group => this.#places.homeOrder(group).map(peerAddressOf),
        readerOf: req => this.#places.readerOf(req),
        findNode: node => {
          const member = this.#picture.members.find(node);
          return member && peerAddressOf(member);
        },
        failed: verdict => failedStatement(verdict),
        watch: this.#watch,
      }),
      release: (group, pin) => this.#release(group, pin),
      observe: end => this.metrics.observe(end),
      priorityOf: route => this.#priorityOf(route),
    };
  }

  /** The most urgent routes of the catalog go first, where they differ. */
  #priorityOf({priority}: Route): Priority {
    return priority < this.#picture.leastPriority ? 'urgent' : 'ordinary';
  }

  #release(group: string, pin: string): void {
    const {node, local} = splitPin(pin);
    if (node === this.#options.id) return this.#homes.release(group, local);
    const member = this.#picture.members.find(node);
    if (member === undefined) return;
    const body = {group, pin: local};
    const options = {timeoutMs: RELEASE_TIMEOUT_MS};
    this.#peers
      .call(peerAddressOf(member), STATEMENT_METHODS.release, body, options)
      .catch((err: unknown) =>
        // The home rolls it back by itself once it stood idle for too long.
        this.#options.log.warn('releaseNotDelivered', {
          group,
          home: node,
          message: String(err),
        }),
      );
  }
}
