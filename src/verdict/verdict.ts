/**
 * The outcome of one request, and above all whether it may have run.
 *
 * Every layer that gives up on a request returns a {@link Verdict}; one place,
 * `sqlstate.ts`, maps it to what the caller sees.
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
  | 'shuttingDown';

/** Why it is not known whether a request ran. */
export type UncertainReason =
  'targetLost' | 'homeLost' | 'termChanged' | 'ackTimeout' | 'deadline';

/** The request ran and its whole answer was delivered. */
export interface Done {
  readonly kind: 'done';
}

/** The request is known not to have run; it is safe to send again. */
export interface NotRun {
  readonly kind: 'notRun';
  readonly reason: RefusalReason;
  readonly message: string;
  /** When to come back, in milliseconds; absent where a retry cannot help. */
  readonly retryAfterMs?: number;
}

/** The request may have run; it must not be repeated blindly. */
export interface MayHaveRun {
  readonly kind: 'mayHaveRun';
  readonly reason: UncertainReason;
  readonly message: string;
}

/** The outcome of a request. */
export type Verdict = Done | NotRun | MayHaveRun;

/** The verdict of a request that ran. */
export const DONE: Done = {kind: 'done'};

/**
 * Builds a refusal.
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
 * Builds the verdict of a request whose fate is unknown.
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
