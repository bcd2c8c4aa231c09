/**
 * The holder's side of the team budgets: admits operations with tokens that it
 * prefetches from the budget's owner.
 *
 * Load pattern: steady load of many teams with short peaks. For a busy team a
 * grant covers the demand of the next `PREFETCH_MS`, so most operations are
 * admitted without a call to the owner. A team that is spread over many holders
 * and asks each of them seldom gets a token for each operation: tokens that wait
 * for an operation that does not come would use its budget up. What a holder has
 * left goes back to the owner with the next request. While the owner can't be
 * reached, the holder falls back to its own fraction of the team's rate for a
 * limited time; all holders together stay within the rate.
 */
import {DemandMeter} from '../admission/demand-meter.js';
import {TokenBucket} from '../admission/token-bucket.js';
import type {Clock} from '../infra/clock.js';
import type {Logger} from '../telemetry/log.js';
import {RetrySpacing} from './retry-spacing.js';
import {
  PREFETCH_MS,
  type QuotaDecision,
  type RateLimits,
  type TokenReply,
  type TokenRequest,
} from './types.js';

/** Older tokens are not spent, as the budget may have a new owner. */
const GRANT_VALID_MS = 500;
/** Maximum time for which a holder uses its fallback without the owner. */
const FALLBACK_MAX_MS = 5_000;
/**
 * Time over which the fallback bucket may accumulate tokens, as load comes in
 * peaks. The bucket starts with one token, so that all holders together stay
 * within the rate from the start.
 */
const FALLBACK_BURST_MS = 1_000;
const UNAVAILABLE_RETRY_MS = 300;
/**
 * Maximum requests for one operation: it may have joined a request that was sent
 * before it arrived, whose reply does not count it.
 */
const MAX_REQUESTS = 2;

/** Options of the holder's side. */
export interface BudgetHolderOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly limits: (team: string) => RateLimits | undefined;
  /** Requests tokens from the budget's owner; rejects if it can't be reached. */
  readonly requestTokens: (req: TokenRequest) => Promise<TokenReply>;
  /** Older tokens are not spent; `GRANT_VALID_MS` by default. */
  readonly grantValidMs?: number;
  /** Tokens are asked for ahead for this time; `PREFETCH_MS` by default. */
  readonly prefetchMs?: number;
}

/** The state of one team's budget at this holder. */
interface TeamState {
  readonly meter: DemandMeter;
  tokens: number;
  /** Tokens that were not spent in time and go back to the owner. */
  unspent: number;
  grantedAtMs: number;
  waiting: number;
  pendingRequest: Promise<void> | undefined;
  refusedUntilMs: number;
  readonly retrySpacing: RetrySpacing;
  lastContactAtMs: number;
  share: number;
  fallbackBucket: TokenBucket | undefined;
}

const ADMITTED: QuotaDecision = {kind: 'admitted'};

/** Admits the operations of all teams at this node. */
export class BudgetHolder {
  readonly #options: BudgetHolderOptions;
  readonly #teams = new Map<string, TeamState>();

  constructor(options: BudgetHolderOptions) {
    this.#options = options;
  }

  /**
   * Decides on one operation, which costs `count` tokens; waits for at most
   * `MAX_REQUESTS` owner replies.
   *
   * @example
   * const decision = await holder.admit('red');
   * if (decision.kind === 'refused') refuse(decision.retryAfterMs);
   */
  async admit(team: string, count = 1): Promise<QuotaDecision> {
    const limits = this.#options.limits(team);
    if (limits === undefined)
      return refused('unavailable', UNAVAILABLE_RETRY_MS);
    const held = this.#stateOf(team);
    const now = this.#options.clock.now();
    for (let n = 0; n < count; n++) held.meter.record();
    if (this.#trySpend(held, limits, count)) {
      const prefetch = this.#prefetchTokens(held);
      if (prefetch >= 1 && held.tokens < prefetch / 2)
        void this.#requestTokens(team, held);
      return ADMITTED;
    }
    if (now < held.refusedUntilMs) return this.#refuse(held, limits);
    if (await this.#awaitTokens(team, held, limits, count)) return ADMITTED;
    if (this.#options.clock.now() < held.refusedUntilMs) {
      return this.#refuse(held, limits);
    }
    if (this.#trySpendFallback(held, limits, count)) return ADMITTED;
    return refused('unavailable', UNAVAILABLE_RETRY_MS);
  }

  #refuse(held: TeamState, {rate}: RateLimits): QuotaDecision {
    const waitMs = held.refusedUntilMs - this.#options.clock.now();
    const shareRate = rate * (held.share > 0 ? held.share : 1);
    return refused(
      'overRate',
      held.retrySpacing.nextDelayMs(waitMs, shareRate),
    );
  }

  /** Requests tokens for an operation and spends them; false if too few came. */
  async #awaitTokens(
    team: string,
    held: TeamState,
    limits: RateLimits,
    count: number,
  ): Promise<boolean> {
    held.waiting += count;
    try {
      for (let requests = 0; requests < MAX_REQUESTS; requests++) {
        await this.#requestTokens(team, held);
        if (this.#trySpend(held, limits, count)) return true;
        if (this.#options.clock.now() < held.refusedUntilMs) return false;
      }
      return false;
    } finally {
      held.waiting -= count;
    }
  }

  #trySpend(held: TeamState, limits: RateLimits, count: number): boolean {
    this.#expireTokens(held, this.#options.clock.now());
    held.tokens = Math.min(held.tokens, Math.max(1, limits.burst));
    if (held.tokens < count) return false;
    held.tokens -= count;
    return true;
  }

  #expireTokens(held: TeamState, now: number): void {
    const {grantValidMs = GRANT_VALID_MS} = this.#options;
    if (now - held.grantedAtMs <= grantValidMs) return;
    held.unspent += held.tokens;
    held.tokens = 0;
  }

  #trySpendFallback(
    held: TeamState,
    limits: RateLimits,
    count: number,
  ): boolean {
    const {clock} = this.#options;
    if (clock.now() - held.lastContactAtMs > FALLBACK_MAX_MS) return false;
    const rate = limits.rate * held.share;
    if (rate <= 0) return false;
    const size = {rate, burst: Math.max(1, (rate * FALLBACK_BURST_MS) / 1_000)};
    held.fallbackBucket ??= new TokenBucket(clock, size, 1);
    if (held.fallbackBucket.size.rate > rate) held.fallbackBucket.resize(size);
    return held.fallbackBucket.trySpend(count);
  }

  #requestTokens(team: string, held: TeamState): Promise<void> {
    held.pendingRequest ??= this.#exchangeWithOwner(team, held).finally(() => {
      held.pendingRequest = undefined;
    });
    return held.pendingRequest;
  }

  async #exchangeWithOwner(team: string, held: TeamState): Promise<void> {
    const {clock, log, requestTokens} = this.#options;
    // Operations that join while the request is under way are not in the reply.
    const counted = held.waiting;
    const ahead = Math.max(0, this.#prefetchTokens(held) - held.tokens);
    const wanted = Math.max(1, Math.floor(ahead) + counted);
    let reply: TokenReply;
    const sentAtMs = clock.now();
    this.#expireTokens(held, sentAtMs);
    // Given back once: if the request is lost, so are they.
    const returned = held.unspent;
    held.unspent = 0;
    try {
      reply = await requestTokens({team, wanted, returned});
    } catch (err) {
      // `admit` refuses the operation or uses the fallback bucket.
      log.info('budgetOwnerUnreachable', {
        team,
        message: err instanceof Error ? err.message : String(err),
        contactMsAgo: Math.round(sentAtMs - held.lastContactAtMs),
      });
      return;
    }
    if (reply.kind === 'notOwner') return;
    held.fallbackBucket = undefined;
    held.lastContactAtMs = sentAtMs;
    held.share = reply.share;
    this.#expireTokens(held, sentAtMs);
    held.tokens += reply.tokens;
    if (reply.tokens > 0) held.grantedAtMs = sentAtMs;
    const isShort = reply.tokens < counted;
    held.refusedUntilMs = isShort ? clock.now() + reply.retryAfterMs : 0;
  }

  #prefetchTokens(held: TeamState): number {
    const {prefetchMs = PREFETCH_MS} = this.#options;
    return (held.meter.perSecond * prefetchMs) / 1_000;
  }

  #stateOf(team: string): TeamState {
    const known = this.#teams.get(team);
    if (known !== undefined) return known;
    const held: TeamState = {
      meter: new DemandMeter(this.#options.clock),
      tokens: 0,
      unspent: 0,
      grantedAtMs: -Infinity,
      waiting: 0,
      pendingRequest: undefined,
      refusedUntilMs: 0,
      retrySpacing: new RetrySpacing(this.#options.clock),
      lastContactAtMs: -Infinity,
      share: 0,
      fallbackBucket: undefined,
    };
    this.#teams.set(team, held);
    return held;
  }
}

function refused(
  reason: 'overRate' | 'unavailable',
  retryAfterMs: number,
): QuotaDecision {
  return {kind: 'refused', reason, retryAfterMs};
}
