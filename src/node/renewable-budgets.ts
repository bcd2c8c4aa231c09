/** Replaces a node's budget instance after it was retired. */
import {MAX_STANDBYS} from '../admission/allocation.js';
import {BudgetService} from '../admission/budget-service.js';
import type {
  Admission,
  BudgetDeps,
  BudgetMessage,
  BudgetReply,
  BudgetStatus,
} from '../admission/types.js';
import type {AdmissionPort} from '../callers/types.js';
import {sleepToTick} from '../infra/timer.js';
import type {Logger} from '../telemetry/log.js';

/** Dependencies of {@link RenewableBudgets}. */
export interface RenewableBudgetsOptions {
  readonly deps: BudgetDeps;
  readonly log: Logger;
  /**
   * Returns the teams of the current table for which this node ranks among the
   * first `count` candidate owners, with its rank, from 0.
   */
  readonly teamRanks: (count: number) => ReadonlyMap<string, number>;
}

const PREPARE_PERIOD_MS = 500;

/**
 * Runs the budgets of all teams under the current instance. A retired instance
 * may never spend again, even if its process was only partitioned for a while;
 * the process then continues under a new instance, which holds no shares yet.
 */
export class RenewableBudgets implements AdmissionPort {
  readonly #options: RenewableBudgetsOptions;
  #service: BudgetService;
  #instance: string;
  #renewals = 0;
  #running = false;

  constructor(options: RenewableBudgetsOptions) {
    this.#options = options;
    this.#instance = options.deps.self.instance;
    this.#service = new BudgetService(options.deps);
  }

  /** Switches to a new instance if the current one was retired. */
  renewIfRetired(): void {
    const {deps, log} = this.#options;
    if (!deps.config.retired().has(this.#instance)) return;
    const old = this.#service;
    this.#renewals++;
    const instance = `${deps.self.instance}.${this.#renewals}`;
    log.warn('budgetInstanceRetired', {old: this.#instance, instance});
    this.#instance = instance;
    this.#service = new BudgetService({
      ...deps,
      self: {...deps.self, instance},
    });
    if (this.#running) this.#service.start();
    old
      .stop()
      .catch((err: unknown) =>
        log.warn('budgetStopFailed', {message: String(err)}),
      );
  }

  start(): void {
    this.#running = true;
    this.#service.start();
    void this.#prepareLoop();
  }

  /** Returns all shares to their owners. */
  async stop(): Promise<void> {
    this.#running = false;
    await this.#service.stop();
  }

  /** Sets the standby teams, and claims unowned budgets that rank this node first. */
  prepare(): Promise<void> {
    // One more than the standbys, as any of these nodes may be the owner.
    const ranks = this.#options.teamRanks(MAX_STANDBYS + 1);
    const teams = [...ranks.keys()];
    this.#service.setStandbyTeams(teams);
    return this.#service.ensureOwners(
      teams.filter(team => ranks.get(team) === 0),
    );
  }

  /** Repeats `prepare`, as the table and the list of VMs change. */
  async #prepareLoop(): Promise<void> {
    const {clock} = this.#options.deps;
    while (this.#running) {
      await sleepToTick(clock, PREPARE_PERIOD_MS);
      if (this.#running) await this.prepare();
    }
  }

  admit(team: string, deadlineMs: number): Promise<Admission> {
    return this.#service.admit(team, deadlineMs);
  }

  handle(message: BudgetMessage, from: string): Promise<BudgetReply> {
    return this.#service.handle(message, from);
  }

  status(): readonly BudgetStatus[] {
    return this.#service.status();
  }
}
