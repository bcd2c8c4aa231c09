/** Has instances retired that are gone while budgets depend on them. */

import type {SpendGuard} from './spend-guard.js';
import type {BudgetConfigPort, BudgetPeers, StandingPort} from './types.js';

/** How long an instance must be missing from the live nodes. */
const RETIRE_AFTER_MS = 3_000;
/** How much longer each next node waits, so that one edit is enough. */
const STAGGER_MS = 1_000;
const MAX_STAGGER_MS = 5_000;
const RETRY_MS = 2_000;
const KEY_PREFIX = 'zinnia/retire/';

/** What the watch is built from. */
export interface RetirementWatchDeps {
  readonly self: string;
  readonly guard: SpendGuard;
  readonly peers: BudgetPeers;
  readonly standing: StandingPort;
  readonly config: BudgetConfigPort;
}

/** Follows the instances on which this node's budgets depend. */
export class RetirementWatch {
  readonly #deps: RetirementWatchDeps;
  #goneSinceMs = new Map<string, number>();
  readonly #triedAtMs = new Map<string, number>();

  constructor(deps: RetirementWatchDeps) {
    this.#deps = deps;
  }

  /** Looks for gone instances among `dependsOn`, and retires the long gone. */
  async check(dependsOn: ReadonlySet<string>): Promise<void> {
    const {guard, peers, standing} = this.#deps;
    if (standing.standing() !== 'current') return this.#goneSinceMs.clear();
    const {nowMs} = guard;
    const gone = [...dependsOn].filter(
      instance => peers.isGone(instance) && !guard.isRetired(instance),
    );
    this.#goneSinceMs = new Map(
      gone.map(one => [one, this.#goneSinceMs.get(one) ?? nowMs]),
    );
    await Promise.all(
      gone.filter(one => this.#isDue(one, nowMs)).map(one => this.#retire(one)),
    );
  }

  #isDue(instance: string, nowMs: number): boolean {
    const {peers, self} = this.#deps;
    const order = peers.homeOrder(KEY_PREFIX + instance);
    const rank = order.findIndex(node => node.instance === self);
    const staggerMs = Math.min(MAX_STAGGER_MS, Math.max(0, rank) * STAGGER_MS);
    const goneMs = nowMs - (this.#goneSinceMs.get(instance) ?? nowMs);
    const triedMs = nowMs - (this.#triedAtMs.get(instance) ?? -Infinity);
    return goneMs >= RETIRE_AFTER_MS + staggerMs && triedMs >= RETRY_MS;
  }

  async #retire(instance: string): Promise<void> {
    this.#triedAtMs.set(instance, this.#deps.guard.nowMs);
    try {
      await this.#deps.config.retire(instance);
      this.#triedAtMs.delete(instance);
    } catch {
      // Tried again later; until then the share stays where it is.
    }
  }
}
