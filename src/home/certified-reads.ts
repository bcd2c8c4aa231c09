/**
 * Runs reads whose freshness is proved by log positions.
 *
 * At the primary a read runs inside a transaction of its own, whose beginning
 * only a primary accepts. At a replica it asks for a position that covers all
 * it must see; a replica that lacks it refuses, and the read goes elsewhere.
 */
import {laterPosition, type Position} from '../session/position.js';
import type {DatabaseCommand, DatabaseReply} from '../statements/types.js';
import {placeRead} from '../routing/read-placement.js';
import {notRun, type NotRun, type Verdict} from '../verdict/verdict.js';
import type {BoundConnection} from './bound-connection.js';
import type {HomeContext} from './home-context.js';
import type {GroupMember} from './group-member.js';
import type {Slot} from './lane.js';
import {
  acquireSlot,
  answered,
  connectionVerdict,
  isNotRun,
  noPrimary,
  noteBegin,
  readTimeoutMs,
  tooManyTransactions,
  type StatementAttempt,
} from './statement-attempt.js';
import {failedStatement, type StatementResult} from './statement-request.js';

/** Databases that one read is tried at. */
const MAX_TRIES = 4;
/**
 * What another data centre counts for: some 2 ms there and back, and as much
 * again for the bytes between data centres.
 */
const REMOTE_DISTANCE_MS = 4;
const CERTIFICATE_TIMEOUT_MS = 300;
/**
 * Statements a slot at a replica nearby before reads go to the group's home,
 * which knows the queues of the other databases: one that runs and one that
 * waits.
 */
const NEAR_QUEUE = 2;
const NO_DATABASE_RETRY_MS = 200;

/** What one try came to; `undefined` where another database may serve. */
interface Try {
  readonly result: StatementResult | undefined;
  readonly verdict: Verdict | undefined;
}

/** Runs the reads of one group. */
export class CertifiedReads {
  readonly #ctx: HomeContext;

  constructor(ctx: HomeContext) {
    this.#ctx = ctx;
  }

  /** Runs a read on its own. Never rejects. */
  run(attempt: StatementAttempt): Promise<StatementResult> {
    return this.#tryInTurn(attempt, (member, slot, needed) =>
      this.#readAt(attempt, member, slot, needed),
    );
  }

  /** Opens a read-only transaction with its first statement. Never rejects. */
  open(attempt: StatementAttempt): Promise<StatementResult> {
    return this.#tryInTurn(attempt, (member, slot, needed) =>
      this.#openAt(attempt, member, slot, needed),
    );
  }

  /**
   * Refuses at once a read that no database in this data centre may serve
   * soon; the group's home, which knows the others, is asked instead.
   */
  refuseNear(attempt: StatementAttempt): NotRun | undefined {
    const needed = this.#neededBy(attempt);
    const [id] = needed ? this.#place(attempt, needed, new Set()) : [];
    const member = this.#ctx.members.get(id ?? '');
    const isBusy =
      member !== undefined &&
      member.lane.outstanding >= member.entry.slots * NEAR_QUEUE;
    if (member !== undefined && !isBusy) return undefined;
    const {group, dataCentre} = this.#ctx;
    const what = isBusy ? 'has a free slot soon' : 'is fresh and answers';
    const message = `no replica of group ${group} in ${dataCentre} ${what}`;
    return notRun('homeUnavailable', message, 0);
  }

  /** Has the primary certify its position, for reads at replicas. */
  async fetchCertificate(team: string): Promise<void> {
    const {clock, leadership, members} = this.#ctx;
    const member = members.get(leadership.leaderId ?? '');
    if (member === undefined || !member.health.isReachable) return;
    const acquired = await member.lane.acquire({
      team,
      priority: 'ordinary',
      deadlineAt: clock.now() + CERTIFICATE_TIMEOUT_MS,
      cancelled: new AbortController().signal,
      values: {},
    });
    if (acquired.kind === 'refused') return;
    const {slot} = acquired;
    const sentAt = clock.now();
    const end = member.begin(slot.connection);
    try {
      const [begun] = await slot.connection.run(
        [{kind: 'begin', readOnly: false}, {kind: 'rollback'}],
        CERTIFICATE_TIMEOUT_MS,
      );
      if (begun !== undefined) noteBegin(this.#ctx, member, begun, sentAt);
    } catch (err) {
      member.health.noteFailure();
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

  async #tryInTurn(
    attempt: StatementAttempt,
    runAt: (
      member: GroupMember,
      slot: Slot<BoundConnection>,
      needed: Position | undefined,
    ) => Promise<Try>,
  ): Promise<StatementResult> {
    const {members, clock} = this.#ctx;
    const avoid = new Set<string>();
    let last: Verdict | undefined;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      if (attempt.signal.aborted || clock.now() >= attempt.deadlineAt) break;
      const needed = this.#neededBy(attempt);
      const [id] = this.#place(attempt, needed, avoid);
      const member = id === undefined ? undefined : members.get(id);
      if (member === undefined) break;
      avoid.add(member.id);
      const isFirst = tries === 0 && attempt.aimAt > clock.now();
      const queueUntil = isFirst ? attempt.aimAt : attempt.deadlineAt;
      const acquired = await acquireSlot(attempt, member, queueUntil);
      if (acquired.kind === 'refused') {
        last = earlier(last, acquired.verdict);
        continue;
      }
      const {result, verdict} = await runAt(member, acquired.slot, needed);
      if (result !== undefined) return result;
      last = verdict ?? last;
    }
    return failedStatement(last ?? this.#noDatabase(attempt));
  }

  async #readAt(
    attempt: StatementAttempt,
    member: GroupMember,
    slot: Slot<BoundConnection>,
    needed: Position | undefined,
  ): Promise<Try> {
    const isPrimary = member.id === this.#ctx.leadership.leaderId;
    if (!isPrimary && needed === undefined) return this.#deposed(member, slot);
    const {connection} = slot;
    const {statement} = attempt.req;
    const outcome = await this.#runOn(attempt, member, connection, () =>
      isPrimary
        ? [
            {kind: 'begin', readOnly: false},
            connection.commandFor(statement),
            {kind: 'rollback'},
          ]
        : [connection.commandFor(statement, needed)],
    );
    slot.release();
    if (!Array.isArray(outcome)) return outcome;
    const [begun] = outcome;
    const reply = isPrimary ? outcome[1] : begun;
    if (isPrimary && begun?.kind !== 'done') {
      return {result: undefined, verdict: this.#notLeading(member)};
    }
    return this.#judge(member, reply, needed);
  }

  async #openAt(
    attempt: StatementAttempt,
    member: GroupMember,
    slot: Slot<BoundConnection>,
    needed: Position | undefined,
  ): Promise<Try> {
    const {leadership, transactions} = this.#ctx;
    if (!member.lane.mayPin) {
      slot.release();
      return {result: undefined, verdict: tooManyTransactions(member.id)};
    }
    const isPrimary = member.id === leadership.leaderId;
    if (!isPrimary && needed === undefined) return this.#deposed(member, slot);
    const {connection} = slot;
    const {statement, sessionId} = attempt.req;
    const begin: DatabaseCommand = isPrimary
      ? {kind: 'begin', readOnly: false}
      : {kind: 'begin', readOnly: true, after: needed};
    // Not in one go: were the beginning refused, the statement would run alone.
    const begun = await this.#runOn(attempt, member, connection, () => [begin]);
    const began = Array.isArray(begun) && begun[0]?.kind === 'done';
    const ran = began
      ? await this.#runOn(attempt, member, connection, () => [
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
      if (isPrimary && !began) {
        return {result: undefined, verdict: this.#notLeading(member)};
      }
      return this.#judge(member, reply, needed);
    }
    if (statement.access === 'commit') {
      slot.release();
      return {result: answered(reply), verdict: undefined};
    }
    slot.pin();
    const pin = transactions.keep({
      slot,
      sessionId,
      databaseId: member.id,
      member,
    });
    return {
      result: answered(reply, {transaction: 'open', pin}),
      verdict: undefined,
    };
  }

  /** The database lost the lead while the read waited for a slot there. */
  #deposed(member: GroupMember, slot: Slot<BoundConnection>): Try {
    slot.release();
    return {result: undefined, verdict: this.#notLeading(member)};
  }

  /** Runs commands; a try that failed where the connection did. */
  async #runOn(
    attempt: StatementAttempt,
    member: GroupMember,
    connection: BoundConnection,
    commands: () => readonly DatabaseCommand[],
  ): Promise<DatabaseReply[] | Try> {
    const {clock} = this.#ctx;
    const {values, statement} = attempt.req;
    const timeoutMs = readTimeoutMs(this.#ctx, attempt, member);
    const end = member.begin(connection);
    try {
      await connection.prepareFor(values, statement.prepared, timeoutMs);
      const sentAt = clock.now();
      const list = commands();
      const replies = await connection.run(list, timeoutMs);
      for (const reply of replies) member.noteReply(reply);
      const [first] = replies;
      if (list[0]?.kind === 'begin' && !list[0].readOnly && first) {
        noteBegin(this.#ctx, member, first, sentAt);
      }
      return [...replies];
    } catch (err) {
      member.health.noteFailure();
      this.#ctx.log.info('readTryLost', {
        request: statement.requestId,
        database: member.id,
        message: err instanceof Error ? err.message : String(err),
      });
      return {result: undefined, verdict: connectionVerdict(err, member.id)};
    } finally {
      end();
    }
  }

  #judge(
    member: GroupMember,
    reply: DatabaseReply | undefined,
    needed: Position | undefined,
  ): Try {
    if (reply === undefined) {
      return {result: undefined, verdict: this.#notLeading(member)};
    }
    if (!isNotRun(reply)) return {result: answered(reply), verdict: undefined};
    if (reply.kind === 'error' && reply.code === 'lagging' && needed) {
      member.noteFellShort(needed);
    }
    const code = reply.kind === 'error' ? reply.code : '';
    const message = `database ${member.id} refused the read: ${code}`;
    return {
      result: undefined,
      verdict: notRun('overloaded', message, NO_DATABASE_RETRY_MS),
    };
  }

  #neededBy({req, arrivedAt}: StatementAttempt): Position | undefined {
    if (req.consistency === 'primary') return undefined;
    const covering = this.#ctx.certificates.covering(
      arrivedAt - req.maxStalenessMs,
    );
    const isOwnNeeded = req.consistency === 'session';
    if (covering === undefined || !isOwnNeeded || req.position === undefined) {
      return covering;
    }
    return laterPosition(covering, req.position);
  }

  #place(
    {req}: StatementAttempt,
    needed: Position | undefined,
    avoid: ReadonlySet<string>,
  ): readonly string[] {
    const {members, leadership, clock, dataCentre} = this.#ctx;
    const candidates = [...members.values()]
      .filter(
        ({entry}) => !entry.isDraining || entry.id === leadership.leaderId,
      )
      .filter(({entry}) => !req.nearOnly || entry.dataCentre === dataCentre)
      .map(member => ({
        id: member.id,
        isPrimary: member.id === leadership.leaderId,
        isReachable: member.health.isReachable,
        outstanding: member.lane.outstanding,
        slots: member.entry.slots,
        costMs: member.lane.costMs,
        openingMs: member.openingMs(req.team),
        distanceMs:
          member.entry.dataCentre === dataCentre ? 0 : REMOTE_DISTANCE_MS,
        shown: member.shown,
        fellShort: member.fellShort,
      }));
    const isPrimaryOnly = req.consistency === 'primary';
    return placeRead({
      candidates: isPrimaryOnly
        ? candidates.filter(({isPrimary}) => isPrimary)
        : candidates,
      needed,
      now: clock.now(),
      avoid,
    });
  }

  #notLeading({id}: GroupMember): Verdict {
    return notRun(
      'noPrimary',
      `database ${id} does not lead its group`,
      this.#ctx.primaryRetryMs(),
    );
  }

  #noDatabase({req}: StatementAttempt): Verdict {
    const {group, leadership} = this.#ctx;
    if (leadership.leaderId === undefined || req.consistency === 'primary') {
      return noPrimary(this.#ctx);
    }
    const message = `group ${group} has no database for this read now`;
    return notRun('staleReplicas', message, NO_DATABASE_RETRY_MS);
  }
}

/** Of two refusals the one after which the caller may come back sooner. */
function earlier(a: Verdict | undefined, b: Verdict): Verdict {
  if (a?.kind !== 'notRun' || b.kind !== 'notRun') return b;
  return (a.retryAfterMs ?? Infinity) < (b.retryAfterMs ?? Infinity) ? a : b;
}
