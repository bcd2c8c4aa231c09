/**
 * Runs a failover: query, fence a majority, choose a database, promote, verify.
 */
import type {Clock} from '../infra/clock.js';
import {fenceMajority} from './fencing.js';
import {majorityOf} from './group-view.js';
import {callUntilMajority} from './majority.js';
import {
  chooseMostAdvanced,
  promoteAndVerify,
  type DatabaseRank,
} from './promotion.js';
import type {DatabaseControl, DatabaseStatus} from './types.js';

const DATABASE_CALL_TIMEOUT_MS = 300;

/** The step at which a failover ended; `look` queries the databases' terms. */
export type FailoverStep = 'look' | 'fence' | 'promote' | 'verify';

/** The outcome of a failover. */
export type FailoverResult =
  | {
      readonly kind: 'promoted';
      readonly term: number;
      readonly databaseId: string;
    }
  /** Another orderer took the term; reassess the group before a new attempt. */
  | {
      readonly kind: 'outbid';
      readonly step: FailoverStep;
      readonly reason: string;
    }
  | {
      readonly kind: 'failed';
      readonly step: FailoverStep;
      readonly reason: string;
    };

/** Options of {@link orderFailover}. */
export interface FailoverOrder {
  readonly clock: Clock;
  readonly controls: readonly DatabaseControl[];
  /**
   * Id of this attempt, never reused. Two attempts under one id could both be
   * granted the same term and promote two databases.
   */
  readonly orderer: string;
  /** The suspected primary, not promoted if the others are a majority. */
  readonly suspectId?: string | undefined;
  /**
   * The highest term known when the failover was found to be needed. If the
   * group has passed it, another orderer has started a failover since.
   */
  readonly seenTerm?: number | undefined;
  readonly rank?: DatabaseRank | undefined;
  readonly timeoutMs?: number | undefined;
}

/**
 * Runs one failover. It depends on the databases alone, which grant the terms
 * themselves, so it works while the platform's store is down.
 *
 * @example
 * const result = await orderFailover({clock, controls, orderer: 'vm-3/8f2a/1'});
 * if (result.kind === 'promoted') log(result.databaseId);
 */
export async function orderFailover(
  order: FailoverOrder,
): Promise<FailoverResult> {
  const {clock, controls, orderer, suspectId} = order;
  const timeoutMs = order.timeoutMs ?? DATABASE_CALL_TIMEOUT_MS;
  const rank = order.rank ?? (() => 0);

  const statuses = await queryMajority(clock, controls, timeoutMs);
  if (statuses.length < majorityOf(controls.length)) {
    return failed('look', `only ${statuses.length} databases answer`);
  }
  const term = nextTerm(statuses);
  if (term - 1 > (order.seenTerm ?? Infinity)) {
    return outbid('look', `another orderer has begun term ${term - 1}`);
  }

  const fencing = {clock, controls, term, orderer, timeoutMs};
  const fenced = await fenceMajority(fencing);
  if (fenced.kind === 'outbid') {
    return outbid('fence', `term ${fenced.fencedTerm} is granted to another`);
  }
  if (fenced.kind === 'unreachable') {
    return failed('fence', `only ${fenced.fenced} databases could be fenced`);
  }

  const {databases} = fenced;
  const chosen = chooseMostAdvanced(
    databases,
    controls.length,
    suspectId,
    rank,
  );
  if (chosen === undefined) return failed('promote', 'no database is fit');
  const {control} = chosen;
  const databaseId = control.spec.id;
  const promotion = {clock, control, term, orderer, timeoutMs};
  switch (await promoteAndVerify(promotion)) {
    case 'promoted':
      return {kind: 'promoted', term, databaseId};
    case 'refused':
      return outbid('promote', `${databaseId} is fenced above term ${term}`);
    case 'unknown':
      return failed('verify', `${databaseId} did not say that it leads`);
  }
}

/**
 * Returns the statuses of the databases that answer, a majority if possible.
 */
async function queryMajority(
  clock: Clock,
  controls: readonly DatabaseControl[],
  timeoutMs: number,
): Promise<readonly DatabaseStatus[]> {
  const statuses: DatabaseStatus[] = [];
  await callUntilMajority(clock, controls, async control => {
    statuses.push(await control.status(timeoutMs));
    return true;
  });
  return statuses;
}

/**
 * Returns the term after the highest one that these databases follow or are
 * fenced at.
 */
export function nextTerm(statuses: readonly DatabaseStatus[]): number {
  const terms = statuses.flatMap(({term, fencedTerm}) => [term, fencedTerm]);
  return Math.max(0, ...terms) + 1;
}

function failed(step: FailoverStep, reason: string): FailoverResult {
  return {kind: 'failed', step, reason};
}

function outbid(step: FailoverStep, reason: string): FailoverResult {
  return {kind: 'outbid', step, reason};
}
