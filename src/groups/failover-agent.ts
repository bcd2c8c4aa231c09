/** Monitors one group and starts a failover when the group needs one. */
import type {Clock, Random} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import {
  assessFailoverNeed,
  suspect,
  type ReachabilityPort,
  type FailoverCause,
  type FailoverNeed,
} from './failover-need.js';
import {orderFailover, type FailoverResult} from './failover.js';
import {highestTerm} from './group-view.js';
import type {GroupMonitor} from './monitor.js';
import type {DatabaseRank} from './promotion.js';
import type {DatabaseControl} from './types.js';

const CHECK_PERIOD_MS = 50;
/** Period while every database answers and receives from its primary. */
const HEALTHY_CHECK_PERIOD_MS = 200;
/** Pause before other nodes are asked again about a primary that they reach. */
const LINK_FAULT_RECHECK_MS = 500;
/**
 * Spreads nodes that detect a fault at the same time, so that usually one
 * orders.
 */
const ORDER_JITTER_MS = 100;
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_600;

/**
 * How long each cause must persist before a failover is ordered, since another
 * node's failover may be in progress.
 */
const MIN_CAUSE_DURATION_MS: Readonly<Record<FailoverCause, number>> = {
  primaryUnreachable: 0,
  primaryIsolated: 0,
  noPrimary: 300,
  unfinishedFence: 2_000,
};

/** What an agent reports: a fault of its own link, or a failover it ordered. */
export type FailoverEvent =
  | {readonly kind: 'linkFault'; readonly databaseId: string}
  | {
      readonly kind: 'ordered';
      readonly cause: FailoverCause;
      readonly result: FailoverResult;
    };

/** Options of {@link FailoverAgent}. */
export interface FailoverAgentOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly monitor: GroupMonitor;
  readonly controls: readonly DatabaseControl[];
  readonly reachability: ReachabilityPort;
  /** Unique to this process of this VM; a restart needs a new one. */
  readonly instanceId: string;
  readonly rank?: DatabaseRank;
  readonly onEvent?: (event: FailoverEvent) => void;
}

/**
 * Orders the failovers of one group. Any number of nodes may run an agent for
 * the same group at once.
 *
 * @example
 * const agent = new FailoverAgent({clock, random, monitor, controls, evidence,
 *   instanceId: 'vm-3/8f2a'});
 * agent.start();
 */
export class FailoverAgent {
  readonly #options: FailoverAgentOptions;
  readonly #stopping = new AbortController();
  #attempts = 0;
  #held = false;
  /** Earliest time to query other nodes again after a link fault. */
  #peerRecheckAt = -Infinity;

  constructor(options: FailoverAgentOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopping.abort();
  }

  /** Suspends failovers until {@link release}, as during a planned switch. */
  hold(): void {
    this.#held = true;
  }

  /** Allows failovers again after {@link hold}. */
  release(): void {
    this.#held = false;
  }

  /** A new orderer id; each attempt needs its own. */
  nextOrderer(): string {
    this.#attempts += 1;
    return `${this.#options.instanceId}/${this.#attempts}`;
  }

  async #run(): Promise<void> {
    const {signal} = this.#stopping;
    let failures = 0;
    while (!signal.aborted) {
      const result = await this.#checkOnce();
      if (result === undefined || result.kind === 'promoted') failures = 0;
      else failures += 1;
      await this.#pause(failures);
    }
  }

  #pause(failures: number): Promise<void> {
    const {clock, monitor} = this.#options;
    const {signal} = this.#stopping;
    if (failures > 0) return clock.sleep(this.#backoffMs(failures), signal);
    const {isDegraded} = monitor;
    const periodMs = isDegraded ? CHECK_PERIOD_MS : HEALTHY_CHECK_PERIOD_MS;
    return sleepToTick(clock, periodMs, signal);
  }

  /**
   * Orders a failover if a cause persists and the group's state still requires
   * it.
   */
  async #checkOnce(): Promise<FailoverResult | undefined> {
    const cause = await this.#persistentCause();
    if (cause === undefined) return undefined;
    const {clock, random, monitor, controls, rank} = this.#options;
    const {signal} = this.#stopping;
    await clock.sleep(random.next() * ORDER_JITTER_MS, signal);
    const seenTerm = highestTerm(await monitor.refreshNow());
    const need = await this.#assess();
    if (need.kind !== 'needed' || need.cause !== cause) return undefined;
    if (signal.aborted || this.#held) return undefined;
    const orderer = this.nextOrderer();
    const {suspectId} = need;
    const order = {clock, controls, orderer, suspectId, seenTerm, rank};
    const result = await orderFailover(order);
    this.#options.onEvent?.({kind: 'ordered', cause, result});
    await monitor.refreshNow();
    return result;
  }

  /**
   * Returns the cause of a needed failover once it has persisted for
   * `MIN_CAUSE_DURATION_MS`; undefined if it goes away or changes before.
   */
  async #persistentCause(): Promise<FailoverCause | undefined> {
    const {clock} = this.#options;
    const since = clock.now();
    let cause: FailoverCause | undefined;
    for (;;) {
      const need = await this.#assess();
      if (need.kind !== 'needed') return undefined;
      cause ??= need.cause;
      if (need.cause !== cause || this.#stopping.signal.aborted) {
        return undefined;
      }
      if (clock.now() - since >= MIN_CAUSE_DURATION_MS[cause]) return cause;
      await clock.sleep(CHECK_PERIOD_MS, this.#stopping.signal);
    }
  }

  async #assess(): Promise<FailoverNeed> {
    const {clock, monitor, reachability} = this.#options;
    const view = monitor.current();
    const suspicion = suspect(view);
    const needsPeerVotes =
      suspicion.kind === 'suspected' &&
      suspicion.cause === 'primaryUnreachable';
    if (needsPeerVotes && clock.now() < this.#peerRecheckAt)
      return {kind: 'healthy'};
    const need = await assessFailoverNeed(view, reachability);
    if (need.kind !== 'linkFault') return need;
    this.#peerRecheckAt = clock.now() + LINK_FAULT_RECHECK_MS;
    this.#options.onEvent?.(need);
    return need;
  }

  /** Exponential with jitter, so that nodes that outbid each other separate. */
  #backoffMs(failures: number): number {
    const ceilingMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** (failures - 1),
    );
    return ceilingMs * (0.25 + this.#options.random.next() * 0.75);
  }
}
