/** Admission control: admits statements within their teams' rate and burst. */

import {BudgetRecords} from './budget-record.js';
import {RetirementTimers} from './retirement-timers.js';
import {RetirementWatch} from './retirement-watch.js';
import {SpendGuard} from './spend-guard.js';
import {TeamBudget, type TeamBudgetDeps} from './team-budget.js';
import type {
  Admission,
  BudgetDeps,
  BudgetMessage,
  BudgetReply,
  BudgetStatus,
} from './types.js';

const TICK_MS = 250;
const WATCH_EVERY_TICKS = 4;

/**
 * The budgets of all teams at this node.
 *
 * Conservation invariant: in any time window, all nodes together admit at most
 * `rate * window + burst` statements of a team.
 *
 * @example
 * const budgets = new BudgetService({self, clock, random, store, peers, standing, config});
 * budgets.start();
 * const admission = await budgets.admit('assessors', clock.now() + 500);
 */
export class BudgetService {
  readonly #deps: Omit<TeamBudgetDeps, 'team'>;
  readonly #teams = new Map<string, TeamBudget>();
  readonly #retirementWatch: RetirementWatch;
  #running: AbortController | undefined;
  readonly #ensuredTeams = new Set<string>();
  #isLeaving = false;
  #seq = 0;

  constructor(deps: BudgetDeps) {
    const {self, clock, standing, config, peers, options} = deps;
    const guard = new SpendGuard(
      self.instance,
      clock,
      standing,
      config,
      options,
    );
    this.#deps = {
      ...deps,
      guard,
      records: new BudgetRecords(deps.store),
      retirements: new RetirementTimers(guard),
      openedEpochs: new Map(),
      nextSeq: () => ++this.#seq,
    };
    this.#retirementWatch = new RetirementWatch({
      self: self.instance,
      guard,
      peers,
      standing,
      config,
    });
  }

  /**
   * Decides on one statement. Waits for tokens only as long as a request to
   * other nodes takes, never for tokens to accrue.
   *
   * @example
   * const res = await budgets.admit('assessors', clock.now() + 500);
   * if (res.kind === 'refused') refuse(res.retryAfterMs);
   *
   * @param deadlineMs Monotonic time at which the caller gives up.
   */
  async admit(team: string, deadlineMs: number): Promise<Admission> {
    return this.#budgetOf(team).admit(deadlineMs);
  }

  /**
   * Claims the budgets of these teams that have no owner, so that each has one
   * before the store can fail. Call it for the teams for which this node ranks
   * first.
   */
  async ensureOwners(teams: readonly string[]): Promise<void> {
    const pending = teams.filter(team => !this.#ensuredTeams.has(team));
    await Promise.all(pending.map(team => this.#ensureOwner(team)));
  }

  /**
   * Makes this node a standby for exactly these teams. A standby keeps a reserve
   * of a budget, if the owner grants one, so that most of the budget stays
   * usable when the owner fails. Call it for the teams for which this node is
   * among the best-ranked.
   */
  setStandbyTeams(teams: readonly string[]): void {
    const selected = new Set(teams);
    for (const [team, budget] of this.#teams) {
      if (!selected.has(team)) budget.setStandby(false);
    }
    for (const team of selected) this.#budgetOf(team).setStandby(true);
  }

  async #ensureOwner(team: string): Promise<void> {
    this.#ensuredTeams.add(team);
    const isOwned = await this.#budgetOf(team).ensureOwner();
    if (!isOwned) this.#ensuredTeams.delete(team);
  }

  /** Serves the peer method `budget`. */
  async handle(message: BudgetMessage, _from: string): Promise<BudgetReply> {
    if (this.#isLeaving && message.kind === 'sync') return {kind: 'busy'};
    return this.#budgetOf(message.team).handle(message);
  }

  /** Starts the periodic syncs that adapt shares to demand. */
  start(): void {
    if (this.#running !== undefined) return;
    this.#running = new AbortController();
    void this.#run(this.#running.signal);
  }

  /** Returns all shares and transfers all ownerships. */
  async stop(): Promise<void> {
    this.#running?.abort();
    this.#running = undefined;
    this.#isLeaving = true;
    await Promise.all([...this.#teams.values()].map(budget => budget.leave()));
  }

  /** Returns the status of each budget in use at this node. */
  status(): readonly BudgetStatus[] {
    return [...this.#teams.values()].map(budget => budget.status());
  }

  #budgetOf(team: string): TeamBudget {
    const known = this.#teams.get(team);
    if (known !== undefined) return known;
    const budget = new TeamBudget({...this.#deps, team});
    this.#teams.set(team, budget);
    return budget;
  }

  async #run(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.#deps;
    await clock.sleep(random.next() * TICK_MS, signal);
    for (let tick = 1; !signal.aborted; tick++) {
      this.#tick();
      if (tick % WATCH_EVERY_TICKS === 0) this.#checkRetirements();
      await clock.sleep(TICK_MS, signal);
    }
  }

  #tick(): void {
    this.#deps.retirements.resetIfCutOff();
    for (const [team, budget] of this.#teams) {
      if (budget.isIdle) this.#teams.delete(team);
      else void budget.tick();
    }
  }

  #checkRetirements(): void {
    const dependencies = new Set<string>();
    for (const budget of this.#teams.values()) {
      for (const instance of budget.dependencies) dependencies.add(instance);
    }
    void this.#retirementWatch.check(dependencies);
  }
}
