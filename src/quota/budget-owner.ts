/**
 * The owner's side of the team budgets: one budget a team, from which the
 * holders take what they spend.
 *
 * Load pattern: one team sends many times its rate while the others stay below
 * theirs, over nodes that see uneven parts of each team. One budget for the
 * whole fleet refuses nobody who is inside the rate, however uneven the parts.
 *
 * A node owns a budget while it holds its lease and ranks first for the team
 * among the members. A new owner knows nothing of what the old one granted, so
 * its budget begins empty and fills at the team's bare rate for one window: what
 * the old owner granted beyond that within a window spends part of its own.
 *
 * While the owner is silent, and until its lease ends, the next node stands in
 * at a part of the rate: the owner may still serve others.
 */
import type {Clock} from '../infra/clock.js';
import type {RateLimits, TokenReply, TokenRequest} from './types.js';
import {WindowBudget} from './window-budget.js';

/** The time over which a holder's part of the grants is measured. */
const SHARE_WINDOW_MS = 2_000;
const MIN_RETRY_MS = 20;

/**
 * Part of the rate that a stand-in grants. An owner that is cut off goes on for
 * less than two seconds; both together then stay within a tenth over the rate
 * in five seconds, as long as the burst is about a second of the rate.
 */
const STAND_IN_SHARE = 0.3;

/** This node's part in a team's budget. */
export type BudgetRole = 'owner' | 'standIn' | 'none';

/** What the owner's side is built from. */
export interface BudgetOwnerOptions {
  readonly clock: Clock;
  /** This node's part in the team's budget now; never keep it. */
  readonly roleFor: (team: string) => BudgetRole;
  /** How long it has been in the position to own budgets, in milliseconds. */
  readonly heldForMs: () => number;
  readonly limits: (team: string) => RateLimits | undefined;
  /** Length of the windows for which the limits hold, in milliseconds. */
  readonly windowMs: number;
}

interface Owned {
  readonly budget: WindowBudget;
  /** Tokens granted lately by holder, halved each window. */
  readonly granted: Map<string, number>;
  halvedAt: number;
}

/** Grants tokens of the budgets that this node owns. */
export class BudgetOwner {
  readonly #options: BudgetOwnerOptions;
  readonly #owned = new Map<string, Owned>();

  constructor(options: BudgetOwnerOptions) {
    this.#options = options;
  }

  /**
   * Serves one request of a holder.
   *
   * @example
   * owner.serve('node-1', {team: 'red', wanted: 3});
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
    const owned = this.#ownedOf(req.team, limits, role);
    const {budget} = owned;
    const tokens = budget.drain(req.wanted);
    this.#note(owned, holder, tokens);
    return {
      kind: 'granted',
      tokens,
      retryAfterMs: Math.max(MIN_RETRY_MS, Math.ceil(budget.msUntilOne())),
      share: shareOf(owned.granted, holder),
    };
  }

  #limitsFor(team: string, role: BudgetRole): RateLimits | undefined {
    const limits = this.#options.limits(team);
    if (limits === undefined || role === 'owner') return limits;
    const rate = limits.rate * STAND_IN_SHARE;
    return {rate, burst: Math.max(1, rate)};
  }

  #ownedOf(team: string, limits: RateLimits, role: BudgetRole): Owned {
    const {clock, heldForMs, windowMs} = this.#options;
    const size = {rate: limits.rate, burst: Math.max(1, limits.burst)};
    const known = this.#owned.get(team);
    if (known !== undefined) {
      const {rate, burst} = known.budget.limits;
      if (rate !== size.rate || burst !== size.burst) known.budget.resize(size);
      return known;
    }
    const heldMs = role === 'owner' ? heldForMs() : 0;
    const earned = (size.rate * heldMs) / 1_000;
    const budget = new WindowBudget({
      clock,
      limits: size,
      windowMs,
      tokens: Math.min(size.burst, earned),
      completeFrom: clock.now() + windowMs - heldMs,
    });
    const owned = {budget, granted: new Map(), halvedAt: clock.now()};
    this.#owned.set(team, owned);
    return owned;
  }

  #note(owned: Owned, holder: string, tokens: number): void {
    const now = this.#options.clock.now();
    if (now - owned.halvedAt >= SHARE_WINDOW_MS) {
      owned.halvedAt = now;
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
