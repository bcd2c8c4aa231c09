/** Requests that other holders spend tokens for this node's statements. */

import type {Clock} from '../infra/clock.js';
import {AvoidedNodes} from './avoided-nodes.js';
import {SPEND_VALID_MS} from './in-flight-spends.js';
import type {BudgetPeers, SpendMessage} from './types.js';

/** Maximum number of nodes that one round asks, one after the other. */
const MAX_NODES_PER_ROUND = 3;
/** Time for which a node that did not answer is skipped. */
const UNRESPONSIVE_PAUSE_MS = 1_000;
/** Pause after a round in which no node had a token. */
const EMPTY_ROUND_PAUSE_MS = 50;

/** Dependencies of a remote spender. */
export interface RemoteSpenderDeps {
  readonly team: string;
  /** This node's instance. */
  readonly self: string;
  readonly clock: Clock;
  readonly peers: BudgetPeers;
  /** Returns the nodes that may hold a share, the most likely ones first. */
  readonly candidates: () => readonly string[];
}

/**
 * Provides tokens while the owner can't be reached. No share moves: the node
 * that holds it spends the token, so a lost message can lose a token but never
 * duplicate one.
 */
export class RemoteSpender {
  readonly #deps: RemoteSpenderDeps;
  /** One resolver for each blocked statement; true lets the statement run. */
  #waiters: ((isSpent: boolean) => void)[] = [];
  #isRunning = false;
  #nextRoundAtMs = -Infinity;
  #lastSpendingNode: string | undefined;
  #cursor = 0;
  readonly #unresponsive: AvoidedNodes;

  constructor(deps: RemoteSpenderDeps) {
    this.#deps = deps;
    this.#unresponsive = new AvoidedNodes(deps.clock, UNRESPONSIVE_PAUSE_MS);
  }

  /** True if another node spent a token for one statement of this node. */
  async trySpend(): Promise<boolean> {
    if (this.#deps.clock.now() < this.#nextRoundAtMs) return false;
    const spent = new Promise<boolean>(resolve => {
      this.#waiters.push(resolve);
    });
    void this.#run();
    return spent;
  }

  async #run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    while (this.#waiters.length > 0) {
      if (!(await this.#runRound())) this.#refuseAll();
    }
    this.#isRunning = false;
  }

  /** Asks nodes in turn; true as soon as one has spent tokens. */
  async #runRound(): Promise<boolean> {
    for (const node of this.#nodesToAsk()) {
      const spent = await this.#requestSpend(node);
      this.#lastSpendingNode = spent > 0 ? node : undefined;
      for (const resolve of this.#waiters.splice(0, spent)) resolve(true);
      if (spent > 0) return true;
    }
    return false;
  }

  #refuseAll(): void {
    this.#nextRoundAtMs = this.#deps.clock.now() + EMPTY_ROUND_PAUSE_MS;
    for (const resolve of this.#waiters.splice(0)) resolve(false);
  }

  /** The node that last spent a token, then the others in rotation. */
  #nodesToAsk(): readonly string[] {
    const {self, candidates} = this.#deps;
    const others = candidates().filter(
      node =>
        node !== self &&
        node !== this.#lastSpendingNode &&
        !this.#unresponsive.has(node),
    );
    const start = others.length === 0 ? 0 : this.#cursor++ % others.length;
    const inTurn = [...others.slice(start), ...others.slice(0, start)];
    const first =
      this.#lastSpendingNode === undefined ? [] : [this.#lastSpendingNode];
    return [...first, ...inTurn].slice(0, MAX_NODES_PER_ROUND);
  }

  /** Returns the number of tokens that a node spent for this one. */
  async #requestSpend(node: string): Promise<number> {
    const {clock, peers, team} = this.#deps;
    const requestedAtMs = clock.now();
    const count = this.#waiters.length;
    const message: SpendMessage = {kind: 'spend', team, count};
    try {
      const reply = await peers.call(node, message, SPEND_VALID_MS);
      const isValid = clock.now() - requestedAtMs < SPEND_VALID_MS;
      return reply.kind === 'spent' && isValid ? reply.count : 0;
    } catch {
      this.#unresponsive.add(node);
      return 0;
    }
  }
}
