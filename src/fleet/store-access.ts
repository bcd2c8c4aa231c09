/**
 * Whether this node reaches the store itself.
 *
 * Load pattern: the store refuses or ignores some of the nodes for seconds while
 * the others reach it. Each call of such a node would wait for its timeout, so
 * after a failure the node asks its peers first for a while.
 */
import type {Clock} from '../infra/clock.js';

/** How long after a failed call the node's own access isn't tried first. */
const RETRY_AFTER_MS = 2_000;
/** How long after no peer could help the peers aren't asked again. */
const NO_HELP_MS = 500;

/**
 * Decides whether a store call is tried directly or through a peer first.
 *
 * @example
 * access.recordFailure();
 * if (access.prefersPeers) await askPeers();
 */
export class StoreAccess {
  readonly #clock: Clock;
  #failedAt: number | undefined;
  #noHelpUntil = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** True if the last direct call got no answer. */
  get isFailing(): boolean {
    return this.#failedAt !== undefined;
  }

  /** True if a direct call has failed so recently that the next one would too. */
  get isBlocked(): boolean {
    if (this.#failedAt === undefined) return false;
    return this.#clock.now() < this.#failedAt + RETRY_AFTER_MS;
  }

  /** True if a call should go through a peer before it is tried directly. */
  get prefersPeers(): boolean {
    return this.isBlocked && this.mayAskPeers;
  }

  /** False shortly after no peer could help: the store may be down for all. */
  get mayAskPeers(): boolean {
    return this.#clock.now() >= this.#noHelpUntil;
  }

  /** Records that the store answered a direct call. */
  recordAnswer(): void {
    this.#failedAt = undefined;
  }

  /** Records that a direct call failed. */
  recordFailure(): void {
    this.#failedAt = this.#clock.now();
  }

  /** Records that no peer reached the store either. */
  recordNoHelp(): void {
    this.#noHelpUntil = this.#clock.now() + NO_HELP_MS;
  }
}
