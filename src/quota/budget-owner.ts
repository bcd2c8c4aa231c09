/**
 * The owner's side of the team budgets: one budget for each team, from which
 * holders request the tokens that they spend.
 *
 * Load pattern: one team sends many times its rate while the others stay below
 * theirs, and the load of each team is uneven over the nodes. A single budget
 * for the whole fleet refuses no team within its rate, however uneven its load.
 *
 * A node owns a budget while it holds its lease and ranks first for the team
 * among the members. A new owner does not know what the old one granted, so its
 * budget starts empty and refills at the rate alone, without any burst, for one
 * window. The burst that it withholds covers what the old owner granted beyond
 * the rate in that window.
 *
 * Operators state a slack by which a window may exceed the limit, since no
 * fleet counts exactly. It is granted but for the tokens that holders may have
 * from before the window: those that they ask for ahead, and a few under way. A
 * new owner after an old one that granted all that it could stays within the
 * stated bound, as either grants at most a bucket: its capacity and its refill for
 * the time that it granted.
 *
 * While the owner does not answer and its lease has not ended, the next node
 * acts as a stand-in with a part of the rate, as the owner may still serve
 * other holders.
 */
import type {Clock} from '../infra/clock.js';
import {
  PREFETCH_MS,
  type RateLimits,
  type TokenReply,
  type TokenRequest,
} from './types.js';
import {WindowBudget} from './window-budget.js';

/** Interval after which the weight of earlier grants is halved. */
const SHARE_WINDOW_MS = 2_000;
const MIN_RETRY_MS = 20;

/**
 * Part of the rate that a stand-in grants. A partitioned owner keeps granting
 * for less than two seconds. Together the two then exceed the rate by at most a
 * tenth over five seconds, if the burst is about one second of the rate.
 */
const STAND_IN_RATE_RATIO = 0.3;
/** Tokens that are under way between the owner and the holders. */
const TOKENS_UNDER_WAY = 3;

/** This node's role for a team's budget. */
export type BudgetRole = 'owner' | 'standIn' | 'none';

/** Options of the owner's side. */
export interface BudgetOwnerOptions {
  readonly clock: Clock;
  /** Returns this node's current role for a team; evaluated on each request. */
  readonly roleFor: (team: string) => BudgetRole;
  /** Returns for how many milliseconds this node has been able to own budgets. */
  readonly heldForMs: () => number;
  readonly limits: (team: string) => RateLimits | undefined;
  /** Length of the sliding window of the limits, in milliseconds. */
  readonly windowMs: number;
  /** Operations by which a window may exceed its limit; 0 by default. */
  readonly slack?: number;
}

interface OwnedBudget {
  readonly budget: WindowBudget;
  /** Recently granted tokens by holder, halved every `SHARE_WINDOW_MS`. */
  readonly granted: Map<string, number>;
  halvedAtMs: number;
}

/** Grants tokens of the budgets that this node owns. */
export class BudgetOwner {
  readonly #options: BudgetOwnerOptions;
  readonly #owned = new Map<string, OwnedBudget>();

  constructor(options: BudgetOwnerOptions) {
    this.#options = options;
  }

  /**
   * Serves one token request of a holder.
   *
   * @example
   * owner.serve('node-1', {team: 'red', wanted: 3, returned: 0});
   */
  serve(holder: string, req: TokenRequest): TokenReply {
    const role = this.#options.roleFor(req.team);
    if (role === 'none') {
      this.#owned.delete(req.team);
      return {kind: 'notOwner'};
    }
    const limits = this.#limitsFor(req.team, role);
    if (limits === undefined || limits.rate <= 0) {
      return {kind: 'granted', tokens: 0, retryAfterMs: 1_000, share: 0};
    }
    const owned = this.#ownedBudgetOf(req.team, limits, role);
    const {budget} = owned;
    this.#takeBack(owned, holder, req.returned);
    const tokens = budget.drain(req.wanted, req.atLeast);
    this.#recordGrant(owned, holder, tokens);
    return {
      kind: 'granted',
      tokens,
      retryAfterMs: Math.max(MIN_RETRY_MS, Math.ceil(budget.msUntilToken())),
      share: shareOf(owned.granted, holder),
    };
  }

  #limitsFor(team: string, role: BudgetRole): RateLimits | undefined {
    const limits = this.#options.limits(team);
    if (limits === undefined || role === 'owner') return limits;
    const rate = limits.rate * STAND_IN_RATE_RATIO;
    return {rate, burst: Math.max(1, rate)};
  }

  #ownedBudgetOf(
    team: string,
    limits: RateLimits,
    role: BudgetRole,
  ): OwnedBudget {
    const {clock, heldForMs, windowMs} = this.#options;
    const size = {rate: limits.rate, burst: Math.max(1, limits.burst)};
    const slack = role === 'owner' ? this.#slackFor(limits) : 0;
    const known = this.#owned.get(team);
    if (known !== undefined) {
      const {rate, burst} = known.budget.limits;
      if (rate !== size.rate || burst !== size.burst)
        known.budget.resize(size, slack);
      return known;
    }
    const heldMs = role === 'owner' ? heldForMs() : 0;
    const accrued = (size.rate * heldMs) / 1_000;
    const budget = new WindowBudget({
      clock,
      limits: size,
      slack,
      windowMs,
      tokens: Math.min(size.burst, accrued),
      historyCompleteAtMs: clock.now() + windowMs - heldMs,
    });
    const owned = {budget, granted: new Map(), halvedAtMs: clock.now()};
    this.#owned.set(team, owned);
    return owned;
  }

  /** The slack less the tokens that holders may have from before a window. */
  #slackFor({rate}: RateLimits): number {
    const {slack = 0} = this.#options;
    const askedAhead = (rate * PREFETCH_MS) / 1_000;
    return Math.max(0, slack - askedAhead - TOKENS_UNDER_WAY);
  }

  /** Takes back no more than this node has granted to the holder lately. */
  #takeBack(owned: OwnedBudget, holder: string, returned: number): void {
    const granted = owned.granted.get(holder) ?? 0;
    const count = Math.min(returned, Math.floor(granted));
    if (count <= 0) return;
    owned.budget.restore(count);
    owned.granted.set(holder, granted - count);
  }

  #recordGrant(owned: OwnedBudget, holder: string, tokens: number): void {
    const now = this.#options.clock.now();
    if (now - owned.halvedAtMs >= SHARE_WINDOW_MS) {
      owned.halvedAtMs = now;
      for (const [id, count] of owned.granted) {
        if (count < 1) owned.granted.delete(id);
        else owned.granted.set(id, count / 2);
      }
    }
    owned.granted.set(holder, (owned.granted.get(holder) ?? 0) + tokens);
  }
}

function shareOf(granted: ReadonlyMap<string, number>, holder: string): number {
  let total = 0;
  for (const count of granted.values()) total += count;
  return total > 0 ? (granted.get(holder) ?? 0) / total : 0;
}
