/**
 * The home of a database group whose databases certify their own positions:
 * all of the group's statements pass here.
 */
import {OPEN_TEAM, type Catalog, type DatabaseEntry} from '../catalog/types.js';
import type {FailoverDuty, FailoverOrders} from '../groups/failover-duty.js';
import {Leadership} from '../groups/leadership.js';
import {PrimaryKeeper} from '../groups/primary-keeper.js';
import type {Clock} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import type {BudgetHolder} from '../quota/budget-holder.js';
import type {QuotaDecision} from '../quota/types.js';
import {PositionCertificates} from '../routing/certificates.js';
import type {StatementConnector} from '../statements/connection.js';
import type {Logger} from '../telemetry/log.js';
import {notRun, type Verdict} from '../verdict/verdict.js';
import type {BoundConnection} from './bound-connection.js';
import {CertifiedReads} from './certified-reads.js';
import {GroupMember} from './group-member.js';
import type {HomeContext} from './home-context.js';
import {OpenTransactions} from './open-transactions.js';
import {PrimaryWrites} from './primary-writes.js';
import type {StatementAttempt} from './statement-attempt.js';
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
 * Share of a database's connections for the node that does most of its work,
 * and for any other. A database keeps the connections of a lost node for some
 * seconds, in which the next one needs as many.
 */
const MAIN_SHARE = 0.5;
const OTHER_SHARE = 0.3;
const MIN_CONNECTIONS = 2;
/**
 * A database that vanished from the list may be back about two seconds after
 * the store's return; until then it is kept.
 */
const VANISHED_GRACE_MS = 2_500;
/** How often a certificate is fetched where no statement brings one. */
const CERTIFICATE_PERIOD_MS = 400;
/** A connection whose rollback takes longer is closed, which rolls back too. */
const ROLL_BACK_TIMEOUT_MS = 1_000;
const DEFAULT_WEIGHT = 1;
/** When to come back while a primary is being named, and otherwise. */
const CHANGING_RETRY_MS = 500;
const NO_PRIMARY_RETRY_MS = 1_000;

/** Settings of a certified home. */
export interface CertifiedHomeOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly group: string;
  readonly self: string;
  readonly dataCentre: string;
  readonly connector: StatementConnector;
  readonly catalog: () => Catalog;
  readonly quota: Pick<BudgetHolder, 'admit'>;
  readonly duty: FailoverDuty;
  readonly orders: FailoverOrders;
  /** Whether this node is the first choice as the group's home. */
  readonly isFirstHome: () => boolean;
  /** The node that serves the group's reads in a data centre, if any does. */
  readonly readerIn: (dataCentre: string) => string | undefined;
  /** Whether this node is the one to name a primary where that is needed. */
  readonly isResponsible: () => boolean;
  /** Whether the list of databases may lack some without their fault. */
  readonly mayHaveLapsed: () => boolean;
}

/**
 * @example
 * const home = new CertifiedHome(options);
 * home.start();
 * home.applyEntry(entry);
 * const result = await home.execute(req, signal);
 */
export class CertifiedHome {
  readonly #options: CertifiedHomeOptions;
  readonly #members = new Map<string, GroupMember>();
  readonly #vanished = new Map<string, number>();
  readonly #leadership = new Leadership();
  readonly #certificates = new PositionCertificates();
  readonly #transactions: OpenTransactions<BoundConnection, OpenTransaction>;
  readonly #gate: WriteGate;
  readonly #keeper: PrimaryKeeper;
  readonly #reads: CertifiedReads;
  readonly #writes: PrimaryWrites;
  readonly #pinned: TransactionStatements;
  readonly #stopping = new AbortController();
  #running = 0;
  #lastUsedAt: number;

  constructor(options: CertifiedHomeOptions) {
    const {clock, log, group, catalog} = options;
    this.#options = options;
    this.#lastUsedAt = clock.now();
    this.#transactions = new OpenTransactions<BoundConnection, OpenTransaction>(
      {
        clock,
        maxIdleMs: () => catalog().idleTransactionMs,
        rollBack: connection =>
          connection.run([{kind: 'rollback'}], ROLL_BACK_TIMEOUT_MS),
        onIdleEnd: ({sessionId}) =>
          log.info('idleTransactionEnded', {group, session: sessionId}),
      },
    );
    this.#gate = new WriteGate({
      clock,
      openTransactions: () => this.#transactions.size,
    });
    this.#keeper = this.#createKeeper();
    const ctx: HomeContext = {
      clock,
      log,
      group,
      dataCentre: options.dataCentre,
      members: this.#members,
      leadership: this.#leadership,
      certificates: this.#certificates,
      transactions: this.#transactions,
      gate: this.#gate,
      primaryRetryMs: () => this.#primaryRetryMs,
    };
    this.#reads = new CertifiedReads(ctx);
    this.#writes = new PrimaryWrites(ctx);
    this.#pinned = new TransactionStatements(ctx);
  }

  /** Statements that run now, and transactions that are open. */
  get active(): number {
    return this.#running + this.#transactions.size;
  }

  /** How long it has had nothing to do. */
  get idleMs(): number {
    if (this.active > 0) return 0;
    return this.#options.clock.now() - this.#lastUsedAt;
  }

  start(): void {
    const {signal} = this.#stopping;
    this.#transactions.start();
    void this.#keeper.run(signal);
    void this.#keepCertified(signal);
  }

  /** Stops at once; open transactions are rolled back. */
  stop(): void {
    this.#stopping.abort();
    this.#transactions.stop();
    for (const {lane} of this.#members.values()) lane.close();
    void this.#options.duty.release(this.#options.group);
  }

  /** Rolls back a transaction whose caller is gone. */
  release(pin: string): void {
    this.#transactions.release(pin);
  }

  /** Takes what a database announced. */
  applyEntry(entry: DatabaseEntry): void {
    this.#vanished.delete(entry.id);
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
      this.#members.set(entry.id, this.#createMember(entry));
    }
    const now = this.#options.clock.now();
    this.#leadership.noteAnnounced(entry.id, entry.role, now);
  }

  /** Takes that a database's announcement is gone. */
  removeEntry(id: string): void {
    const known = this.#members.get(id);
    if (known === undefined) return;
    if (!this.#options.mayHaveLapsed()) return this.#drop(id, known, 'gone');
    this.#vanished.set(id, this.#options.clock.now());
  }

  /** Runs one statement; every failure is in the result's verdict. */
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

  /** What the home knew when it gave a statement up. */
  #logFailure(
    req: StatementRequest,
    verdict: Exclude<Verdict, {kind: 'done'}>,
  ): void {
    const {clock, log, group, isFirstHome} = this.#options;
    const leader = this.#members.get(this.#leadership.leaderId ?? '');
    const age = clock.now() - this.#certificates.newestAt;
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
      leaderQueue: leader?.lane.outstanding,
      leaderSilentMs: leader && Math.round(leader.health.silentMs),
      leaderPinned: leader?.lane.pinned,
      certificateAgeMs: Math.round(age),
      databases: this.#members.size,
    });
  }

  async #execute(
    req: StatementRequest,
    signal: AbortSignal,
  ): Promise<StatementResult> {
    if (req.pin !== undefined) return this.#pinned.run(req, req.pin);
    const now = this.#options.clock.now();
    const attempt = {
      req,
      signal,
      arrivedAt: now,
      aimAt: now + req.aimMs,
      deadlineAt: now + req.deadlineMs,
    };
    const isRead = req.kind === 'read' && req.opens === undefined;
    const hopeless = this.#hopelessVerdict(attempt);
    if (hopeless !== undefined) return failedStatement(hopeless);
    const quota = await this.#admit(req);
    if (quota.kind === 'refused') {
      const isOver = quota.reason === 'overRate';
      const message = isOver
        ? `team ${req.team} is over its rate`
        : `the budget of team ${req.team} can't be reached`;
      const reason = isOver ? 'rateLimited' : 'budgetUnavailable';
      return failedStatement(notRun(reason, message, quota.retryAfterMs));
    }
    if (isRead) return this.#reads.run(attempt);
    if (req.opens === 'readOnly') return this.#reads.open(attempt);
    return this.#writes.run(attempt);
  }

  /** Callers without a key belong to no team, so no rate holds for them. */
  #admit({team}: StatementRequest): Promise<QuotaDecision> {
    if (team === OPEN_TEAM) return Promise.resolve({kind: 'admitted'});
    return this.#options.quota.admit(team);
  }

  /** Refuses before a token is spent what no database can serve now. */
  #hopelessVerdict(attempt: StatementAttempt): Verdict | undefined {
    const {req} = attempt;
    if (req.nearOnly) return this.#reads.refuseNear(attempt);
    const needsPrimary =
      req.consistency === 'primary' ||
      (req.kind === 'write' && req.opens !== 'readOnly');
    if (!needsPrimary || this.#leadership.leaderId !== undefined)
      return undefined;
    return notRun(
      'noPrimary',
      `group ${req.group} has no primary now`,
      this.#primaryRetryMs,
    );
  }

  get #primaryRetryMs(): number {
    return this.#keeper.isChanging ? CHANGING_RETRY_MS : NO_PRIMARY_RETRY_MS;
  }

  #createMember(entry: DatabaseEntry): GroupMember {
    const {clock, connector, catalog} = this.#options;
    return new GroupMember(entry, {
      clock,
      connector,
      connectionShare: () => this.#connectionShare(entry.id),
      weightOf: team => catalog().teams.get(team)?.rate ?? DEFAULT_WEIGHT,
      anyTeam: () => catalog().teams.keys().next().value,
    });
  }

  #connectionShare(id: string): number {
    const {catalog, group} = this.#options;
    const all = catalog().groups.get(group)?.maxConnections ?? 0;
    const share = this.#doesMostOf(id) ? MAIN_SHARE : OTHER_SHARE;
    return Math.max(MIN_CONNECTIONS, Math.floor(all * share));
  }

  /** Whether this node does most of a database's work. */
  #doesMostOf(id: string): boolean {
    const {isFirstHome, readerIn, self} = this.#options;
    const place = this.#members.get(id)?.entry.dataCentre;
    const isPrimary = this.#leadership.leaderId === id;
    if (isPrimary || place === undefined) return isFirstHome();
    const reader = readerIn(place);
    return reader === undefined ? isFirstHome() : reader === self;
  }

  #drop(id: string, member: GroupMember, reason: string): void {
    this.#options.log.info('databaseDropped', {
      group: this.#options.group,
      database: id,
      reason,
    });
    member.lane.close();
    this.#members.delete(id);
    this.#vanished.delete(id);
    this.#leadership.forget(id);
  }

  #dropVanished(): void {
    const oldest = this.#options.clock.now() - VANISHED_GRACE_MS;
    for (const [id, since] of this.#vanished) {
      const member = this.#members.get(id);
      if (member !== undefined && since < oldest)
        this.#drop(id, member, 'gone');
    }
  }

  #createKeeper(): PrimaryKeeper {
    const {clock, log, group, self, duty, orders, isResponsible} =
      this.#options;
    return new PrimaryKeeper({
      clock,
      log,
      group,
      self,
      duty,
      orders,
      leadership: this.#leadership,
      databases: () => {
        this.#dropVanished();
        return [...this.#members.values()].map(member => ({
          id: member.id,
          isDraining: member.entry.isDraining,
          isSuspect: member.health.isSuspect,
          shown: member.shown,
          askState: () => member.askState(),
          askStateSoon: () => member.askStateSoon(),
        }));
      },
      isResponsible,
      holdWrites: async () => {
        await this.#gate.holdWrites();
        return () => this.#gate.releaseWrites();
      },
      onUnreachable: id => this.#members.get(id)?.abandon(),
      onPromoted: id => {
        // A database that was ahead of the promoted one has been cut back.
        for (const member of this.#members.values()) member.forgetShown();
        log.info('primaryInForce', {group, database: id});
      },
    });
  }

  /** Certificates let replicas serve; statements at the primary bring most. */
  async #keepCertified(signal: AbortSignal): Promise<void> {
    const {clock, catalog} = this.#options;
    while (!signal.aborted) {
      await sleepToTick(clock, CERTIFICATE_PERIOD_MS, signal);
      const age = clock.now() - this.#certificates.newestAt;
      const [team] = catalog().teams.keys();
      if (age < CERTIFICATE_PERIOD_MS || team === undefined) continue;
      await this.#reads.fetchCertificate(team);
    }
  }
}
