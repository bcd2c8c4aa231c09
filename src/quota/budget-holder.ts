/**
 * The holder's side of the team budgets: admits operations by tokens that it
 * takes from the budget's owner a little ahead of their use.
 *
 * Load pattern: steady work of many teams with short peaks. A grant covers the
 * next moments, so that most operations are admitted without a call. While the
 * owner is out of reach the holder goes on at its own part of the team's rate
 * for a limited time: all holders together stay within it.
 */
import {DemandMeter} from '../admission/demand-meter.js';
import {TokenBucket} from '../admission/token-bucket.js';
import type {Clock} from '../infra/clock.js';
import type {Logger} from '../telemetry/log.js';
import {ReturnTimes} from './return-times.js';
import type {
  QuotaDecision,
  RateLimits,
  TokenReply,
  TokenRequest,
} from './types.js';

/** How far ahead tokens are taken. */
const AHEAD_MS = 200;
/** Unspent tokens older than this are not spent: their owner may be another. */
const GRANT_VALID_MS = 500;
/** How long a holder goes on by itself while the owner is out of reach. */
const ALONE_MS = 5_000;
/**
 * Time over which a holder that goes on alone may save its part up: its work
 * comes in peaks. It begins with one token, so all together stay within the
 * rate from the start.
 */
const ALONE_SAVED_MS = 1_000;
const UNAVAILABLE_RETRY_MS = 300;
/** An answer under way may have been asked for before this operation came. */
const MAX_ASKS = 2;

/** What the holder's side is built from. */
export interface BudgetHolderOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly limits: (team: string) => RateLimits | undefined;
  /** Asks the budget's owner; rejects when it is out of reach. */
  readonly ask: (req: TokenRequest) => Promise<TokenReply>;
}

interface Held {
  readonly meter: DemandMeter;
  tokens: number;
  grantedAt: number;
  waiting: number;
  asking: Promise<void> | undefined;
  refusedUntil: number;
  readonly returns: ReturnTimes;
  lastContactAt: number;
  share: number;
  alone: TokenBucket | undefined;
}

const ADMITTED: QuotaDecision = {kind: 'admitted'};

/** Admits operations of all teams at this node. */
export class BudgetHolder {
  readonly #options: BudgetHolderOptions;
  readonly #held = new Map<string, Held>();

  constructor(options: BudgetHolderOptions) {
    this.#options = options;
  }

  /**
   * Decides on one operation; waits for one answer of the owner at most.
   *
   * @example
   * const decision = await holder.admit('red');
   * if (decision.kind === 'refused') refuse(decision.retryAfterMs);
   */
  async admit(team: string): Promise<QuotaDecision> {
    const limits = this.#options.limits(team);
    if (limits === undefined)
      return refused('unavailable', UNAVAILABLE_RETRY_MS);
    const held = this.#heldOf(team);
    const now = this.#options.clock.now();
    held.meter.record();
    if (this.#trySpend(held, limits)) {
      if (held.tokens < this.#ahead(held) / 2) void this.#ask(team, held);
      return ADMITTED;
    }
    if (now < held.refusedUntil) return this.#refuse(held, limits);
    for (let asked = 0; asked < MAX_ASKS; asked++) {
      await this.#askForOne(team, held);
      if (this.#trySpend(held, limits)) return ADMITTED;
      if (this.#options.clock.now() < held.refusedUntil) break;
    }
    if (this.#options.clock.now() < held.refusedUntil) {
      return this.#refuse(held, limits);
    }
    if (this.#spendAlone(held, limits)) return ADMITTED;
    return refused('unavailable', UNAVAILABLE_RETRY_MS);
  }

  #refuse(held: Held, {rate}: RateLimits): QuotaDecision {
    const waitMs = held.refusedUntil - this.#options.clock.now();
    const ownRate = rate * (held.share > 0 ? held.share : 1);
    return refused('overRate', held.returns.next(waitMs, ownRate));
  }

  async #askForOne(team: string, held: Held): Promise<void> {
    held.waiting += 1;
    try {
      await this.#ask(team, held);
    } finally {
      held.waiting -= 1;
    }
  }

  #trySpend(held: Held, limits: RateLimits): boolean {
    const age = this.#options.clock.now() - held.grantedAt;
    if (age > GRANT_VALID_MS) held.tokens = 0;
    held.tokens = Math.min(held.tokens, Math.max(1, limits.burst));
    if (held.tokens < 1) return false;
    held.tokens -= 1;
    return true;
  }

  #spendAlone(held: Held, limits: RateLimits): boolean {
    const {clock} = this.#options;
    if (clock.now() - held.lastContactAt > ALONE_MS) return false;
    const rate = limits.rate * held.share;
    if (rate <= 0) return false;
    const size = {rate, burst: Math.max(1, (rate * ALONE_SAVED_MS) / 1_000)};
    held.alone ??= new TokenBucket(clock, size, 1);
    if (held.alone.size.rate > rate) held.alone.resize(size);
    return held.alone.trySpend(1);
  }

  #ask(team: string, held: Held): Promise<void> {
    held.asking ??= this.#exchange(team, held).finally(() => {
      held.asking = undefined;
    });
    return held.asking;
  }

  async #exchange(team: string, held: Held): Promise<void> {
    const {clock, log, ask} = this.#options;
    const wanted = Math.ceil(
      Math.max(0, this.#ahead(held) - held.tokens) + held.waiting,
    );
    let reply: TokenReply;
    const sentAt = clock.now();
    try {
      reply = await ask({team, wanted: Math.max(1, wanted)});
    } catch (err) {
      // The caller is refused, or goes on at its share: `admit` decides.
      log.info('budgetOwnerUnreachable', {
        team,
        message: err instanceof Error ? err.message : String(err),
        contactMsAgo: Math.round(sentAt - held.lastContactAt),
      });
      return;
    }
    if (reply.kind === 'notOwner') return;
    held.alone = undefined;
    held.lastContactAt = sentAt;
    held.share = reply.share;
    if (sentAt - held.grantedAt > GRANT_VALID_MS) held.tokens = 0;
    held.tokens += reply.tokens;
    if (reply.tokens > 0) held.grantedAt = sentAt;
    const isShort = reply.tokens < held.waiting;
    held.refusedUntil = isShort ? clock.now() + reply.retryAfterMs : 0;
  }

  #ahead(held: Held): number {
    return (held.meter.perSecond * AHEAD_MS) / 1_000;
  }

  #heldOf(team: string): Held {
    const known = this.#held.get(team);
    if (known !== undefined) return known;
    const held: Held = {
      meter: new DemandMeter(this.#options.clock),
      tokens: 0,
      grantedAt: -Infinity,
      waiting: 0,
      asking: undefined,
      refusedUntil: 0,
      returns: new ReturnTimes(this.#options.clock),
      lastContactAt: -Infinity,
      share: 0,
      alone: undefined,
    };
    this.#held.set(team, held);
    return held;
  }
}

function refused(
  reason: 'overRate' | 'unavailable',
  retryAfterMs: number,
): QuotaDecision {
  return {kind: 'refused', reason, retryAfterMs};
}
