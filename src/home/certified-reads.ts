/**
 * Runs reads whose freshness is proved by log positions.
 *
 * At the primary a read runs in a transaction of its own, which only a primary
 * lets begin. At a replica the read names the position that it requires; a
 * replica that has not applied it refuses, and the read tries another database.
 */
import {laterPosition, type Position} from '../session/position.js';
import type {PrimaryClaim} from '../groups/primary-rights.js';
import type {DatabaseCommand, DatabaseReply} from '../statements/types.js';
import {placeRead, type PlacementCandidate} from '../routing/read-placement.js';
import {notRun, type Verdict} from '../verdict/verdict.js';
import {evacuatedDataCentre, evacuationRefusal} from './evacuation-refusal.js';
import type {TeamConnection} from './team-connection.js';
import type {HomeContext} from './home-context.js';
import type {GroupMember} from './group-member.js';
import type {Slot} from './connection-pool.js';
import type {Priority} from './types.js';
import {
  fullReplicaOf,
  fullVerdict,
  isFull,
  logPassedOn,
} from './full-replica.js';
import {
  acceptsWork,
  acquireSlot,
  answered,
  claimPrimary,
  connectionVerdict,
  wasRefused,
  noPrimary,
  noRight,
  recordBegin,
  readTimeoutMs,
  workKindOf,
  type StatementAttempt,
} from './statement-attempt.js';
import {failedStatement, type StatementResult} from './statement-request.js';

/** Maximum number of databases that one read tries. */
const MAX_TRIES = 4;
/**
 * Penalty for another data centre: a round trip of about 2 ms, and as much
 * again for the traffic between data centres.
 */
const REMOTE_PENALTY_MS = 4;
const CERTIFICATE_TIMEOUT_MS = 300;
/** Kind of work of a certificate's fetch, by which its time is expected. */
const CERTIFICATE_KIND = 'certificate';
const NO_DATABASE_RETRY_MS = 200;
/** Pause before databases that had no free slot are tried again. */
const BUSY_PAUSE_MS = 20;

/** Outcome of one try; without a result another database may be tried. */
interface TryOutcome {
  readonly result: StatementResult | undefined;
  readonly verdict: Verdict | undefined;
  /** True if the database had no free slot. */
  readonly isBusy?: boolean;
}

/** Runs the certified reads of one group. */
export class CertifiedReads {
  readonly #ctx: HomeContext;

  constructor(ctx: HomeContext) {
    this.#ctx = ctx;
  }

  /** Runs a read outside a transaction. Never rejects. */
  run(attempt: StatementAttempt): Promise<StatementResult> {
    return this.#tryDatabases(attempt, (member, slot, required) =>
      this.#readAt(attempt, member, slot, required),
    );
  }

  /** Opens a read-only transaction with its first statement. Never rejects. */
  open(attempt: StatementAttempt): Promise<StatementResult> {
    return this.#tryDatabases(attempt, (member, slot, required) =>
      this.#openAt(attempt, member, slot, required),
    );
  }

  /**
   * Refuses a read at once if no database in this data centre can serve it
   * soon; the entry then sends it to the group's home, which uses all of them.
   * Where the senders share their load, a full replica keeps the read if no other
   * database is expected to complete it sooner.
   */
  refuseIfNoneNearby(attempt: StatementAttempt): StatementResult | undefined {
    const required = this.#requiredPosition(attempt);
    const [id] = required
      ? this.#rankDatabases(attempt, required, new Set())
      : [];
    const member = this.#ctx.members.get(id ?? '');
    const isBusy = member !== undefined && isFull(this.#ctx, member);
    if (member !== undefined && !isBusy) return undefined;
    const {group, dataCentre, sharing} = this.#ctx;
    const lacking = isBusy ? 'has a free slot soon' : 'is fresh and answers';
    const message = `no replica of group ${group} in ${dataCentre} ${lacking}`;
    const refusal = failedStatement(notRun('homeUnavailable', message, 0));
    if (sharing === undefined || member === undefined) return refusal;
    const sooner = this.#soonestElsewhere(attempt, required);
    if (sooner === member.id) return undefined;
    logPassedOn(this.#ctx, attempt, member, sooner);
    sharing.recordPassedOn();
    return {...refusal, fullReplica: member.load};
  }

  /**
   * Refuses a statement at once if the work of other nodes alone keeps every
   * database that may run it, or the only one, from doing so by its deadline.
   * This node's own queues refuse by their order, in which an urgent statement is
   * ahead of others.
   */
  refuseIfLateForOthers(
    attempt: StatementAttempt,
    onlyId?: string,
  ): StatementResult | undefined {
    const {clock, sharing, members, group, log} = this.#ctx;
    if (sharing === undefined) return undefined;
    const leftMs = Math.max(0, attempt.deadlineAt - clock.now());
    const waitMs = ({id, entry}: GroupMember) =>
      sharing.load.workElsewhereMs(id) / Math.max(1, entry.slots);
    // Spares the usual statement the ranking.
    if ([...members.values()].every(member => waitMs(member) <= leftMs))
      return undefined;
    const required = this.#requiredPosition(attempt);
    const ids =
      onlyId === undefined
        ? this.#rankDatabases(attempt, required, new Set())
        : [onlyId];
    const usable = ids
      .map(id => members.get(id))
      .filter(member => member !== undefined);
    const soonestMs = Math.min(...usable.map(waitMs));
    const lateMs = soonestMs - leftMs;
    if (usable.length === 0 || lateMs <= 0) return undefined;
    log.info('statementRefusedForOthers', {
      request: attempt.req.statement.requestId,
      group,
      soonestMs: Math.round(soonestMs),
      reportAgeMs: Math.round(sharing.load.ageMs() ?? 0),
    });
    const message = `the databases of group ${group} are busy for longer than the deadline allows`;
    return failedStatement(notRun('overloaded', message, Math.ceil(lateMs)));
  }

  /** Fetches a certificate of the primary's position for reads at replicas. */
  async fetchCertificate(team: string, priority: Priority): Promise<void> {
    const {clock, leadership, members} = this.#ctx;
    const member = members.get(leadership.leaderId ?? '');
    if (member === undefined || !member.health.isReachable) return;
    if (!acceptsWork(this.#ctx, member.id)) return;
    const acquired = await member.pool.acquire({
      team,
      priority,
      deadlineAt: clock.now() + CERTIFICATE_TIMEOUT_MS,
      cancelled: new AbortController().signal,
      values: {},
    });
    if (acquired.kind === 'refused') return;
    const {slot} = acquired;
    const admitting = member.admitCold(1);
    if (admitting !== undefined && (await admitting).kind === 'refused')
      return slot.release();
    const claim = claimPrimary(this.#ctx, member);
    const sentAt = clock.now();
    const end = member.trackWork(slot.connection, CERTIFICATE_KIND);
    try {
      const [begun] = await slot.connection.run(
        [{kind: 'begin', readOnly: false}, {kind: 'rollback'}],
        CERTIFICATE_TIMEOUT_MS,
      );
      if (begun !== undefined)
        recordBegin(this.#ctx, member, begun, sentAt, claim);
    } catch (err) {
      member.recordFailure();
      this.#ctx.log.info('certificateNotFetched', {
        group: this.#ctx.group,
        database: member.id,
        message: err instanceof Error ? err.message : String(err),
      });
    } finally {
      end();
      slot.release();
    }
  }

  async #tryDatabases(
    attempt: StatementAttempt,
    runAt: (
      member: GroupMember,
      slot: Slot<TeamConnection>,
      required: Position | undefined,
    ) => Promise<TryOutcome>,
  ): Promise<StatementResult> {
    const {members, clock} = this.#ctx;
    const avoid = new Set<string>();
    /** Databases whose queues are too long to meet the latency goal. */
    const full = new Set<string>();
    /** Databases that had no free slot, although one was granted here. */
    const busy = new Set<string>();
    let mayBeLate = attempt.latencyGoalAt <= clock.now();
    let last: Verdict | undefined;
    for (let tries = 0; tries < MAX_TRIES;) {
      if (attempt.signal.aborted || clock.now() >= attempt.deadlineAt) break;
      const required = this.#requiredPosition(attempt);
      const fullReplica = fullReplicaOf(this.#ctx, attempt);
      const excluded =
        fullReplica === undefined ? avoid : new Set([...avoid, fullReplica.id]);
      const [id] = this.#rankDatabases(attempt, required, excluded);
      const member = id === undefined ? undefined : members.get(id);
      if (member === undefined) {
        // The home knows the queues of all databases; a reader passes on to it.
        const isBusy = busy.size > 0 && clock.now() < attempt.latencyGoalAt;
        if (isBusy && !attempt.req.nearOnly) {
          await clock.sleep(BUSY_PAUSE_MS);
          for (const busyId of busy) avoid.delete(busyId);
          busy.clear();
          continue;
        }
        const mayRelax = !mayBeLate && full.size > 0 && !attempt.req.nearOnly;
        if (!mayRelax) {
          last ??= fullReplica && fullVerdict(fullReplica);
          break;
        }
        mayBeLate = true;
        for (const fullId of full) avoid.delete(fullId);
        continue;
      }
      avoid.add(member.id);
      const acquired = await acquireSlot(
        this.#ctx,
        attempt,
        member,
        mayBeLate ? attempt.deadlineAt : attempt.latencyGoalAt,
      );
      if (acquired.kind === 'refused') {
        last = soonerRetry(last, acquired.verdict);
        if (acquired.estimate !== undefined) full.add(member.id);
        continue;
      }
      const outcome = await runAt(member, acquired.slot, required);
      if (outcome.result !== undefined) return outcome.result;
      last = outcome.verdict ?? last;
      if (outcome.isBusy) busy.add(member.id);
      else tries += 1;
    }
    return failedStatement(last ?? this.#noDatabaseVerdict(attempt));
  }

  async #readAt(
    attempt: StatementAttempt,
    member: GroupMember,
    slot: Slot<TeamConnection>,
    required: Position | undefined,
  ): Promise<TryOutcome> {
    // Without the right the primary serves what it can prove like a replica.
    const claim = claimPrimary(this.#ctx, member);
    if (claim === undefined && !mayReadAt(attempt, required))
      return this.#releaseNotPrimary(member, slot);
    const {connection} = slot;
    const {statement} = attempt.req;
    const outcome = await this.#runOn(attempt, member, connection, claim, () =>
      claim !== undefined
        ? [
            {kind: 'begin', readOnly: false},
            connection.commandFor(statement),
            {kind: 'rollback'},
          ]
        : [connection.commandFor(statement, required)],
    );
    slot.release();
    if (!Array.isArray(outcome)) return outcome;
    if (claim === undefined)
      return this.#toOutcome(member, outcome[0], required);
    const [begun, reply] = outcome;
    if (isBusyReply(begun)) return this.#toOutcome(member, begun, required);
    if (begun?.kind !== 'done' || !claim.isValid) {
      return {result: undefined, verdict: this.#notPrimary(member)};
    }
    return this.#toOutcome(member, reply, required);
  }

  async #openAt(
    attempt: StatementAttempt,
    member: GroupMember,
    slot: Slot<TeamConnection>,
    required: Position | undefined,
  ): Promise<TryOutcome> {
    const {transactions} = this.#ctx;
    const claim = claimPrimary(this.#ctx, member);
    if (claim === undefined && !mayReadAt(attempt, required))
      return this.#releaseNotPrimary(member, slot);
    const {connection} = slot;
    const {statement, sessionId} = attempt.req;
    const begin: DatabaseCommand =
      claim !== undefined
        ? {kind: 'begin', readOnly: false}
        : {kind: 'begin', readOnly: true, after: required};
    // Sent on its own: if begin were refused, a statement sent along with it
    // would run outside the transaction.
    const begun = await this.#runOn(attempt, member, connection, claim, () => [
      begin,
    ]);
    const began = Array.isArray(begun) && begun[0]?.kind === 'done';
    const ran = began
      ? await this.#runOn(attempt, member, connection, claim, () => [
          connection.commandFor(statement),
        ])
      : begun;
    if (!Array.isArray(ran)) {
      slot.release();
      return ran;
    }
    const [reply] = ran;
    if (!began || reply?.kind !== 'done') {
      transactions.rollBack(slot);
      if (claim !== undefined && !began && !isBusyReply(reply)) {
        return {result: undefined, verdict: this.#notPrimary(member)};
      }
      return this.#toOutcome(member, reply, required);
    }
    if (statement.access === 'commit') {
      slot.release();
      return {result: answered(reply), verdict: undefined};
    }
    slot.pin();
    const pin = transactions.add({
      slot,
      sessionId,
      databaseId: member.id,
      member,
      claim,
    });
    return {
      result: answered(reply, {transaction: 'open', pin}),
      verdict: undefined,
    };
  }

  /** Gives a slot back whose database lost the primary role meanwhile. */
  #releaseNotPrimary(
    member: GroupMember,
    slot: Slot<TeamConnection>,
  ): TryOutcome {
    slot.release();
    return {result: undefined, verdict: this.#notPrimary(member)};
  }

  /** Runs commands; returns a failed try if the connection fails. */
  async #runOn(
    attempt: StatementAttempt,
    member: GroupMember,
    connection: TeamConnection,
    claim: PrimaryClaim | undefined,
    createCommands: () => readonly DatabaseCommand[],
  ): Promise<DatabaseReply[] | TryOutcome> {
    const {clock} = this.#ctx;
    const {values, statement} = attempt.req;
    const timeoutMs = readTimeoutMs(this.#ctx, attempt, member);
    const endWork = member.trackWork(connection, workKindOf(attempt.req));
    const endClaim = claim?.begin();
    try {
      await connection.applySession(values, statement.prepared, timeoutMs);
      const sentAt = clock.now();
      const commands = createCommands();
      const replies = await connection.run(commands, timeoutMs);
      for (const reply of replies) member.recordReply(reply);
      const [first] = replies;
      if (commands[0]?.kind === 'begin' && !commands[0].readOnly && first) {
        recordBegin(this.#ctx, member, first, sentAt, claim);
      }
      return [...replies];
    } catch (err) {
      member.recordFailure();
      this.#ctx.log.info('readTryLost', {
        request: statement.requestId,
        database: member.id,
        message: err instanceof Error ? err.message : String(err),
      });
      return {result: undefined, verdict: connectionVerdict(err, member.id)};
    } finally {
      endWork();
      endClaim?.();
    }
  }

  #toOutcome(
    member: GroupMember,
    reply: DatabaseReply | undefined,
    required: Position | undefined,
  ): TryOutcome {
    if (reply === undefined) {
      return {result: undefined, verdict: this.#notPrimary(member)};
    }
    if (!wasRefused(reply))
      return {result: answered(reply), verdict: undefined};
    if (reply.kind === 'error' && reply.code === 'lagging' && required) {
      member.recordLagRefusal(required);
    }
    const code = reply.kind === 'error' ? reply.code : '';
    const message = `database ${member.id} refused the read: ${code}`;
    return {
      result: undefined,
      verdict: notRun('overloaded', message, NO_DATABASE_RETRY_MS),
      isBusy: code === 'busy',
    };
  }

  #requiredPosition({req, arrivedAt}: StatementAttempt): Position | undefined {
    if (req.consistency === 'primary') return undefined;
    const covering = this.#ctx.certificates.covering(
      arrivedAt - req.maxStalenessMs,
    );
    const readsOwnWrites = req.consistency === 'session';
    if (
      covering === undefined ||
      !readsOwnWrites ||
      req.position === undefined
    ) {
      return covering;
    }
    return laterPosition(covering, req.position);
  }

  /**
   * Returns the database of the whole group that is expected to complete a read
   * soonest. The home is assumed to have open connections to the others.
   */
  #soonestElsewhere(
    attempt: StatementAttempt,
    required: Position | undefined,
  ): string | undefined {
    const {members, leadership, clock, dataCentre, sharing} = this.#ctx;
    const req = {...attempt.req, nearOnly: undefined};
    const candidates = this.#candidates({req}, required).map(candidate => {
      const {id, isReachable} = candidate;
      if (members.get(id)?.entry.dataCentre === dataCentre) return candidate;
      const isSilent = sharing?.load.isUnreachableElsewhere(id) ?? false;
      return {
        ...candidate,
        isPrimary: id === leadership.leaderId,
        isReachable: isReachable && !isSilent,
        connectMs: 0,
      };
    });
    const [soonest] = placeRead({
      candidates,
      needed: required,
      now: clock.now(),
      avoid: new Set(),
    });
    return soonest;
  }

  #rankDatabases(
    attempt: StatementAttempt,
    required: Position | undefined,
    avoid: ReadonlySet<string>,
  ): readonly string[] {
    const candidates = this.#candidates(attempt, required);
    const isPrimaryOnly = attempt.req.consistency === 'primary';
    const ranked = placeRead({
      candidates: isPrimaryOnly
        ? candidates.filter(({isPrimary}) => isPrimary)
        : candidates,
      needed: required,
      now: this.#ctx.clock.now(),
      avoid,
    });
    return this.#evacuatedLast(ranked);
  }

  /** The databases that may serve a read, with their state. */
  #candidates(
    {req}: Pick<StatementAttempt, 'req'>,
    required: Position | undefined,
  ): readonly PlacementCandidate[] {
    const {members, leadership, dataCentre, right, sharing} = this.#ctx;
    const load = sharing?.load;
    return [...members.values()]
      .filter(({id}) => acceptsWork(this.#ctx, id))
      .filter(
        ({entry: {id, isDraining}}) =>
          id === leadership.leaderId || !isDraining,
      )
      .filter(
        ({id}) =>
          id !== leadership.leaderId ||
          right.isHeld ||
          mayReadAt({req}, required),
      )
      .filter(({entry}) => !req.nearOnly || entry.dataCentre === dataCentre)
      .map(member => ({
        id: member.id,
        isPrimary: member.id === leadership.leaderId && right.isHeld,
        isReachable: member.health.isReachable,
        outstanding: member.pool.outstanding,
        slots: member.pacedSlots,
        // A replica to which only others have sent work is not measured here.
        costMs: Math.max(
          member.pool.costMs,
          load?.costElsewhereMs(member.id) ?? 0,
        ),
        connectMs: member.connectMs(req.team),
        roundTripMs:
          member.entry.dataCentre === dataCentre ? 0 : REMOTE_PENALTY_MS,
        visiblePosition: member.visiblePosition,
        lastShortfall: member.lastLagRefusal,
        shared: load && {
          concurrency: member.pool.concurrency,
          workElsewhereMs: load.workElsewhereMs(member.id),
        },
      }));
  }

  /** Moves a primary in an evacuated data centre behind the replicas elsewhere. */
  #evacuatedLast(ids: readonly string[]): readonly string[] {
    const {members, evacuations} = this.#ctx;
    const isEvacuated = (id: string) => {
      const dataCentre = members.get(id)?.entry.dataCentre;
      return (
        dataCentre !== undefined && evacuations.useOf(dataCentre) !== 'open'
      );
    };
    return [
      ...ids.filter(id => !isEvacuated(id)),
      ...ids.filter(id => isEvacuated(id)),
    ];
  }

  #notPrimary({id}: GroupMember): Verdict {
    return notRun(
      'noPrimary',
      `database ${id} does not lead its group`,
      this.#ctx.primaryRetryMs(),
    );
  }

  #noDatabaseVerdict({req}: StatementAttempt): Verdict {
    const {group, leadership, right} = this.#ctx;
    const evacuated = evacuatedDataCentre(this.#ctx);
    if (evacuated !== undefined) return evacuationRefusal(this.#ctx, evacuated);
    if (leadership.leaderId === undefined) return noPrimary(this.#ctx);
    if (!right.isHeld && !req.nearOnly) return noRight(group);
    if (req.consistency === 'primary') return noPrimary(this.#ctx);
    const message = `group ${group} has no database for this read now`;
    return notRun('staleReplicas', message, NO_DATABASE_RETRY_MS);
  }
}

/** Whether a read may run with the position that it requires as its proof. */
function mayReadAt(
  {req}: Pick<StatementAttempt, 'req'>,
  required: Position | undefined,
): boolean {
  return required !== undefined && req.consistency !== 'primary';
}

function isBusyReply(reply: DatabaseReply | undefined): boolean {
  return reply?.kind === 'error' && reply.code === 'busy';
}

/** Returns the refusal after which the caller may retry sooner. */
function soonerRetry(a: Verdict | undefined, b: Verdict): Verdict {
  if (a?.kind !== 'notRun' || b.kind !== 'notRun') return b;
  return (a.retryAfterMs ?? Infinity) < (b.retryAfterMs ?? Infinity) ? a : b;
}
