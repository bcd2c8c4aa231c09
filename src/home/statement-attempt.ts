/** A statement at its home, and helpers for reads, writes and transactions. */
import type {WaitEstimate} from '../admission/wait-estimate.js';
import type {Clock} from '../infra/clock.js';
import type {DatabaseReply} from '../statements/types.js';
import {newWorkEndsAt} from '../groups/drain-notice.js';
import type {PrimaryClaim} from '../groups/primary-rights.js';
import {TargetError} from '../targets/types.js';
import {
  DONE,
  mayHaveRun,
  notRun,
  type MayHaveRun,
  type NotRun,
  type Verdict,
} from '../verdict/verdict.js';
import {evacuationRefusal} from './evacuation-refusal.js';
import type {TeamConnection} from './team-connection.js';
import type {HomeContext} from './home-context.js';
import type {GroupMember} from './group-member.js';
import type {SlotResult} from './connection-pool.js';
import type {StatementRequest, StatementResult} from './statement-request.js';

/** Minimum timeout of a read at one database. */
const MIN_READ_TIMEOUT_MS = 300;
/** Timeout of a read as a multiple of its expected time at the database. */
const READ_TIMEOUT_FACTOR = 8;
/** Retry delay without the right to the primary. */
const NO_RIGHT_RETRY_MS = 200;

/** A statement with its times on the node's monotonic clock. */
export interface StatementAttempt {
  readonly req: StatementRequest;
  readonly signal: AbortSignal;
  readonly arrivedAt: number;
  /** Time by which an answer meets the route's latency goal. */
  readonly latencyGoalAt: number;
  /** The caller's deadline. */
  readonly deadlineAt: number;
  /** Called with the estimate by which the statement was refused. */
  readonly onRefused?: (estimate: WaitEstimate) => void;
}

/**
 * Returns the kind of work by which the execution time of a statement is
 * expected: its route's consistency and what it does.
 */
export function workKindOf({
  consistency,
  opens,
  statement,
}: Pick<StatementRequest, 'consistency' | 'opens' | 'statement'>): string {
  const kind = opens === undefined ? statement.access : 'opening';
  return `${consistency} ${kind}`;
}

/**
 * Returns whether a database may get new statements, by its drain time and by
 * the evacuations in force.
 */
export function acceptsWork(ctx: HomeContext, databaseId: string): boolean {
  const {clock, drainNoticeOf, drainMs} = ctx;
  if (!isOpenFor(ctx, databaseId)) return false;
  const notice = drainNoticeOf(databaseId);
  return notice === undefined || clock.now() < newWorkEndsAt(notice, drainMs);
}

/** Returns whether evacuations leave a database its statements. */
function isOpenFor(
  {members, leadership, evacuations}: HomeContext,
  databaseId: string,
): boolean {
  const member = members.get(databaseId);
  if (member === undefined) return true;
  const use = evacuations.useOf(member.entry.dataCentre);
  if (use === 'primaryOnly') return leadership.leaderId === databaseId;
  return use === 'open';
}

/**
 * Requests a slot for a statement outside an open transaction; queues until
 * `queueUntil` or the deadline at most. Refused if the database gets no new
 * statements any more.
 */
export async function acquireSlot(
  ctx: HomeContext,
  attempt: StatementAttempt,
  member: GroupMember,
  queueUntil: number,
): Promise<SlotResult<TeamConnection>> {
  const {req, signal, deadlineAt} = attempt;
  if (!acceptsWork(ctx, member.id)) return closedRefusal(ctx, member);
  if (member.coldRefusedForMs > 0)
    return coldRefusal(member, member.nextColdRetryMs());
  const result = await member.pool.acquire({
    team: req.team,
    priority: req.priority,
    deadlineAt: Math.min(queueUntil, deadlineAt),
    latencyGoalAt: attempt.latencyGoalAt,
    isTentative: queueUntil < deadlineAt,
    workKind: workKindOf(req),
    opensTransaction: req.opens !== undefined && !req.commits,
    cancelled: signal,
    values: req.values,
  });
  if (result.kind === 'refused') {
    if (result.estimate !== undefined) attempt.onRefused?.(result.estimate);
    return result;
  }
  ctx.metrics.recordQueueWait(req.priority, result.slot.waitedMs);
  const admitting = member.admitCold(requestsOf(ctx, req, member));
  const admitted = admitting && (await admitting);
  if (admitted?.kind === 'refused') {
    result.slot.release();
    return coldRefusal(member, admitted.retryAfterMs);
  }
  // The database may have been closed while the statement was queued.
  if (!acceptsWork(ctx, member.id)) {
    result.slot.release();
    return closedRefusal(ctx, member);
  }
  recordIfDraining(ctx, req, member);
  return result;
}

/**
 * The requests that a statement makes to a database. The end of a transaction
 * and the set-up of a session are not counted.
 */
function requestsOf(
  {leadership}: HomeContext,
  {kind, opens}: StatementRequest,
  {id}: GroupMember,
): number {
  const begins = kind === 'read' && leadership.leaderId === id;
  return begins || opens !== undefined ? 2 : 1;
}

/** Creates the refusal of a statement by the limit of a cold database. */
export function coldRefusal(
  {id}: GroupMember,
  retryAfterMs: number,
): {readonly kind: 'refused'; readonly verdict: NotRun} {
  const message = `database ${id} is cold and gets no more requests now`;
  const verdict = notRun('overloaded', message, Math.ceil(retryAfterMs));
  return {kind: 'refused', verdict};
}

function closedRefusal(
  ctx: HomeContext,
  {id, entry}: GroupMember,
): SlotResult<TeamConnection> {
  const {primaryRetryMs, evacuations} = ctx;
  if (evacuations.useOf(entry.dataCentre) !== 'open') {
    const verdict = evacuationRefusal(ctx, entry.dataCentre);
    return {kind: 'refused', verdict};
  }
  const message = `database ${id} shuts down and gets no new statements`;
  const verdict = notRun('targetUnavailable', message, primaryRetryMs());
  return {kind: 'refused', verdict};
}

/** Records a statement that is about to be sent to a draining database. */
function recordIfDraining(
  {clock, log, group, leadership, metrics, drainNoticeOf}: HomeContext,
  {statement, kind, opens, consistency}: StatementRequest,
  {id}: GroupMember,
): void {
  const notice = drainNoticeOf(id);
  if (notice === undefined) return;
  const learntMsAgo = clock.now() - notice.learntAt;
  metrics.recordDrainingStatement(group, learntMsAgo);
  log.info('statementToDraining', {
    request: statement.requestId,
    group,
    database: id,
    isLeader: leadership.leaderId === id,
    kind,
    opens,
    consistency,
    learntMsAgo: Math.round(learntMsAgo),
  });
}

/** Returns the timeout of a read at one database. */
export function readTimeoutMs(
  ctx: HomeContext,
  {req, deadlineAt}: StatementAttempt,
  {pool}: GroupMember,
): number {
  const expectedMs = Math.max(pool.costMs, pool.expectedMs(workKindOf(req)));
  const timeoutMs = Math.max(
    MIN_READ_TIMEOUT_MS,
    expectedMs * READ_TIMEOUT_FACTOR,
  );
  return Math.max(1, Math.min(timeoutMs, deadlineAt - ctx.clock.now()));
}

/**
 * Applies the session state to a connection and runs a statement on it.
 *
 * @throws TargetError `notSent` or `lost`
 */
export async function runStatement(
  clock: Clock,
  {values, statement}: StatementRequest,
  member: GroupMember,
  connection: TeamConnection,
  deadlineAt: number,
): Promise<DatabaseReply> {
  const remainingMs = () => Math.max(1, deadlineAt - clock.now());
  await connection.applySession(values, statement.prepared, remainingMs());
  const command = connection.commandFor(statement);
  const [reply] = await connection.run([command], remainingMs());
  if (reply === undefined) throw new Error('the database gave no reply');
  member.recordReply(reply);
  return reply;
}

/** Creates the result of a statement that its database answered. */
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

/** Creates the verdict of a statement whose connection failed. */
export function connectionVerdict(err: unknown, databaseId: string): Verdict {
  const reason = err instanceof Error ? err.message : String(err);
  const message = `database ${databaseId}: ${reason}`;
  const isLost = !(err instanceof TargetError) || err.kind === 'lost';
  return isLost
    ? mayHaveRun('targetLost', message)
    : notRun('targetUnavailable', message, 0);
}

/**
 * Records what a reply to begin proves about the position and the primary.
 *
 * An old primary may go on after another was promoted, so its reply proves
 * nothing by itself. With the right to the primary no promotion took effect
 * before the reply. Without it, none had been ordered when this node's copy of
 * the store was last confirmed.
 */
export function recordBegin(
  ctx: HomeContext,
  member: GroupMember,
  begun: DatabaseReply,
  sentAt: number,
  claim: PrimaryClaim | undefined,
): void {
  const {certificates, leadership, clock, copyAgeMs} = ctx;
  if (begun.kind === 'done' && begun.position !== undefined) {
    leadership.recordProof(member.id, begun.position.term, sentAt);
    if (leadership.leaderId !== member.id) return;
    const isProven = claim?.isValid ?? false;
    const confirmedAt = isProven ? sentAt : clock.now() - copyAgeMs();
    certificates.record(begun.position, Math.min(sentAt, confirmedAt));
  } else if (begun.kind === 'error' && begun.code === 'notLeader') {
    leadership.recordRefusal(member.id);
  }
}

/**
 * Claims this node's right for work at the primary; undefined without the right
 * or if another database leads meanwhile.
 */
export function claimPrimary(
  {right, leadership}: HomeContext,
  {id}: GroupMember,
): PrimaryClaim | undefined {
  return leadership.leaderId === id ? right.claim() : undefined;
}

/** Creates the refusal of work for which this node lacks the right. */
export function noRight(group: string): NotRun {
  const message = `this node has no right to the primary of group ${group} now`;
  return notRun('homeUnavailable', message, NO_RIGHT_RETRY_MS);
}

/**
 * Records a commit that may not be acknowledged: when its answer arrived, another
 * database may have been promoted without it.
 */
export function withholdCommit(
  {log, metrics, group}: HomeContext,
  {statement}: StatementRequest,
  {id}: GroupMember,
): MayHaveRun {
  metrics.recordUnacknowledgedCommit(group);
  log.warn('commitNotAcknowledged', {
    request: statement.requestId,
    group,
    database: id,
  });
  const message = `database ${id} was replaced while it ran the statement`;
  return mayHaveRun('termChanged', message);
}

/** Creates the refusal of a statement for lack of a primary that answers. */
export function noPrimary({group, primaryRetryMs}: HomeContext): NotRun {
  const message = `group ${group} has no primary that answers now`;
  return notRun('noPrimary', message, primaryRetryMs());
}

/** Creates the verdict of a transaction that failed before its commit. */
export function rolledBackVerdict(verdict: Verdict): Verdict {
  const reason = verdict.kind === 'done' ? 'it was lost' : verdict.message;
  return notRun(
    'targetUnavailable',
    `the transaction was rolled back: ${reason}; begin it again`,
    0,
  );
}

/** Returns whether a database refused a statement without running it. */
export function wasRefused(reply: DatabaseReply): boolean {
  if (reply.kind === 'done') return false;
  return REFUSAL_CODES.has(reply.code);
}

const REFUSAL_CODES: ReadonlySet<string> = new Set([
  'busy',
  'unknownName',
  'lagging',
  'notLeader',
  'misrouted',
  'tooManyConnections',
]);
