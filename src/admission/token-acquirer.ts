/** Acquires tokens for statements when this node's own share has none. */

import type {Clock} from '../infra/clock.js';
import type {OwnerClient} from './owner-client.js';
import type {RemoteSpender} from './remote-spender.js';
import type {SyncSchedule} from './sync-schedule.js';
import type {TeamHolder} from './team-holder.js';
import type {TeamOwner} from './team-owner.js';

/**
 * Maximum time that a statement waits for the owner's reply. A timeout does not
 * mean that the team is over its rate: an owner without tokens replies at once.
 */
const ACQUIRE_TIMEOUT_MS = 250;
/**
 * Maximum time that a statement waits in all. A holder that is briefly busy
 * misses the time limit of a recall, and an owner that of a request, although
 * the team is within its rate.
 */
const MAX_WAIT_MS = 2 * ACQUIRE_TIMEOUT_MS;
/** Bounds the requests of one statement. */
const MIN_RETRY_PAUSE_MS = 10;

/** The outcome of one attempt to acquire a token. */
type AcquireOutcome = 'acquired' | 'refused' | 'timedOut';

/** Dependencies of a token acquirer. */
export interface TokenAcquirerDeps {
  readonly clock: Clock;
  readonly holder: TeamHolder;
  readonly schedule: SyncSchedule;
  readonly ownerClient: OwnerClient;
  readonly remoteSpender: RemoteSpender;
  /** Returns the owner's side, while this node owns the budget. */
  readonly owner: () => TeamOwner | undefined;
}

/** Requests tokens from the owner, or from holders if it does not answer. */
export class TokenAcquirer {
  readonly #deps: TokenAcquirerDeps;
  #waiting = 0;

  constructor(deps: TokenAcquirerDeps) {
    this.#deps = deps;
  }

  /** Statements blocked until the owner replies. */
  get waiting(): number {
    return this.#waiting;
  }

  /**
   * Acquires a token for a statement; true if the statement may run. Tries again
   * for a limited time while it isn't known whether the budget has a token: a
   * refusal would treat a team within its rate as one over it. `trySpend` spends
   * a token granted to this node.
   *
   * @example
   * const isAcquired = await acquirer.acquire(deadlineMs, () => bucket.trySpend(1));
   */
  async acquire(deadlineMs: number, trySpend: () => boolean): Promise<boolean> {
    const {clock} = this.#deps;
    const endMs = Math.min(deadlineMs, clock.now() + MAX_WAIT_MS);
    for (;;) {
      const outcome = await this.#tryAcquire(deadlineMs, trySpend);
      if (outcome === 'acquired') return true;
      const isUsedUp = outcome === 'refused' && this.#isUsedUp;
      const pauseMs = this.#msUntilRetry();
      if (isUsedUp || clock.now() + pauseMs >= endMs) return false;
      await clock.sleep(pauseMs);
      if (trySpend()) return true;
    }
  }

  /** Whether the budget is known to have no token now. */
  get #isUsedUp(): boolean {
    const owner = this.#deps.owner();
    if (owner !== undefined) return !owner.hasUnansweredRecalls;
    return this.#deps.schedule.isAnswerComplete;
  }

  #msUntilRetry(): number {
    const {owner, schedule} = this.#deps;
    const requestMs =
      owner()?.requestPauseMs ?? schedule.msUntilTokenExpected();
    return Math.max(MIN_RETRY_PAUSE_MS, requestMs);
  }

  /**
   * Acquires a token from the owner or, while the owner does not answer, has
   * another holder spend one.
   */
  async #tryAcquire(
    deadlineMs: number,
    trySpend: () => boolean,
  ): Promise<AcquireOutcome> {
    const {schedule} = this.#deps;
    const wasUnresponsive = schedule.isOwnerUnresponsive;
    const requested = this.#requestAndWait(deadlineMs);
    if (wasUnresponsive && (await this.#trySpendRemotely(deadlineMs)))
      return 'acquired';
    const isAnswered = await requested;
    if (trySpend()) return 'acquired';
    const failure = isAnswered ? 'refused' : 'timedOut';
    if (wasUnresponsive || schedule.hasOwnerAnswered) return failure;
    return (await this.#trySpendRemotely(deadlineMs)) ? 'acquired' : failure;
  }

  /**
   * Returns burst that the owner lent only for blocked statements (a share
   * without rate) as soon as its tokens are spent.
   */
  returnLoanedBurst(): void {
    const {holder, ownerClient} = this.#deps;
    const {share, tokens, hasExcess} = holder;
    const isLent = share.rate === 0 && share.burst > 0 && hasExcess;
    if (!isLent || tokens >= 1 || this.#waiting > 0) return;
    void ownerClient.sync('report', ACQUIRE_TIMEOUT_MS);
  }

  /**
   * Waits for a token request, which all blocked statements share. False if its
   * answer did not arrive in time.
   */
  async #requestAndWait(deadlineMs: number): Promise<boolean> {
    const {clock, schedule} = this.#deps;
    const waitMs = Math.min(ACQUIRE_TIMEOUT_MS, deadlineMs - clock.now());
    if (waitMs <= 0 || !schedule.mayRequestTokens()) return true;
    this.#waiting += 1;
    const done = new AbortController();
    const requested = this.#requestTokens().finally(() => done.abort());
    await Promise.race([requested, clock.sleep(waitMs, done.signal)]);
    this.#waiting -= 1;
    return done.signal.aborted;
  }

  async #trySpendRemotely(deadlineMs: number): Promise<boolean> {
    const {clock, owner, remoteSpender} = this.#deps;
    if (owner() !== undefined || clock.now() >= deadlineMs) return false;
    return remoteSpender.trySpend();
  }

  async #requestTokens(): Promise<void> {
    const {holder, ownerClient, schedule} = this.#deps;
    const owner = this.#deps.owner();
    if (owner !== undefined) return owner.recallTokens(1);
    // A sync in flight may have been sent before this statement was counted.
    await ownerClient.waitForCurrentSync();
    const isServed = holder.tokens >= this.#waiting;
    if (isServed || !schedule.mayRequestTokens()) return;
    await ownerClient.sync('acquire', ACQUIRE_TIMEOUT_MS);
  }
}
