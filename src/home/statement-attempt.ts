/** One statement at its home, and the parts that all ways to run it share. */
import type {Clock} from '../infra/clock.js';
import type {DatabaseReply} from '../statements/types.js';
import {TargetError} from '../targets/types.js';
import {
  DONE,
  mayHaveRun,
  notRun,
  type NotRun,
  type Verdict,
} from '../verdict/verdict.js';
import type {BoundConnection} from './bound-connection.js';
import type {HomeContext} from './home-context.js';
import type {GroupMember} from './group-member.js';
import type {SlotResult} from './lane.js';
import type {StatementRequest, StatementResult} from './statement-request.js';

/** The shortest time after which a read without an answer is given up. */
const MIN_READ_TIMEOUT_MS = 300;
/** The same as a multiple of the database's average time of a statement. */
const READ_TIMEOUT_COSTS = 8;
/** When to come back while open transactions hold the connections. */
const TRANSACTION_RETRY_MS = 50;

/** A statement and its times, on the node's monotonic clock. */
export interface StatementAttempt {
  readonly req: StatementRequest;
  readonly signal: AbortSignal;
  readonly arrivedAt: number;
  /** Until when its answer meets the response time aimed at. */
  readonly aimAt: number;
  /** Until when its caller waits. */
  readonly deadlineAt: number;
}

/** Asks for a slot, in a queue no longer than the statement may wait. */
export function acquireSlot(
  {req, signal, deadlineAt}: StatementAttempt,
  member: GroupMember,
  queueUntil: number,
): Promise<SlotResult<BoundConnection>> {
  return member.lane.acquire({
    team: req.team,
    priority: req.priority,
    deadlineAt: Math.min(queueUntil, deadlineAt),
    cancelled: signal,
    values: req.values,
  });
}

/** How long a read may go without an answer. */
export function readTimeoutMs(
  ctx: HomeContext,
  {deadlineAt}: StatementAttempt,
  member: GroupMember,
): number {
  const patience = Math.max(
    MIN_READ_TIMEOUT_MS,
    member.lane.costMs * READ_TIMEOUT_COSTS,
  );
  return Math.max(1, Math.min(patience, deadlineAt - ctx.clock.now()));
}

/**
 * Runs a statement on a connection, which is set up for it first.
 *
 * @throws TargetError `notSent` or `lost`
 */
export async function runStatement(
  clock: Clock,
  {values, statement}: StatementRequest,
  member: GroupMember,
  connection: BoundConnection,
  deadlineAt: number,
): Promise<DatabaseReply> {
  const leftMs = () => Math.max(1, deadlineAt - clock.now());
  await connection.prepareFor(values, statement.prepared, leftMs());
  const command = connection.commandFor(statement);
  const [reply] = await connection.run([command], leftMs());
  if (reply === undefined) throw new Error('the database gave no reply');
  member.noteReply(reply);
  return reply;
}

/** The result of a statement that its database answered. */
export function answered(
  reply: DatabaseReply,
  rest: Partial<StatementResult> = {},
): StatementResult {
  const output =
    reply.kind === 'done'
      ? {rows: reply.rows, signature: reply.signature}
      : {
          rows: [],
          signature: '',
          error: {code: reply.code, detail: reply.detail},
        };
  return {
    verdict: DONE,
    transaction: 'idle',
    pin: undefined,
    position: undefined,
    output,
    ...rest,
  };
}

/** The verdict of a statement whose connection failed. */
export function connectionVerdict(err: unknown, databaseId: string): Verdict {
  const reason = err instanceof Error ? err.message : String(err);
  const message = `database ${databaseId}: ${reason}`;
  const isLost = !(err instanceof TargetError) || err.kind === 'lost';
  return isLost
    ? mayHaveRun('targetLost', message)
    : notRun('targetUnavailable', message, 0);
}

/** Takes what the answer to a transaction's beginning proves of its database. */
export function noteBegin(
  {certificates, leadership}: HomeContext,
  member: GroupMember,
  begun: DatabaseReply,
  sentAt: number,
): void {
  if (begun.kind === 'done' && begun.position !== undefined) {
    certificates.note(begun.position, sentAt);
    leadership.noteAccepted(member.id, begun.position.term, sentAt);
  } else if (begun.kind === 'error' && begun.code === 'notLeader') {
    leadership.noteRefused(member.id);
  }
}

/** The refusal of what only a primary can serve, while none answers. */
export function noPrimary({group, primaryRetryMs}: HomeContext): NotRun {
  const message = `group ${group} has no primary that answers now`;
  return notRun('noPrimary', message, primaryRetryMs());
}

/** The refusal of a transaction for which there is no connection. */
export function tooManyTransactions(databaseId: string): Verdict {
  return notRun(
    'overloaded',
    `${databaseId} has as many open transactions as its connections allow`,
    TRANSACTION_RETRY_MS,
  );
}

/** The verdict of a statement that was lost before its transaction's commit. */
export function rolledBack(verdict: Verdict): Verdict {
  const reason = verdict.kind === 'done' ? 'it was lost' : verdict.message;
  return notRun(
    'targetUnavailable',
    `the transaction was rolled back: ${reason}; begin it again`,
    0,
  );
}

/** Whether a database refused a statement without running it. */
export function isNotRun(reply: DatabaseReply): boolean {
  if (reply.kind === 'done') return false;
  return NOT_RUN_CODES.has(reply.code);
}

const NOT_RUN_CODES: ReadonlySet<string> = new Set([
  'busy',
  'unknownName',
  'lagging',
  'notLeader',
  'misrouted',
  'tooManyConnections',
]);
