/** Retires instances that have ended while budgets still depend on them. */

import type {SpendGuard} from './spend-guard.js';
import type {BudgetConfigPort, BudgetPeers, StandingPort} from './types.js';

/** Time for which an instance must be gone before it is retired. */
const RETIRE_AFTER_MS = 3_000;
/** Extra wait of each next-ranked node, so that usually only one edits. */
const STAGGER_MS = 1_000;
const MAX_STAGGER_MS = 5_000;
const RETRY_MS = 2_000;
const HASH_KEY_PREFIX = 'zinnia/retire/';

/** Dependencies of the retirement watch. */
export interface RetirementWatchDeps {
  readonly self: string;
  readonly guard: SpendGuard;
  readonly peers: BudgetPeers;
  readonly standing: StandingPort;
  readonly config: BudgetConfigPort;
}

/** Watches the instances that this node's budgets depend on. */
export class RetirementWatch {
  readonly #deps: RetirementWatchDeps;
  #goneSinceMs = new Map<string, number>();
  readonly #attemptedAtMs = new Map<string, number>();

  constructor(deps: RetirementWatchDeps) {
    this.#deps = deps;
  }

  /** Retires the `dependencies` that have been gone long enough. */
  async check(dependencies: ReadonlySet<string>): Promise<void> {
    const {guard, peers, standing} = this.#deps;
    if (standing.standing() !== 'current') return this.#goneSinceMs.clear();
    const {nowMs} = guard;
    const gone = [...dependencies].filter(
      instance => peers.isGone(instance) && !guard.isRetired(instance),
    );
    this.#goneSinceMs = new Map(
      gone.map(instance => [
        instance,
        this.#goneSinceMs.get(instance) ?? nowMs,
      ]),
    );
    await Promise.all(
      gone
        .filter(instance => this.#isDue(instance, nowMs))
        .map(instance => this.#retire(instance)),
    );
  }

  #isDue(instance: string, nowMs: number): boolean {
    const {peers, self} = this.#deps;
    const order = peers.homeOrder(HASH_KEY_PREFIX + instance);
    const rank = order.findIndex(node => node.instance === self);
    const staggerMs = Math.min(MAX_STAGGER_MS, Math.max(0, rank) * STAGGER_MS);
    const goneMs = nowMs - (this.#goneSinceMs.get(instance) ?? nowMs);
    const sinceAttemptMs =
      nowMs - (this.#attemptedAtMs.get(instance) ?? -Infinity);
    return goneMs >= RETIRE_AFTER_MS + staggerMs && sinceAttemptMs >= RETRY_MS;
  }

  async #retire(instance: string): Promise<void> {
    this.#attemptedAtMs.set(instance, this.#deps.guard.nowMs);
    try {
      await this.#deps.config.retire(instance);
      this.#attemptedAtMs.delete(instance);
    } catch {
      // Retried at a later check; until then nothing is reclaimed.
    }
  }
}
