/** Decides whether this node may still spend its share of a budget. */

import type {Clock} from '../infra/clock.js';
import type {BudgetConfigPort, BudgetOptions, StandingPort} from './types.js';

/** Default settings of the team budgets. */
export const DEFAULT_BUDGET_OPTIONS: BudgetOptions = {
  standingLimitMs: 3_000,
  clockErrorRatio: 0.01,
};

/**
 * Standing limits from a retirement until its shares may be reclaimed: within
 * the first, every node learns of the retirement or is cut off; within the
 * second, holders move to the next owner.
 */
const RECLAIM_DELAY_STANDING_LIMITS = 2;

/**
 * Part of a standing limit for which a holder may spend a share whose owner was
 * retired. The rest of the second standing limit covers clock errors.
 */
const ORPHAN_GRACE_STANDING_LIMITS = 0.9;

/**
 * Evaluates standing and retirements on every call, so that a process that was
 * paused does not spend on an outdated decision.
 */
export class SpendGuard {
  readonly #self: string;
  readonly #clock: Clock;
  readonly #standing: StandingPort;
  readonly #config: BudgetConfigPort;
  readonly #options: BudgetOptions;

  constructor(
    self: string,
    clock: Clock,
    standing: StandingPort,
    config: BudgetConfigPort,
    options: Partial<BudgetOptions> = {},
  ) {
    this.#self = self;
    this.#clock = clock;
    this.#standing = standing;
    this.#config = config;
    this.#options = {...DEFAULT_BUDGET_OPTIONS, ...options};
  }

  get clockErrorRatio(): number {
    return this.#options.clockErrorRatio;
  }

  /**
   * Time after a retirement when no node can spend a share that the retired
   * instance held or granted.
   */
  get reclaimDelayMs(): number {
    return RECLAIM_DELAY_STANDING_LIMITS * this.#options.standingLimitMs;
  }

  /** Time for which a share outlives the last check that its owner was valid. */
  get orphanGraceMs(): number {
    return ORPHAN_GRACE_STANDING_LIMITS * this.#options.standingLimitMs;
  }

  get nowMs(): number {
    return this.#clock.now();
  }

  get isCutOff(): boolean {
    return this.#standing.standing() === 'cutOff';
  }

  /** True if this node may spend or grant tokens. */
  maySpend(): boolean {
    return !this.isCutOff && !this.isRetired(this.#self);
  }

  isRetired(instance: string): boolean {
    return this.#config.retired().has(instance);
  }
}
