/**
 * The home of a database group: all of the group's statements run through it.
 *
 * The primary certifies log positions: each proves that the position includes
 * every commit acknowledged before a given time. Reads at replicas use them.
 */
import {
  ANONYMOUS_TEAM,
  type Catalog,
  type AnnouncedDatabase,
} from '../catalog/types.js';
import type {FailoverLease, FailoverOrders} from '../groups/failover-lease.js';
import type {HandoverPort} from '../groups/primary-handover.js';
import type {PrimaryOrder} from '../groups/primary-order.js';
import type {PrimaryRights} from '../groups/primary-rights.js';
import type {DrainNotice} from '../groups/drain-notice.js';
import {Leadership, type LeaderBasis} from '../groups/leadership.js';
import {
  FailoverCoordinator,
  type Responsibility,
} from '../groups/failover-coordinator.js';
import type {Clock} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import type {BudgetHolder} from '../quota/budget-holder.js';
import type {QuotaDecision} from '../quota/types.js';
import type {ColdLimit} from '../pace/cold-limit.js';
import {createDatabasePace, type PaceMetrics} from '../pace/database-pace.js';
import type {Pace} from '../pace/pace.js';
import {PositionCertificates} from '../routing/certificates.js';
import type {StatementConnector} from '../statements/connection.js';
import type {Logger} from '../telemetry/log.js';
import {notRun, type Verdict} from '../verdict/verdict.js';
import type {TeamConnection} from './team-connection.js';
import {CertifiedReads} from './certified-reads.js';
import {GroupMember} from './group-member.js';
import type {GroupRight, HomeContext} from './home-context.js';
import type {HomeMetrics} from './home-metrics.js';
import {OpenTransactions} from './open-transactions.js';
import {PrimaryWrites} from './primary-writes.js';
import {
  acceptsWork,
  noRight,
  type StatementAttempt,
} from './statement-attempt.js';
import {
  failedStatement,
  type StatementRequest,
  type StatementResult,
} from './statement-request.js';
import {
  TransactionStatements,
  type OpenTransaction,
} from './transaction-statements.js';
import {WriteGate} from './write-gate.js';

/**
 * Share of a database's connections for the node that sends it most of its
 * work, and for any other node. A database keeps the connections of a lost
 * node open for some seconds, while the node that takes over needs as many.
 */
const MAIN_NODE_SHARE = 0.5;
const OTHER_NODE_SHARE = 0.3;
const MIN_CONNECTIONS = 2;
/**
 * How long a database whose announcement expired in a store outage is kept. It
 * is announced again about two seconds after the store is back.
 */
const MISSING_GRACE_MS = 2_500;
/** Maximum age of the newest certificate before one is fetched. */
const CERTIFICATE_REFRESH_MS = 400;
/** After this the connection is closed, which rolls back as well. */
const ROLL_BACK_TIMEOUT_MS = 1_000;
const DEFAULT_WEIGHT = 1;
/** Retry delay while a new primary is being promoted. */
const FAILOVER_RETRY_MS = 500;
/** Retry delay without a primary otherwise. */
const NO_PRIMARY_RETRY_MS = 1_000;

/** How long a statement waits for the right to the primary. */
const RIGHT_TIMEOUT_MS = 300;

/** Options of a certified home. */
export interface CertifiedHomeOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly group: string;
  readonly self: string;
  readonly dataCentre: string;
  readonly connector: StatementConnector;
  readonly catalog: () => Catalog;
  readonly quota: Pick<BudgetHolder, 'admit'>;
  readonly failoverLease: FailoverLease;
  readonly orders: FailoverOrders;
  readonly rights: PrimaryRights;
  readonly handover: HandoverPort;
  /** Age of this node's copy of the store, in milliseconds. */
  readonly copyAgeMs: () => number;
  /** Returns whether this node is the first choice as the group's home. */
  readonly isFirstHome: () => boolean;
  /** Returns the node that serves the group's reads in a data centre. */
  readonly readerIn: (dataCentre: string) => string | undefined;
  /** Returns which node should replace the group's primary. */
  readonly responsibility: () => Responsibility;
  /** Returns whether this node's copy of the store is recent. */
  readonly hasFreshCopy: () => boolean;
  readonly metrics: HomeMetrics;
  /** Returns when this node learnt that a database drains, if it does. */
  readonly drainNoticeOf: (id: string) => DrainNotice | undefined;
  /** Time from a database's announcement until it may shut down. */
  readonly drainMs: number;
  /** Returns whether announcements may have expired in a store outage. */
  readonly mayHaveLapsed: () => boolean;
  /** Paces databases that start or recover, and records it; off by default. */
  readonly pacing?: PaceMetrics | undefined;
  /** Bounds the requests to cold databases; unlimited by default. */
  readonly cold?: ColdLimit | undefined;
}

/**
 * Runs the statements of one group and keeps its primary available.
 *
 * @example
 * const home = new CertifiedHome(options);
 * home.start();
 * home.applyDatabase(entry);
 * const result = await home.execute(req, signal);
 */
export class CertifiedHome {
  readonly #options: CertifiedHomeOptions;
  readonly #members = new Map<string, GroupMember>();
  readonly #missingSince = new Map<string, number>();
  readonly #leadership = new Leadership(leader => this.#logLeader(leader));
  readonly #certificates = new PositionCertificates();
  readonly #transactions: OpenTransactions<TeamConnection, OpenTransaction>;
  readonly #gate: WriteGate;
  readonly #keeper: FailoverCoordinator;
  readonly #reads: CertifiedReads;
  readonly #writes: PrimaryWrites;
  readonly #transactionStatements: TransactionStatements;
  readonly #ctx: HomeContext;
  readonly #right: GroupRight;
  readonly #stopping = new AbortController();
  #running = 0;
  /** The last database that was known to lead. */
  #lastLeaderId: string | undefined;
  #lastUsedAt: number;
  /** Whether the databases that were known as the home opened are applied. */
  #isStarted = false;

  constructor(options: CertifiedHomeOptions) {
    const {clock, log, group, catalog} = options;
    this.#options = options;
    this.#lastUsedAt = clock.now();
    this.#transactions = new OpenTransactions<TeamConnection, OpenTransaction>({
      clock,
      maxIdleMs: () => catalog().idleTransactionTimeoutMs,
      rollBack: connection =>
        connection.run([{kind: 'rollback'}], ROLL_BACK_TIMEOUT_MS),
      onIdleTimeout: ({sessionId}) =>
        log.info('idleTransactionEnded', {group, session: sessionId}),
    });
    this.#gate = new WriteGate({
      clock,
      openTransactions: () => this.#transactions.size,
    });
    this.#keeper = this.#createKeeper();
    const {rights} = options;
    this.#right = {
      get isHeld() {
        return rights.isHeld(group);
      },
      claim: () => rights.claim(group),
    };
    const order = rights.orderOf(group);
    if (order !== undefined) this.#leadership.recordOrder(order);
    const ctx: HomeContext = {
      clock,
      log,
      group,
      dataCentre: options.dataCentre,
      members: this.#members,
      leadership: this.#leadership,
      certificates: this.#certificates,
      right: this.#right,
      copyAgeMs: options.copyAgeMs,
      transactions: this.#transactions,
      gate: this.#gate,
      primaryRetryMs: () => this.#primaryRetryMs,
      metrics: options.metrics,
      drainNoticeOf: options.drainNoticeOf,
      drainMs: options.drainMs,
    };
    this.#ctx = ctx;
    this.#reads = new CertifiedReads(ctx);
    this.#writes = new PrimaryWrites(ctx);
    this.#transactionStatements = new TransactionStatements(ctx);
  }

  /** Number of running statements and open transactions. */
  get active(): number {
    return this.#running + this.#transactions.size;
  }

  /** Time without running statements or open transactions, in milliseconds. */
  get idleMs(): number {
    if (this.active > 0) return 0;
    return this.#options.clock.now() - this.#lastUsedAt;
  }

  start(): void {
    const {signal} = this.#stopping;
    this.#isStarted = true;
    this.#transactions.start();
    void this.#keeper.run(signal);
    void this.#refreshCertificates(signal);
  }

  /** Stops at once; open transactions are rolled back. */
  stop(): void {
    this.#stopping.abort();
    this.#transactions.stop();
    const {failoverLease, rights, group, pacing} = this.#options;
    for (const {id, pool} of this.#members.values()) {
      pool.close();
      pacing?.recordPaceLimit(group, id, undefined);
    }
    void failoverLease.release(group);
    void rights.release(group);
  }

  /** Applies an order to promote a database of the group. */
  applyOrder(order: PrimaryOrder): void {
    this.#leadership.recordOrder(order);
  }

  /** Rolls back a transaction whose caller has disconnected. */
  release(pin: string): void {
    this.#transactions.release(pin);
  }

  /** Adds a database or updates it from its announcement. */
  applyDatabase(entry: AnnouncedDatabase): void {
    this.#missingSince.delete(entry.id);
    const known = this.#members.get(entry.id);
    const isSame =
      known !== undefined &&
      known.entry.startedAt === entry.startedAt &&
      known.entry.host === entry.host &&
      known.entry.port === entry.port;
    if (isSame) {
      known.entry = entry;
    } else {
      if (known !== undefined) this.#drop(entry.id, known, 'restarted');
      const member = this.#createMember(entry);
      this.#members.set(entry.id, member);
      member.beginPace(this.#isStarted ? 'started' : 'takenOver');
    }
    const now = this.#options.clock.now();
    this.#leadership.recordAnnouncement(entry.id, entry.role, now);
  }

  /**
   * Removes a database whose announcement is gone, after a grace period if it
   * may have expired in a store outage.
   */
  removeDatabase(id: string): void {
    const known = this.#members.get(id);
    if (known === undefined) return;
    if (!this.#options.mayHaveLapsed()) return this.#drop(id, known, 'gone');
    this.#missingSince.set(id, this.#options.clock.now());
  }

  /** Runs one statement. Never rejects: the verdict holds any failure. */
  async execute(
    req: StatementRequest,
    signal: AbortSignal,
  ): Promise<StatementResult> {
    this.#running += 1;
    try {
      const result = await this.#execute(req, signal);
      if (signal.aborted && result.pin !== undefined) this.release(result.pin);
      if (result.verdict.kind !== 'done') this.#logFailure(req, result.verdict);
      return result;
    } finally {
      this.#running -= 1;
      this.#lastUsedAt = this.#options.clock.now();
    }
  }

  #logLeader(leader: LeaderBasis | undefined): void {
    const {clock, log, group} = this.#options;
    this.#paceNewLeader(leader?.id);
    const isProven = leader !== undefined && leader.provenAt > -Infinity;
    log.info('leaderChanged', {
      group,
      database: leader?.id,
      basis: leader && (isProven ? 'proof' : 'announcement'),
      term: leader?.term,
      provenMsAgo: isProven
        ? Math.round(clock.now() - leader.provenAt)
        : undefined,
      isDraining: leader && this.#members.get(leader.id)?.entry.isDraining,
    });
  }

  /** Paces a database that takes the primary's work over from another one. */
  #paceNewLeader(id: string | undefined): void {
    if (id === undefined || id === this.#lastLeaderId) return;
    if (this.#lastLeaderId !== undefined)
      this.#members.get(id)?.beginPace('promoted');
    this.#lastLeaderId = id;
  }

  /** Logs a failed statement with the state of the home. */
  #logFailure(
    req: StatementRequest,
    verdict: Exclude<Verdict, {kind: 'done'}>,
  ): void {
    const {clock, log, group, isFirstHome} = this.#options;
    const leader = this.#members.get(this.#leadership.leaderId ?? '');
    const ageMs = clock.now() - this.#certificates.newestAt;
    log.info('statementGivenUp', {
      request: req.statement.requestId,
      group,
      team: req.team,
      consistency: req.consistency,
      reason: verdict.reason,
      nearOnly: req.nearOnly,
      retryAfterMs:
        verdict.kind === 'notRun' ? verdict.retryAfterMs : undefined,
      message: verdict.message,
      isFirstHome: isFirstHome(),
      leader: leader?.id,
      leaderQueue: leader?.pool.outstanding,
      leaderSilentMs: leader && Math.round(leader.health.silentMs),
      leaderPinned: leader?.pool.pinned,
      certificateAgeMs: Math.round(ageMs),
      databases: this.#members.size,
    });
  }

  async #execute(
    req: StatementRequest,
    signal: AbortSignal,
  ): Promise<StatementResult> {
    if (req.pin !== undefined)
      return this.#transactionStatements.run(req, req.pin);
    const now = this.#options.clock.now();
    const attempt = {
      req,
      signal,
      arrivedAt: now,
      latencyGoalAt: now + req.latencyGoalMs,
      deadlineAt: now + req.deadlineMs,
    };
    const isRead = req.kind === 'read' && req.opens === undefined;
    await this.#prepareRight(req);
    const refusal = this.#earlyRefusal(attempt);
    if (refusal !== undefined) return failedStatement(refusal);
    const quota = await this.#admit(req);
    if (quota.kind === 'refused') {
      const isOverRate = quota.reason === 'overRate';
      const message = isOverRate
        ? `team ${req.team} is over its rate`
        : `the budget of team ${req.team} can't be reached`;
      const reason = isOverRate ? 'rateLimited' : 'budgetUnavailable';
      return failedStatement(notRun(reason, message, quota.retryAfterMs));
    }
    if (isRead) return this.#reads.run(attempt);
    if (req.opens === 'readOnly') return this.#reads.open(attempt);
    return this.#writes.run(attempt);
  }

  /** Callers without a key belong to no team and have no rate limit. */
  #admit({team}: StatementRequest): Promise<QuotaDecision> {
    if (team === ANONYMOUS_TEAM) return Promise.resolve({kind: 'admitted'});
    return this.#options.quota.admit(team);
  }

  /** Refuses what no database can serve now, before a token is spent. */
  #earlyRefusal(attempt: StatementAttempt): Verdict | undefined {
    const {req} = attempt;
    if (req.nearOnly) return this.#reads.refuseIfNoneNearby(attempt);
    if (!needsPrimary(req)) return undefined;
    if (!this.#right.isHeld) return noRight(req.group);
    const {leaderId} = this.#leadership;
    const canServe = leaderId !== undefined && acceptsWork(this.#ctx, leaderId);
    if (canServe) return undefined;
    return notRun(
      'noPrimary',
      `group ${req.group} has no primary now`,
      this.#primaryRetryMs,
    );
  }

  /** Acquires the right to the primary, and waits for it if the work needs it. */
  async #prepareRight(req: StatementRequest): Promise<void> {
    const {rights, group, clock} = this.#options;
    if (req.nearOnly || this.#right.isHeld) return;
    const acquiring = rights.acquire(group);
    const needed = clock.now() - req.maxStalenessMs;
    const isProven = this.#certificates.covering(needed) !== undefined;
    if (isProven && !needsPrimary(req)) return;
    const timer = new AbortController();
    await Promise.race([
      acquiring,
      clock.sleep(RIGHT_TIMEOUT_MS, timer.signal),
    ]);
    timer.abort();
  }

  get #primaryRetryMs(): number {
    return this.#keeper.isReplacingPrimary
      ? FAILOVER_RETRY_MS
      : NO_PRIMARY_RETRY_MS;
  }

  #createMember(entry: AnnouncedDatabase): GroupMember {
    const {clock, connector, catalog} = this.#options;
    return new GroupMember(entry, {
      clock,
      connector,
      connectionLimit: () => this.#connectionLimit(entry.id),
      weightOf: team => catalog().teams.get(team)?.rate ?? DEFAULT_WEIGHT,
      anyTeam: () => catalog().teams.keys().next().value,
      pace: this.#createPace(entry.id),
      cold: this.#options.cold,
    });
  }

  #createPace(database: string): Pace | undefined {
    const {log, group, pacing: metrics} = this.#options;
    return metrics && createDatabasePace({log, metrics, group, database});
  }

  #connectionLimit(id: string): number {
    const {catalog, group} = this.#options;
    const all = catalog().groups.get(group)?.maxConnections ?? 0;
    const share = this.#isMainNodeFor(id) ? MAIN_NODE_SHARE : OTHER_NODE_SHARE;
    return Math.max(MIN_CONNECTIONS, Math.floor(all * share));
  }

  /** True if this node sends a database most of its work. */
  #isMainNodeFor(id: string): boolean {
    const {isFirstHome, readerIn, self} = this.#options;
    const dataCentre = this.#members.get(id)?.entry.dataCentre;
    const isPrimary = this.#leadership.leaderId === id;
    if (isPrimary || dataCentre === undefined) return isFirstHome();
    const reader = readerIn(dataCentre);
    return reader === undefined ? isFirstHome() : reader === self;
  }

  #drop(id: string, member: GroupMember, reason: string): void {
    this.#options.log.info('databaseDropped', {
      group: this.#options.group,
      database: id,
      reason,
    });
    member.pool.close();
    this.#options.pacing?.recordPaceLimit(this.#options.group, id, undefined);
    this.#members.delete(id);
    this.#missingSince.delete(id);
    this.#leadership.forget(id);
  }

  #dropMissing(): void {
    const oldestKept = this.#options.clock.now() - MISSING_GRACE_MS;
    for (const [id, since] of this.#missingSince) {
      const member = this.#members.get(id);
      if (member !== undefined && since < oldestKept)
        this.#drop(id, member, 'gone');
    }
  }

  #createKeeper(): FailoverCoordinator {
    const {clock, log, group, self, failoverLease, orders, responsibility} =
      this.#options;
    return new FailoverCoordinator({
      clock,
      log,
      group,
      self,
      failoverLease,
      orders,
      handover: this.#options.handover,
      acquireRight: () => this.#options.rights.acquire(group),
      leadership: this.#leadership,
      databases: () => {
        this.#dropMissing();
        return [...this.#members.values()].map(member => ({
          id: member.id,
          isDraining: member.entry.isDraining,
          isSuspect: member.health.needsProbe,
          visiblePosition: member.visiblePosition,
          queryState: () => member.queryStateOverNewConnection(),
          queryStateOnOpenConnection: () => member.queryState(),
          stepDown: term => member.stepDown(term),
        }));
      },
      responsibility,
      hasFreshCopy: this.#options.hasFreshCopy,
      recordAttempt: outcome =>
        this.#options.metrics.recordFailoverAttempt(group, outcome),
      holdWrites: async () => {
        await this.#gate.holdWrites();
        return () => this.#gate.releaseWrites();
      },
      onUnreachable: id => this.#members.get(id)?.closeConnections(),
      onPromoted: id => {
        // The log of a database ahead of the promoted one has been truncated.
        for (const member of this.#members.values())
          member.resetVisiblePosition();
        log.info('primaryInForce', {group, database: id});
      },
    });
  }

  /** Fetches a certificate when no statement at the primary brought one. */
  async #refreshCertificates(signal: AbortSignal): Promise<void> {
    const {clock, catalog} = this.#options;
    while (!signal.aborted) {
      await sleepToTick(clock, CERTIFICATE_REFRESH_MS, signal);
      const ageMs = clock.now() - this.#certificates.newestAt;
      const [team] = catalog().teams.keys();
      if (ageMs < CERTIFICATE_REFRESH_MS || team === undefined) continue;
      await this.#reads.fetchCertificate(team);
    }
  }
}

/** Whether only the primary can serve a statement. */
function needsPrimary({consistency, kind, opens}: StatementRequest): boolean {
  if (consistency === 'primary') return true;
  return kind === 'write' && opens !== 'readOnly';
}
