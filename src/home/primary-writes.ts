/** Runs writes and opens read-write transactions at the primary. */
import type {PrimaryClaim} from '../groups/primary-rights.js';
import type {DatabaseReply} from '../statements/types.js';
import {notRun, type Verdict} from '../verdict/verdict.js';
import type {TeamConnection} from './team-connection.js';
import type {HomeContext} from './home-context.js';
import type {GroupMember} from './group-member.js';
import type {Slot} from './connection-pool.js';
import {
  acquireSlot,
  answered,
  claimPrimary,
  connectionVerdict,
  wasRefused,
  noPrimary,
  noRight,
  recordBegin,
  rolledBackVerdict,
  runStatement,
  withholdCommit,
  workKindOf,
  type StatementAttempt,
} from './statement-attempt.js';
import {failedStatement, type StatementResult} from './statement-request.js';

/** Maximum number of tries; only a write that did not run is retried. */
const MAX_TRIES = 3;
const RETRY_PAUSE_MS = 10;
/** Longest pause between tries at a database whose slots are all in use. */
const MAX_BUSY_PAUSE_MS = 40;
const REFUSED_RETRY_MS = 100;

/** Outcome of one try; without a result the write may be retried. */
type TryOutcome =
  | {readonly result: StatementResult}
  | {
      readonly result: undefined;
      readonly verdict: Verdict;
      /** True if the database had no free slot. */
      readonly isBusy?: boolean;
    };

/** Runs the writes of one group. */
export class PrimaryWrites {
  readonly #ctx: HomeContext;

  constructor(ctx: HomeContext) {
    this.#ctx = ctx;
  }

  /**
   * Runs a write, or opens a transaction. A database that has no free slot is
   * tried until the latency goal, as one is free within some milliseconds.
   * Never rejects.
   */
  async run(attempt: StatementAttempt): Promise<StatementResult> {
    const {gate, clock} = this.#ctx;
    let last: Verdict | undefined;
    let pauseMs = RETRY_PAUSE_MS;
    for (let tries = 0; tries < MAX_TRIES;) {
      let isBusy = false;
      const leave = await gate.enter(attempt.deadlineAt);
      try {
        if (clock.now() >= attempt.deadlineAt) break;
        const outcome = await this.#tryPrimary(attempt);
        if (outcome.result !== undefined) return outcome.result;
        last = outcome.verdict;
        isBusy = outcome.isBusy ?? false;
        if (isFinalHere(last)) break;
      } finally {
        leave();
      }
      await clock.sleep(pauseMs);
      if (isBusy) pauseMs = Math.min(MAX_BUSY_PAUSE_MS, 2 * pauseMs);
      if (!isBusy || clock.now() >= attempt.latencyGoalAt) tries += 1;
    }
    return failedStatement(last ?? noPrimary(this.#ctx));
  }

  async #tryPrimary(attempt: StatementAttempt): Promise<TryOutcome> {
    const {members, leadership} = this.#ctx;
    const member = members.get(leadership.leaderId ?? '');
    if (member === undefined || !member.health.isReachable) {
      return {result: undefined, verdict: noPrimary(this.#ctx)};
    }
    const {deadlineAt} = attempt;
    const acquired = await acquireSlot(this.#ctx, attempt, member, deadlineAt);
    if (acquired.kind === 'refused') {
      return {result: failedStatement(acquired.verdict)};
    }
    const {slot} = acquired;
    // Claimed after the wait for the slot, in which the primary may have changed.
    const claim = claimPrimary(this.#ctx, member);
    if (claim === undefined) {
      slot.release();
      return {result: undefined, verdict: this.#lostPrimary()};
    }
    const endWork = member.trackWork(slot.connection, workKindOf(attempt.req));
    const endClaim = claim.begin();
    try {
      if (attempt.req.opens !== undefined) {
        return await this.#open(attempt, member, slot, claim);
      }
      return await this.#write(attempt, member, slot, claim);
    } catch (err) {
      slot.release();
      member.recordFailure();
      const verdict = connectionVerdict(err, member.id);
      if (verdict.kind === 'notRun') return {result: undefined, verdict};
      return {result: failedStatement(verdict)};
    } finally {
      endWork();
      endClaim();
    }
  }

  #lostPrimary(): Verdict {
    const {right, group} = this.#ctx;
    return right.isHeld ? noPrimary(this.#ctx) : noRight(group);
  }

  async #write(
    attempt: StatementAttempt,
    member: GroupMember,
    slot: Slot<TeamConnection>,
    claim: PrimaryClaim,
  ): Promise<TryOutcome> {
    const reply = await this.#run(attempt, member, slot.connection);
    slot.release();
    if (wasRefused(reply)) return this.#notRun(member, reply);
    return {result: this.#committed(attempt, member, reply, claim)};
  }

  /** The result of a statement whose commit was answered. */
  #committed(
    {req}: StatementAttempt,
    member: GroupMember,
    reply: DatabaseReply,
    claim: PrimaryClaim,
  ): StatementResult {
    if (reply.kind === 'done' && !claim.isValid) {
      return failedStatement(withholdCommit(this.#ctx, req, member));
    }
    return answered(reply, {position: reply.position});
  }

  async #open(
    attempt: StatementAttempt,
    member: GroupMember,
    slot: Slot<TeamConnection>,
    claim: PrimaryClaim,
  ): Promise<TryOutcome> {
    const {transactions, clock} = this.#ctx;
    const {connection} = slot;
    const sentAt = clock.now();
    const timeoutMs = Math.max(1, attempt.deadlineAt - sentAt);
    // Sent on its own: if begin were refused, a statement sent along with it
    // would run outside the transaction.
    const [begun] = await connection.run(
      [{kind: 'begin', readOnly: false}],
      timeoutMs,
    );
    if (begun?.kind !== 'done') {
      if (begun !== undefined) member.recordPacedReply(begun);
      transactions.rollBack(slot);
      return this.#notRun(member, begun);
    }
    member.recordReply(begun);
    recordBegin(this.#ctx, member, begun, sentAt, claim);
    let reply: DatabaseReply;
    try {
      reply = await this.#run(attempt, member, connection);
    } catch (err) {
      const verdict = connectionVerdict(err, member.id);
      if (attempt.req.commits) throw err;
      slot.release();
      member.recordFailure();
      return {result: failedStatement(rolledBackVerdict(verdict), 'failed')};
    }
    return this.#finishOpening(attempt, member, slot, reply, claim);
  }

  #finishOpening(
    attempt: StatementAttempt,
    member: GroupMember,
    slot: Slot<TeamConnection>,
    reply: DatabaseReply,
    claim: PrimaryClaim,
  ): TryOutcome {
    const {req} = attempt;
    const {transactions} = this.#ctx;
    if (wasRefused(reply)) {
      transactions.rollBack(slot);
      return this.#notRun(member, reply);
    }
    if (reply.kind === 'error') {
      transactions.rollBack(slot);
      return {result: answered(reply, {transaction: 'failed'})};
    }
    if (req.commits) {
      slot.release();
      return {result: this.#committed(attempt, member, reply, claim)};
    }
    slot.pin();
    const {sessionId} = req;
    const databaseId = member.id;
    const pin = transactions.add({
      slot,
      sessionId,
      databaseId,
      member,
      claim,
    });
    return {result: answered(reply, {transaction: 'open', pin})};
  }

  #run(
    {req, deadlineAt}: StatementAttempt,
    member: GroupMember,
    connection: TeamConnection,
  ): Promise<DatabaseReply> {
    return runStatement(this.#ctx.clock, req, member, connection, deadlineAt);
  }

  #notRun(member: GroupMember, reply: DatabaseReply | undefined): TryOutcome {
    const code = reply?.kind === 'error' ? reply.code : 'no reply';
    if (code === 'notLeader') {
      this.#ctx.leadership.recordRefusal(member.id);
      return {result: undefined, verdict: noPrimary(this.#ctx)};
    }
    const message = `database ${member.id} refused the statement: ${code}`;
    return {
      result: undefined,
      verdict: notRun('overloaded', message, REFUSED_RETRY_MS),
      isBusy: code === 'busy',
    };
  }
}

/** Whether this home can't do better at once. */
function isFinalHere(verdict: Verdict): boolean {
  if (verdict.kind !== 'notRun') return false;
  const {reason} = verdict;
  return reason === 'noPrimary' || reason === 'homeUnavailable';
}
