/**
 * The home of a database group: all of the group's statements run through it.
 *
 * The primary certifies log positions: each proves that the position includes
 * every commit acknowledged before a given time. Reads at replicas use them.
 */
import type {DataCentreUse, EvacuationView} from '../catalog/evacuations.js';
import {
  ANONYMOUS_TEAM,
  type Catalog,
  type AnnouncedDatabase,
} from '../catalog/types.js';
import type {WaitEstimate} from '../admission/wait-estimate.js';
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
import {runAtTicks, sleepToTick} from '../infra/timer.js';
import type {BudgetHolder} from '../quota/budget-holder.js';
import type {QuotaDecision} from '../quota/types.js';
import type {DatabaseLoad, GroupSharing} from '../load/types.js';
import type {ColdLimit} from '../pace/cold-limit.js';
import {createDatabasePace, type PaceMetrics} from '../pace/database-pace.js';
import type {Pace} from '../pace/pace.js';
import {PositionCertificates} from '../routing/certificates.js';
import type {StatementConnector} from '../statements/connection.js';
import type {LogFields, Logger} from '../telemetry/log.js';
import {notRun, type NotRun, type Verdict} from '../verdict/verdict.js';
import type {TeamConnection} from './team-connection.js';
import {CertifiedReads} from './certified-reads.js';
import {
  connectionShare,
  UNUSED_TIMEOUT_MS,
  type SenderRole,
} from './connection-share.js';
import {EvacuatedDatabases} from './evacuated-databases.js';
import {
  causeOfRefusal,
  evacuatedDataCentre,
  evacuationRefusal,
} from './evacuation-refusal.js';
import {GroupMember} from './group-member.js';
import {guardConnector} from './guarded-connector.js';
import type {GroupRight, HomeContext} from './home-context.js';
import {mayFallBackToHome} from './home-forwarder.js';
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
import type {Priority} from './types.js';
import {WriteGate} from './write-gate.js';

/** Period at which connections that the node no longer needs are closed. */
const UNUSED_CHECK_MS = 500;
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
  /** Number of different priorities that routes have. */
  readonly priorityCount: () => number;
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
  readonly evacuations: EvacuationView;
  /** Returns whether the group's primary is to leave an evacuated data centre. */
  readonly isEvacuationDue: () => boolean;
  /** Returns whether announcements may have expired in a store outage. */
  readonly mayHaveLapsed: () => boolean;
  /** Load information of the group's other senders; undefined if not shared. */
  readonly sharing?: GroupSharing | undefined;
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
  readonly #evacuated: EvacuatedDatabases;
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
      evacuations: options.evacuations,
      sharing: options.sharing,
    };
    this.#ctx = ctx;
    this.#evacuated = new EvacuatedDatabases(ctx);
    this.#reads = new CertifiedReads(ctx);
    this.#writes = new PrimaryWrites(ctx);
    this.#transactionStatements = new TransactionStatements(
      ctx,
      this.#evacuated,
    );
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

  /** This node's work at the group's databases; those without it are left out. */
  get loads(): readonly DatabaseLoad[] {
    return [...this.#members.values()]
      .map(member => member.load)
      .filter(({outstanding}) => outstanding > 0);
  }

  start(): void {
    const {signal} = this.#stopping;
    this.#isStarted = true;
    this.#transactions.start();
    void this.#keeper.run(signal);
    void this.#evacuated.run(signal);
    void this.#refreshCertificates(signal);
    void runAtTicks(this.#options.clock, UNUSED_CHECK_MS, signal, () =>
      this.#closeUnused(),
    );
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

  /** Rolls back the transactions that run no statement. */
  rollBackTransactions(): void {
    this.#transactions.rollBackAll();
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
    let estimate: WaitEstimate | undefined;
    const onRefused = (refusedBy: WaitEstimate) => (estimate = refusedBy);
    try {
      const result = await this.#execute(req, signal, onRefused);
      if (signal.aborted && result.pin !== undefined) this.release(result.pin);
      const {verdict} = result;
      if (verdict.kind !== 'done') this.#logFailure(req, verdict, estimate);
      if (verdict.kind === 'notRun') this.#countRefusal(req, verdict);
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
    estimate: WaitEstimate | undefined,
  ): void {
    const {clock, log, group, isFirstHome} = this.#options;
    const leader = this.#members.get(this.#leadership.leaderId ?? '');
    const ageMs = clock.now() - this.#certificates.newestAt;
    const evacuation =
      verdict.reason === 'evacuated' ? causeOfRefusal(this.#ctx) : undefined;
    if (evacuation !== undefined && !req.nearOnly) {
      const {dataCentre} = evacuation;
      this.#options.metrics.recordEvacuationRefusal(group, dataCentre);
    }
    log.info('statementGivenUp', {
      request: req.statement.requestId,
      group,
      team: req.team,
      consistency: req.consistency,
      priority: req.priority,
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
      evacuated: evacuation?.dataCentre,
      evacuationLearntMsAgo: evacuation && Math.round(evacuation.learntMsAgo),
      ...toLogFields(estimate),
    });
  }

  /** Counts a refusal, except of a read that the entry sends elsewhere. */
  #countRefusal(req: StatementRequest, verdict: NotRun): void {
    if (req.nearOnly && mayFallBackToHome(req, verdict)) return;
    this.#options.metrics.recordRefusal(req.priority, verdict.reason);
  }

  async #execute(
    req: StatementRequest,
    signal: AbortSignal,
    onRefused: (estimate: WaitEstimate) => void,
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
      onRefused,
    };
    const isRead = req.kind === 'read' && req.opens === undefined;
    const evacuated = this.#refuseIfEvacuated(req);
    if (evacuated !== undefined) return failedStatement(evacuated);
    await this.#prepareRight(req);
    const refusal = this.#earlyRefusal(attempt);
    if (refusal !== undefined) return refusal;
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

  /**
   * Refuses what only the closed primary of an evacuated data centre can serve,
   * without waiting for the right to it.
   */
  #refuseIfEvacuated(req: StatementRequest): Verdict | undefined {
    const dataCentre = evacuatedDataCentre(this.#ctx);
    if (dataCentre === undefined || req.nearOnly) return undefined;
    if (!needsPrimary(req) && this.#hasCertificateFor(req)) return undefined;
    return evacuationRefusal(this.#ctx, dataCentre);
  }

  /** Whether a replica can prove that it is fresh enough for a read. */
  #hasCertificateFor({maxStalenessMs}: StatementRequest): boolean {
    const needed = this.#options.clock.now() - maxStalenessMs;
    return this.#certificates.covering(needed) !== undefined;
  }

  /** Refuses what no database can serve now, before a token is spent. */
  #earlyRefusal(attempt: StatementAttempt): StatementResult | undefined {
    const {req} = attempt;
    if (req.nearOnly) return this.#reads.refuseIfNoneNearby(attempt);
    if (!needsPrimary(req)) return this.#reads.refuseIfLateForOthers(attempt);
    if (!this.#right.isHeld) return failedStatement(noRight(req.group));
    const {leaderId} = this.#leadership;
    const canServe = leaderId !== undefined && acceptsWork(this.#ctx, leaderId);
    if (canServe) return this.#reads.refuseIfLateForOthers(attempt, leaderId);
    const verdict = notRun(
      'noPrimary',
      `group ${req.group} has no primary now`,
      this.#primaryRetryMs,
    );
    return failedStatement(verdict);
  }

  /** Acquires the right to the primary, and waits for it if the work needs it. */
  async #prepareRight(req: StatementRequest): Promise<void> {
    const {rights, group, clock} = this.#options;
    if (req.nearOnly || this.#right.isHeld) return;
    const acquiring = rights.acquire(group);
    if (this.#hasCertificateFor(req) && !needsPrimary(req)) return;
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
    const {clock, connector, catalog, evacuations} = this.#options;
    const remainingMs = () =>
      evacuations.find(entry.dataCentre)?.closesInMs ?? Infinity;
    return new GroupMember(entry, {
      clock,
      connector: guardConnector(connector, remainingMs),
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
    return connectionShare(all, this.#roleFor(id));
  }

  #roleFor(id: string): SenderRole {
    if (this.#isMainNodeFor(id)) return 'main';
    const {isFirstHome, responsibility} = this.#options;
    return isFirstHome() || responsibility().isSelf ? 'fallback' : 'other';
  }

  /**
   * Closes connections that have become idle on a node that is not a database's
   * main one, so that they don't count against its limit for as long as the node
   * serves other databases of the group.
   */
  #closeUnused(): void {
    const oldest = this.#options.clock.now() - UNUSED_TIMEOUT_MS;
    for (const member of this.#members.values()) {
      if (this.#isMainNodeFor(member.id)) continue;
      member.connections.closeSilentSince(oldest);
    }
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
          isEvacuated: this.#useOf(member) !== 'open',
          isClosed: this.#useOf(member) === 'closed',
          isSuspect: member.health.needsProbe,
          visiblePosition: member.visiblePosition,
          queryState: () => member.queryStateOverNewConnection(),
          queryStateOnOpenConnection: () => member.queryState(),
          stepDown: term => member.stepDown(term),
        }));
      },
      responsibility,
      syncReplicas: () =>
        this.#options.catalog().groups.get(group)?.syncReplicas ?? 0,
      isEvacuationDue: this.#options.isEvacuationDue,
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

  #useOf({entry}: GroupMember): DataCentreUse {
    return this.#options.evacuations.useOf(entry.dataCentre);
  }

  /**
   * Below the most urgent work, like that of the least urgent route where two
   * priorities are configured; no lower, as reads at replicas depend on it.
   */
  get #certificatePriority(): Priority {
    return Math.min(1, Math.max(0, this.#options.priorityCount() - 1));
  }

  /** Fetches a certificate when no statement at the primary brought one. */
  async #refreshCertificates(signal: AbortSignal): Promise<void> {
    const {clock, catalog} = this.#options;
    while (!signal.aborted) {
      await sleepToTick(clock, CERTIFICATE_REFRESH_MS, signal);
      const ageMs = clock.now() - this.#certificates.newestAt;
      const [team] = catalog().teams.keys();
      if (ageMs < CERTIFICATE_REFRESH_MS || team === undefined) continue;
      await this.#reads.fetchCertificate(team, this.#certificatePriority);
    }
  }
}

function toLogFields(estimate: WaitEstimate | undefined): LogFields {
  if (estimate === undefined) return {};
  return {
    estimatedWaitMs: Math.round(estimate.waitMs),
    aheadMs: Math.round(estimate.sameMs),
    moreUrgentMs: Math.round(estimate.urgentMs),
    arrivingMs: Math.round(estimate.arrivingMs),
    lessUrgentMs: Math.round(estimate.floorMs),
    concurrency: estimate.concurrency,
  };
}

/** Whether only the primary can serve a statement. */
function needsPrimary({consistency, kind, opens}: StatementRequest): boolean {
  if (consistency === 'primary') return true;
  return kind === 'write' && opens !== 'readOnly';
}
