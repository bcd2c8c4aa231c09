/**
 * The outcome of a request, above all whether it may have run.
 *
 * Every layer that gives up on a request returns a {@link Verdict}. Only
 * `sqlstate.ts` maps it to the error that the caller receives.
 */

/** Why a request was refused before it could reach a target. */
export type RefusalReason =
  | 'badRequest'
  | 'unsupported'
  | 'unknownRoute'
  | 'notAuthorised'
  | 'cutOff'
  | 'rateLimited'
  | 'budgetUnavailable'
  | 'overloaded'
  | 'cancelled'
  | 'noPrimary'
  | 'staleReplicas'
  | 'targetUnavailable'
  | 'homeUnavailable'
  | 'shuttingDown'
  /** Only a database in an evacuated data centre could run it. */
  | 'evacuated';

/** Why it is unknown whether a request ran. */
export type UncertainReason =
  'targetLost' | 'homeLost' | 'termChanged' | 'ackTimeout' | 'deadline';

/** The request ran and its complete answer was delivered. */
export interface Done {
  readonly kind: 'done';
}

/** The request is known not to have run; it is safe to retry. */
export interface NotRun {
  readonly kind: 'notRun';
  readonly reason: RefusalReason;
  readonly message: string;
  /** When to retry, in milliseconds; absent if a retry can't help. */
  readonly retryAfterMs?: number;
}

/** The request may have run; unless it is read-only it must not be retried. */
export interface MayHaveRun {
  readonly kind: 'mayHaveRun';
  readonly reason: UncertainReason;
  readonly message: string;
}

/** The outcome of a request. */
export type Verdict = Done | NotRun | MayHaveRun;

/** The verdict of a completed request. */
export const DONE: Done = {kind: 'done'};

/**
 * Builds the verdict of a request that was refused and did not run.
 *
 * @example
 * notRun('rateLimited', 'team assessors is over its rate', 120);
 */
export function notRun(
  reason: RefusalReason,
  message: string,
  retryAfterMs?: number,
): NotRun {
  return retryAfterMs === undefined
    ? {kind: 'notRun', reason, message}
    : {kind: 'notRun', reason, message, retryAfterMs};
}

/**
 * Builds the verdict of a request whose outcome is unknown.
 *
 * @example
 * mayHaveRun('targetLost', 'the connection closed before the answer');
 */
export function mayHaveRun(
  reason: UncertainReason,
  message: string,
): MayHaveRun {
  return {kind: 'mayHaveRun', reason, message};
}
