/** The team budgets at one node: its part as a holder, and as an owner. */
import {peerAddressOf} from '../fleet/member-list.js';
import type {MemberLease} from '../fleet/member-lease.js';
import type {HomeMonitor} from '../home/home-monitor.js';
import type {Clock} from '../infra/clock.js';
import type {PeerCaller, PeerHandler} from '../peers/types.js';
import {BudgetHolder} from '../quota/budget-holder.js';
import {BudgetOwner, type BudgetRole} from '../quota/budget-owner.js';
import type {TokenReply, TokenRequest} from '../quota/types.js';
import type {Logger} from '../telemetry/log.js';
import type {NodePicture} from './node-picture.js';
import type {NodePlaces} from './node-places.js';

/** The peer method by which holders take tokens. */
const METHOD = 'quota.take';
/** A call to a budget's owner is given up after this long. */
const TIMEOUT_MS = 150;
/** Nodes that start within this time of one another were restarted together. */
const RESTART_MS = 6_000;

/** What the budgets need of the node. */
export interface NodeBudgetsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: string;
  readonly picture: Pick<NodePicture, 'catalog' | 'hasEarlierProcesses'>;
  readonly places: Pick<NodePlaces, 'budgetOrder' | 'firstAnswering'>;
  readonly lease: Pick<MemberLease, 'isHeld' | 'heldForMs'>;
  readonly watch: Pick<HomeMonitor, 'begin'>;
  readonly peers: PeerCaller;
  /** Length of the windows for which the teams' limits hold. */
  readonly windowMs: number;
  /** Aborts when the node stops. */
  readonly signal: AbortSignal;
}

/**
 * @example
 * const decision = await budgets.holder.admit('red');
 */
export class NodeBudgets {
  readonly holder: BudgetHolder;
  readonly #options: NodeBudgetsOptions;
  readonly #owner: BudgetOwner;
  readonly #startedAt: number;

  constructor(options: NodeBudgetsOptions) {
    const {clock, log, picture, windowMs} = options;
    this.#options = options;
    this.#startedAt = clock.now();
    const limits = (team: string) => picture.catalog.teams.get(team);
    this.#owner = new BudgetOwner({
      clock,
      roleFor: team => this.#roleFor(team),
      heldForMs: () => this.#creditMs(),
      limits,
      windowMs,
    });
    this.holder = new BudgetHolder({
      clock,
      log,
      limits,
      requestTokens: req => this.#ask(req),
    });
  }

  /** The peer methods that it serves. */
  get handlers(): ReadonlyMap<string, PeerHandler> {
    return new Map<string, PeerHandler>([
      [
        METHOD,
        async (body, {from}) => this.#owner.serve(from, body as TokenRequest),
      ],
    ]);
  }

  /**
   * Time for which nobody else can have granted from a budget that is new to
   * this node. After a restart of the whole fleet that is its own time.
   */
  #creditMs(): number {
    const {clock, picture, lease} = this.#options;
    const upMs = clock.now() - this.#startedAt;
    const isWholeFleetNew = !picture.hasEarlierProcesses && upMs < RESTART_MS;
    return isWholeFleetNew ? upMs : lease.heldForMs;
  }

  #roleFor(team: string): BudgetRole {
    const {lease, places, self} = this.#options;
    if (!lease.isHeld) return 'none';
    const order = places.budgetOrder(team);
    if (order[0]?.id === self) return 'owner';
    return places.firstAnswering(order)?.id === self ? 'standIn' : 'none';
  }

  async #ask(req: TokenRequest): Promise<TokenReply> {
    const {places, self, watch, peers, signal} = this.#options;
    const owner = places.firstAnswering(places.budgetOrder(req.team));
    if (owner === undefined) throw new Error('no node owns budgets yet');
    if (owner.id === self) return this.#owner.serve(self, req);
    const address = peerAddressOf(owner);
    const watched = watch.begin(address, signal);
    const options = {timeoutMs: TIMEOUT_MS};
    try {
      const reply = await peers.call(address, METHOD, req, options);
      watched.end('answered');
      return reply as TokenReply;
    } catch (err) {
      watched.end('failed');
      throw err;
    }
  }
}
