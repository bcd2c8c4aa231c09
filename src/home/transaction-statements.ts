/** Runs the later statements of open transactions. */
import type {PrimaryClaim} from '../groups/primary-rights.js';
import type {DatabaseReply} from '../statements/types.js';
import {notRun, type NotRun} from '../verdict/verdict.js';
import type {TeamConnection} from './team-connection.js';
import type {HomeContext} from './home-context.js';
import type {GroupMember} from './group-member.js';
import type {EvacuatedDatabases} from './evacuated-databases.js';
import type {PinnedTransaction} from './open-transactions.js';
import {
  answered,
  coldRefusal,
  connectionVerdict,
  rolledBackVerdict,
  runStatement,
  withholdCommit,
  workKindOf,
} from './statement-attempt.js';
import {
  failedStatement,
  type StatementRequest,
  type StatementResult,
} from './statement-request.js';

/**
 * Number of tries of a statement that finds the database busy. More follow until
 * the latency goal, as giving up rolls back the whole transaction.
 */
const MIN_BUSY_TRIES = 6;
const BUSY_PAUSE_MS = 12;
/** Maximum number of tries to get a request to a cold database admitted. */
const MAX_COLD_TRIES = 6;

/** An open transaction and the database it runs on. */
export interface OpenTransaction extends PinnedTransaction<TeamConnection> {
  readonly member: GroupMember;
  /** The right under which it runs at the primary; undefined at a replica. */
  readonly claim: PrimaryClaim | undefined;
}

/**
 * Runs statements on the connections reserved for their transactions. They
 * don't queue behind new work, as an open transaction holds its connection
 * until it ends.
 */
export class TransactionStatements {
  readonly #ctx: HomeContext;
  readonly #evacuated: Pick<EvacuatedDatabases, 'dataCentreOf'>;

  constructor(
    ctx: HomeContext,
    evacuated: Pick<EvacuatedDatabases, 'dataCentreOf'>,
  ) {
    this.#ctx = ctx;
    this.#evacuated = evacuated;
  }

  /** Runs one statement of an open transaction. Never rejects. */
  async run(req: StatementRequest, pin: string): Promise<StatementResult> {
    const {gate, transactions, clock} = this.#ctx;
    const deadlineAt = clock.now() + req.deadlineMs;
    const leave = await gate.enterPinned(deadlineAt);
    const open = transactions.take(pin);
    if (open === undefined) {
      leave();
      return failedStatement(this.#rolledBack(pin), 'failed');
    }
    const {member, slot, claim} = open;
    const refusal = await this.#refusalOf(req, open, deadlineAt);
    if (refusal !== undefined) {
      leave();
      transactions.rollBack(slot);
      return failedStatement(rolledBackVerdict(refusal), 'failed');
    }
    const endWork = member.trackWork(
      slot.connection,
      `open ${workKindOf(req)}`,
    );
    const endClaim = claim?.begin();
    try {
      const reply = await this.#runOn(req, member, slot.connection, deadlineAt);
      return this.#finish(req, open, reply, pin);
    } catch (err) {
      slot.connection.close();
      slot.release();
      member.recordFailure();
      const verdict = connectionVerdict(err, member.id);
      if (req.commits && verdict.kind === 'mayHaveRun') {
        return failedStatement(verdict);
      }
      return failedStatement(rolledBackVerdict(verdict), 'failed');
    } finally {
      endWork();
      endClaim?.();
      leave();
    }
  }

  /** Why a transaction ends instead of running its next statement, if it does. */
  async #refusalOf(
    {team}: StatementRequest,
    {member, slot, claim}: OpenTransaction,
    deadlineAt: number,
  ): Promise<NotRun | undefined> {
    if (slot.connection.team !== team) return movedTo(team);
    const refusal = member.isCold
      ? await this.#awaitColdLimit(member, deadlineAt)
      : undefined;
    if (refusal !== undefined) return refusal;
    return claim?.isValid === false ? replaced(member) : undefined;
  }

  #rolledBack(pin: string): NotRun {
    const dataCentre = this.#evacuated.dataCentreOf(pin);
    const cause =
      dataCentre === undefined
        ? ''
        : `, since data centre ${dataCentre} is evacuated`;
    const message = `the transaction has been rolled back${cause}; begin it again`;
    return notRun('targetUnavailable', message, 0);
  }

  /**
   * Waits until a cold database may get one more request; refuses after a few
   * tries or if it may not before the deadline.
   */
  async #awaitColdLimit(
    member: GroupMember,
    deadlineAt: number,
  ): Promise<NotRun | undefined> {
    const {clock} = this.#ctx;
    for (let tries = 1; ; tries++) {
      const admitted = await member.admitCold(1);
      if (admitted?.kind !== 'refused') return undefined;
      const waitMs = Math.max(1, member.coldRefusedForMs);
      if (tries >= MAX_COLD_TRIES || clock.now() + waitMs >= deadlineAt)
        return coldRefusal(member, admitted.retryAfterMs).verdict;
      await clock.sleep(waitMs);
    }
  }

  async #runOn(
    req: StatementRequest,
    member: GroupMember,
    connection: TeamConnection,
    deadlineAt: number,
  ): Promise<DatabaseReply> {
    const {clock} = this.#ctx;
    const remainingMs = () => Math.max(1, deadlineAt - clock.now());
    const goalAt = clock.now() + req.latencyGoalMs;
    for (let tries = 1; ; tries++) {
      const reply = await runStatement(
        clock,
        req,
        member,
        connection,
        deadlineAt,
      );
      const isBusy = reply.kind === 'error' && reply.code === 'busy';
      const isEarly = tries < MIN_BUSY_TRIES || clock.now() < goalAt;
      const mayRepeat = reply.transaction === 'open' && isEarly;
      if (!isBusy || !mayRepeat || remainingMs() <= BUSY_PAUSE_MS) return reply;
      await clock.sleep(BUSY_PAUSE_MS);
    }
  }

  #finish(
    req: StatementRequest,
    open: OpenTransaction,
    reply: DatabaseReply,
    pin: string,
  ): StatementResult {
    const {transactions, leadership} = this.#ctx;
    const {slot, member, claim} = open;
    if (reply.kind === 'error') {
      if (reply.code === 'notLeader') leadership.recordRefusal(member.id);
      transactions.rollBack(slot);
      const transaction = req.commits ? 'idle' : 'failed';
      return answered(reply, {transaction});
    }
    if (req.commits) {
      slot.release();
      if (claim?.isValid === false)
        return failedStatement(withholdCommit(this.#ctx, req, member));
      return answered(reply, {position: reply.position});
    }
    transactions.add(open, pin);
    return answered(reply, {transaction: 'open', pin});
  }
}

function replaced({id}: GroupMember): NotRun {
  return notRun('noPrimary', `database ${id} was replaced as primary`);
}

/** The configuration gave the caller's key to another team meanwhile. */
function movedTo(team: string): NotRun {
  return notRun('notAuthorised', `its key belongs to team ${team} now`);
}
