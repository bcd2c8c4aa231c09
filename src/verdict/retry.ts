/** Repeats requests that are known not to have run, within bounds. */
import type {Clock, Random} from '../infra/clock.js';
import type {RefusalReason, Verdict} from './verdict.js';

const DEFAULT_RATIO = 0.1;
const DEFAULT_MAX_BALANCE = 10;
const DEFAULT_FIRST_PAUSE_MS = 10;
const DEFAULT_MAX_PAUSE_MS = 500;

/**
 * Refusals that another try may overcome. A refusal by rate or by load is
 * final: repeating it here would add to the load that caused it.
 */
const TRANSIENT_REASONS: ReadonlySet<RefusalReason> = new Set([
  'noPrimary',
  'staleReplicas',
  'targetUnavailable',
  'homeUnavailable',
  'shuttingDown',
]);

/** Limits retries to a share of the requests, so that they can't pile up. */
export class RetryBudget {
  readonly #ratio: number;
  readonly #maxBalance: number;
  #balance: number;

  /**
   * @param ratio Retries allowed per request.
   * @param reserve The largest balance, and the one at the start.
   */
  constructor(ratio = DEFAULT_RATIO, reserve = DEFAULT_MAX_BALANCE) {
    this.#ratio = ratio;
    this.#maxBalance = reserve;
    this.#balance = reserve;
  }

  /** Counts one first try. */
  deposit(): void {
    this.#balance = Math.min(this.#maxBalance, this.#balance + this.#ratio);
  }

  /** Takes one retry out of the budget; false if it is used up. */
  tryWithdraw(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}

/** What bounds the retries of one request. */
export interface RetryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly budget: RetryBudget;
  /** When the request must be answered, on `clock.now()`. */
  readonly deadlineAt: number;
  /** The time another try is expected to take. */
  readonly attemptMs: number;
  /** Whether the request changes nothing and may run more than once. */
  readonly repeatable: boolean;
  readonly firstPauseMs?: number;
  readonly maxPauseMs?: number;
}

/** Whether another try of a request with this outcome is safe and of use. */
export function isRetryable(verdict: Verdict, repeatable: boolean): boolean {
  if (verdict.kind === 'done') return false;
  if (verdict.kind === 'notRun') return TRANSIENT_REASONS.has(verdict.reason);
  return repeatable && verdict.reason !== 'deadline';
}

/**
 * Runs `attempt` until its outcome is final, and returns the last outcome. It
 * gives up at once when the time left can't fit another try, so that the
 * caller hears a final refusal early.
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

function nextPauseMs(
  options: RetryOptions,
  verdict: Verdict,
  tryNumber: number,
): number {
  const firstMs = options.firstPauseMs ?? DEFAULT_FIRST_PAUSE_MS;
  const maxMs = options.maxPauseMs ?? DEFAULT_MAX_PAUSE_MS;
  const ceilingMs = Math.min(maxMs, firstMs * 2 ** (tryNumber - 1));
  const jitteredMs = ceilingMs * (0.5 + options.random.next() / 2);
  const requestedMs = verdict.kind === 'notRun' ? (verdict.retryAfterMs ?? 0) : 0;
  return Math.max(requestedMs, jitteredMs);
}
