/** Runs writes, and opens transactions that may write, at the primary. */
import type {DatabaseReply} from '../statements/types.js';
import {notRun, type Verdict} from '../verdict/verdict.js';
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
  rolledBack,
  runStatement,
  tooManyTransactions,
  type StatementAttempt,
} from './statement-attempt.js';
import {failedStatement, type StatementResult} from './statement-request.js';

/** Tries of one write, of which all but the last are known not to have run. */
const MAX_TRIES = 3;
const BUSY_PAUSE_MS = 10;
const REFUSED_RETRY_MS = 100;

/** What one try came to; without a result another one may follow. */
type Try =
  | {readonly result: StatementResult}
  | {readonly result: undefined; readonly verdict: Verdict};

/** Runs the writes of one group. */
export class PrimaryWrites {
  readonly #ctx: HomeContext;

  constructor(ctx: HomeContext) {
    this.#ctx = ctx;
  }

  /** Runs a write, or opens a transaction. Never rejects. */
  async run(attempt: StatementAttempt): Promise<StatementResult> {
    const {gate, clock} = this.#ctx;
    let last: Verdict | undefined;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const leave = await gate.enter(attempt.deadlineAt);
      try {
        if (clock.now() >= attempt.deadlineAt) break;
        const outcome = await this.#tryPrimary(attempt);
        if (outcome.result !== undefined) return outcome.result;
        last = outcome.verdict;
        if (last.kind === 'notRun' && last.reason === 'noPrimary') break;
      } finally {
        leave();
      }
      await clock.sleep(BUSY_PAUSE_MS);
    }
    return failedStatement(last ?? noPrimary(this.#ctx));
  }

  async #tryPrimary(attempt: StatementAttempt): Promise<Try> {
    const {members, leadership, clock} = this.#ctx;
    const member = members.get(leadership.leaderId ?? '');
    if (member === undefined || !member.health.isReachable) {
      return {result: undefined, verdict: noPrimary(this.#ctx)};
    }
    const isLate = attempt.aimAt <= clock.now();
    const queueUntil = isLate ? attempt.deadlineAt : attempt.aimAt;
    const acquired = await acquireSlot(attempt, member, queueUntil);
    if (acquired.kind === 'refused') {
      return {result: failedStatement(acquired.verdict)};
    }
    const {slot} = acquired;
    const end = member.begin(slot.connection);
    try {
      if (attempt.req.opens !== undefined) {
        return await this.#open(attempt, member, slot);
      }
      return await this.#write(attempt, member, slot);
    } catch (err) {
      slot.release();
      member.health.noteFailure();
      const verdict = connectionVerdict(err, member.id);
      if (verdict.kind === 'notRun') return {result: undefined, verdict};
      return {result: failedStatement(verdict)};
    } finally {
      end();
    }
  }

  async #write(
    attempt: StatementAttempt,
    member: GroupMember,
    slot: Slot<BoundConnection>,
  ): Promise<Try> {
    const reply = await this.#run(attempt, member, slot.connection);
    slot.release();
    if (isNotRun(reply)) return this.#notRun(member, reply);
    return {result: answered(reply, {position: reply.position})};
  }

  async #open(
    attempt: StatementAttempt,
    member: GroupMember,
    slot: Slot<BoundConnection>,
  ): Promise<Try> {
    const {transactions, clock} = this.#ctx;
    if (!member.lane.mayPin) {
      slot.release();
      return {result: failedStatement(tooManyTransactions(member.id))};
    }
    const {connection} = slot;
    const sentAt = clock.now();
    const leftMs = Math.max(1, attempt.deadlineAt - sentAt);
    // Not in one go with the statement: refused, it would leave that outside.
    const [begun] = await connection.run(
      [{kind: 'begin', readOnly: false}],
      leftMs,
    );
    if (begun?.kind !== 'done') {
      transactions.rollBack(slot);
      return this.#notRun(member, begun);
    }
    member.noteReply(begun);
    noteBegin(this.#ctx, member, begun, sentAt);
    let reply: DatabaseReply;
    try {
      reply = await this.#run(attempt, member, connection);
    } catch (err) {
      const verdict = connectionVerdict(err, member.id);
      if (attempt.req.commits) throw err;
      slot.release();
      member.health.noteFailure();
      return {result: failedStatement(rolledBack(verdict), 'failed')};
    }
    return this.#conclude(attempt, member, slot, reply);
  }

  #conclude(
    {req}: StatementAttempt,
    member: GroupMember,
    slot: Slot<BoundConnection>,
    reply: DatabaseReply,
  ): Try {
    const {transactions} = this.#ctx;
    if (isNotRun(reply)) {
      transactions.rollBack(slot);
      return this.#notRun(member, reply);
    }
    if (reply.kind === 'error') {
      transactions.rollBack(slot);
      return {result: answered(reply, {transaction: 'failed'})};
    }
    if (req.commits) {
      slot.release();
      return {result: answered(reply, {position: reply.position})};
    }
    slot.pin();
    const {sessionId} = req;
    const databaseId = member.id;
    const pin = transactions.keep({slot, sessionId, databaseId, member});
    return {result: answered(reply, {transaction: 'open', pin})};
  }

  #run(
    {req, deadlineAt}: StatementAttempt,
    member: GroupMember,
    connection: BoundConnection,
  ): Promise<DatabaseReply> {
    return runStatement(this.#ctx.clock, req, member, connection, deadlineAt);
  }

  #notRun(member: GroupMember, reply: DatabaseReply | undefined): Try {
    const code = reply?.kind === 'error' ? reply.code : 'no reply';
    if (code === 'notLeader') {
      this.#ctx.leadership.noteRefused(member.id);
      return {result: undefined, verdict: noPrimary(this.#ctx)};
    }
    const message = `database ${member.id} refused the statement: ${code}`;
    return {
      result: undefined,
      verdict: notRun('overloaded', message, REFUSED_RETRY_MS),
    };
  }
}
