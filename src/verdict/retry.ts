/** Retries requests where that is safe, within a retry budget and a deadline. */
import type {Clock, Random} from '../infra/clock.js';
import type {RefusalReason, Verdict} from './verdict.js';

const DEFAULT_RATIO = 0.1;
const DEFAULT_MAX_BALANCE = 10;
const DEFAULT_FIRST_PAUSE_MS = 10;
const DEFAULT_MAX_PAUSE_MS = 500;

/**
 * Refusals that a retry may overcome. A refusal because of rate or load is
 * final: a retry would add to the load that caused it.
 */
const TRANSIENT_REASONS: ReadonlySet<RefusalReason> = new Set([
  'noPrimary',
  'staleReplicas',
  'targetUnavailable',
  'homeUnavailable',
  'shuttingDown',
]);

/** Limits retries to a ratio of the requests, to prevent retry storms. */
export class RetryBudget {
  readonly #ratio: number;
  readonly #maxBalance: number;
  #balance: number;

  /**
   * @param ratio Retries allowed per request.
   * @param maxBalance The initial and maximum number of retries available.
   */
  constructor(ratio = DEFAULT_RATIO, maxBalance = DEFAULT_MAX_BALANCE) {
    this.#ratio = ratio;
    this.#maxBalance = maxBalance;
    this.#balance = maxBalance;
  }

  /** Credits the budget for one request. */
  deposit(): void {
    this.#balance = Math.min(this.#maxBalance, this.#balance + this.#ratio);
  }

  /** Withdraws one retry; returns false if the budget is exhausted. */
  tryWithdraw(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}

/** Options of {@link retryNotRun}. */
export interface RetryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly budget: RetryBudget;
  /** Deadline of the request, on `clock.now()`. */
  readonly deadlineAt: number;
  /** Expected duration of another attempt. */
  readonly attemptMs: number;
  /** Whether the request is read-only and may run more than once. */
  readonly repeatable: boolean;
  readonly firstPauseMs?: number;
  readonly maxPauseMs?: number;
}

/** Whether retrying a request with this outcome is safe and may succeed. */
export function isRetryable(verdict: Verdict, repeatable: boolean): boolean {
  if (verdict.kind === 'done') return false;
  if (verdict.kind === 'notRun') return TRANSIENT_REASONS.has(verdict.reason);
  return repeatable && verdict.reason !== 'deadline';
}

/**
 * Runs `attempt` until its outcome is final, and returns the last outcome. If
 * the time left is too short for another attempt it returns without waiting, so
 * that the caller receives the refusal early.
 *
 * @example
 * const answer = await retryNotRun(options, () => forwardToHome(req));
 */
export async function retryNotRun<R extends {readonly verdict: Verdict}>(
  options: RetryOptions,
  attempt: (tryNumber: number) => Promise<R>,
): Promise<R> {
  const {clock, budget, deadlineAt, attemptMs} = options;
  budget.deposit();
  for (let tryNumber = 1; ; tryNumber++) {
    const outcome = await attempt(tryNumber);
    if (!isRetryable(outcome.verdict, options.repeatable)) return outcome;
    const pauseMs = nextPauseMs(options, outcome.verdict, tryNumber);
    if (clock.now() + pauseMs + attemptMs > deadlineAt) return outcome;
    if (!budget.tryWithdraw()) return outcome;
    await clock.sleep(pauseMs);
  }
}

/**
 * Returns the pause before the next attempt: exponential with jitter, and at
 * least the refusal's `retryAfterMs`.
 */
function nextPauseMs(
  options: RetryOptions,
  verdict: Verdict,
  tryNumber: number,
): number {
  const firstMs = options.firstPauseMs ?? DEFAULT_FIRST_PAUSE_MS;
  const maxMs = options.maxPauseMs ?? DEFAULT_MAX_PAUSE_MS;
  const ceilingMs = Math.min(maxMs, firstMs * 2 ** (tryNumber - 1));
  const jitteredMs = ceilingMs * (0.5 + options.random.next() / 2);
  const requestedMs =
    verdict.kind === 'notRun' ? (verdict.retryAfterMs ?? 0) : 0;
  return Math.max(requestedMs, jitteredMs);
}
