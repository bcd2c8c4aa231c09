/**
 * Decides when a replica is too full for its reader, and what the home does with
 * a read that the reader passed on.
 */
import {FULL_WEIGHT_MS} from '../load/report-weight.js';
import {notRun, type Verdict} from '../verdict/verdict.js';
import type {GroupMember} from './group-member.js';
import type {HomeContext} from './home-context.js';
import type {StatementAttempt} from './statement-attempt.js';

/**
 * Statements per slot of a nearby replica, one running and one waiting. Beyond
 * that, reads go to the group's home, which knows the queues of all databases.
 */
const MAX_STATEMENTS_PER_SLOT = 2;

/** Whether a database has as much work, of all nodes, as a reader lets queue. */
export function isFull(
  {sharing}: HomeContext,
  {id, pool, pacedSlots}: GroupMember,
): boolean {
  const elsewhere = sharing?.load.outstandingElsewhere(id) ?? 0;
  const outstanding = pool.outstanding + elsewhere;
  return outstanding >= pacedSlots * MAX_STATEMENTS_PER_SLOT;
}

/**
 * Returns the replica that was too full for the reader that passed this read on,
 * while it is: what the reader said counts as long as a report does in full, and
 * after that the reports do.
 */
export function fullReplicaOf(
  ctx: HomeContext,
  {req, arrivedAt}: StatementAttempt,
): GroupMember | undefined {
  const {sharing, members, clock} = ctx;
  if (sharing === undefined || req.fullReplica === undefined) return undefined;
  const member = members.get(req.fullReplica.databaseId);
  if (member === undefined) return undefined;
  const isRecent = clock.now() - arrivedAt < FULL_WEIGHT_MS;
  return isRecent || isFull(ctx, member) ? member : undefined;
}

/** Creates the refusal of a read that only a full replica could serve. */
export function fullVerdict({id, pool, entry}: GroupMember): Verdict {
  const statementMs = pool.costMs / Math.max(1, entry.slots);
  const message = `database ${id} is full and no other can serve the read`;
  return notRun('overloaded', message, Math.max(1, Math.ceil(statementMs)));
}

/** Logs why a reader passed a read on, and the database expected to be sooner. */
export function logPassedOn(
  {log, group, sharing}: HomeContext,
  {req}: StatementAttempt,
  {id, pool, entry}: GroupMember,
  sooner: string | undefined,
): void {
  const load = sharing?.load;
  const ageMs = load?.ageMs();
  log.info('readPassedOn', {
    request: req.statement.requestId,
    group,
    database: id,
    outstanding: pool.outstanding,
    outstandingElsewhere: load && Math.round(load.outstandingElsewhere(id)),
    slots: entry.slots,
    costMs: Math.round(pool.costMs),
    reportAgeMs: ageMs && Math.round(ageMs),
    soonest: sooner,
  });
}
