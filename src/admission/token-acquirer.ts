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
   * Acquires a token from the owner or, while the owner does not answer, has
   * another holder spend one. `trySpend` spends a token granted to this node.
   * True if the statement may run.
   */
  async acquire(deadlineMs: number, trySpend: () => boolean): Promise<boolean> {
    const {schedule} = this.#deps;
    const wasUnresponsive = schedule.isOwnerUnresponsive;
    const requested = this.#requestAndWait(deadlineMs);
    if (wasUnresponsive && (await this.#trySpendRemotely(deadlineMs)))
      return true;
    await requested;
    if (trySpend()) return true;
    if (wasUnresponsive || schedule.hasOwnerAnswered) return false;
    return this.#trySpendRemotely(deadlineMs);
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

  /** Waits for a token request, which all blocked statements share. */
  async #requestAndWait(deadlineMs: number): Promise<void> {
    const {clock, schedule} = this.#deps;
    const waitMs = Math.min(ACQUIRE_TIMEOUT_MS, deadlineMs - clock.now());
    if (waitMs <= 0 || !schedule.mayRequestTokens()) return;
    this.#waiting += 1;
    const done = new AbortController();
    const requested = this.#requestTokens().finally(() => done.abort());
    await Promise.race([requested, clock.sleep(waitMs, done.signal)]);
    this.#waiting -= 1;
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
