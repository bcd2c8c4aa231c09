/** The holder and owner sides of the team budgets on one node. */
import {peerAddressOf} from '../fleet/member-list.js';
import type {MemberLease} from '../fleet/member-lease.js';
import type {HomeMonitor} from '../home/home-monitor.js';
import type {Clock} from '../infra/clock.js';
import type {PeerCaller, PeerHandler} from '../peers/types.js';
import {BudgetHolder} from '../quota/budget-holder.js';
import {BudgetOwner, type BudgetRole} from '../quota/budget-owner.js';
import {createTokenHandler} from '../quota/token-handler.js';
import type {TokenReply, TokenRequest} from '../quota/types.js';
import type {Logger} from '../telemetry/log.js';
import type {ClusterState} from './cluster-state.js';
import type {WorkPlacement} from './work-placement.js';

/** Peer method by which holders request tokens. */
const TAKE_METHOD = 'quota.take';
/** Timeout of a request to a budget's owner. */
const TAKE_TIMEOUT_MS = 150;
/** Nodes that start this close to one another count as restarted together. */
const FLEET_RESTART_WINDOW_MS = 6_000;

/** Dependencies of {@link NodeBudgets}. */
export interface NodeBudgetsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: string;
  readonly clusterState: Pick<
    ClusterState,
    'catalog' | 'hasEarlierProcesses' | 'members'
  >;
  readonly placement: Pick<WorkPlacement, 'budgetOrder' | 'firstResponsive'>;
  readonly lease: Pick<MemberLease, 'isHeld' | 'heldForMs'>;
  readonly homeMonitor: Pick<HomeMonitor, 'begin'>;
  readonly peers: PeerCaller;
  /** Length of the sliding window of the teams' limits, in milliseconds. */
  readonly windowMs: number;
  /** Operations by which a window may exceed a team's limit. */
  readonly slack: number;
  /** Aborts when the node stops. */
  readonly signal: AbortSignal;
}

/**
 * Admits statements by tokens that are requested from each team's owner, and
 * grants tokens to other nodes for the budgets that this node owns.
 *
 * @example
 * const decision = await budgets.holder.admit('red');
 */
export class NodeBudgets {
  readonly holder: BudgetHolder;
  readonly #options: NodeBudgetsOptions;
  readonly #owner: BudgetOwner;
  readonly #startedAt: number;

  constructor(options: NodeBudgetsOptions) {
    const {clock, log, clusterState, windowMs, slack} = options;
    this.#options = options;
    this.#startedAt = clock.now();
    const limits = (team: string) => clusterState.catalog.teams.get(team);
    this.#owner = new BudgetOwner({
      clock,
      roleFor: team => this.#roleFor(team),
      heldForMs: () => this.#exclusiveForMs(),
      limits,
      windowMs,
      slack,
    });
    this.holder = new BudgetHolder({
      clock,
      log,
      limits,
      requestTokens: req => this.#requestTokens(req),
    });
  }

  /** Handlers by peer method. */
  get handlers(): ReadonlyMap<string, PeerHandler> {
    return new Map<string, PeerHandler>([
      [TAKE_METHOD, createTokenHandler(this.#owner)],
    ]);
  }

  /**
   * Returns for how many milliseconds no other node can have granted from a
   * budget that this node has just taken over: the earlier owner granted until it
   * left. After a restart of the whole fleet that is this node's uptime, as no
   * earlier owner is left.
   */
  #exclusiveForMs(): number {
    const {clock, clusterState, lease} = this.#options;
    const uptimeMs = clock.now() - this.#startedAt;
    const hasFleetRestarted =
      !clusterState.hasEarlierProcesses && uptimeMs < FLEET_RESTART_WINDOW_MS;
    if (hasFleetRestarted) return uptimeMs;
    return Math.min(lease.heldForMs, clusterState.members.sinceLossMs());
  }

  #roleFor(team: string): BudgetRole {
    const {lease, placement, self} = this.#options;
    if (!lease.isHeld) return 'none';
    const order = placement.budgetOrder(team);
    if (order[0]?.id === self) return 'owner';
    return placement.firstResponsive(order)?.id === self ? 'standIn' : 'none';
  }

  async #requestTokens(req: TokenRequest): Promise<TokenReply> {
    const {placement, self, homeMonitor, peers, signal} = this.#options;
    const owner = placement.firstResponsive(placement.budgetOrder(req.team));
    if (owner === undefined) throw new Error('no live node to own the budget');
    if (owner.id === self) return this.#owner.serve(self, req);
    const address = peerAddressOf(owner);
    const monitored = homeMonitor.begin(address, signal);
    const options = {timeoutMs: TAKE_TIMEOUT_MS};
    try {
      const reply = await peers.call(address, TAKE_METHOD, req, options);
      monitored.end('answered');
      return reply as TokenReply;
    } catch (err) {
      monitored.end('failed');
      throw err;
    }
  }
}
