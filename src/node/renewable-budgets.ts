/** The node's budgets under an instance that can be replaced. */
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

/** What the budgets are built from. */
export interface RenewableBudgetsOptions {
  readonly deps: BudgetDeps;
  readonly log: Logger;
  /**
   * The teams of the table in force for which this node is among the first
   * `count` choices, with its place among them, from 0.
   */
  readonly choicesOf: (count: number) => ReadonlyMap<string, number>;
}

const PREPARE_PERIOD_MS = 500;

/**
 * An instance that was retired may never spend again, even if the process was
 * only cut off for a while. The process then goes on under a new instance,
 * which holds nothing at first.
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

  /** Takes a new instance if the present one was retired. */
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
    void this.#prepareRegularly();
  }

  /** Hands all shares back. */
  async stop(): Promise<void> {
    this.#running = false;
    await this.#service.stop();
  }

  /** Takes up the budgets that this node should own, if they are vacant. */
  prepare(): Promise<void> {
    // One more, as the owner may be any of them and is no standby.
    const choices = this.#options.choicesOf(MAX_STANDBYS + 1);
    const teams = [...choices.keys()];
    this.#service.setStandbyTeams(teams);
    return this.#service.ensureOwners(
      teams.filter(team => choices.get(team) === 0),
    );
  }

  /** The table and the list of VMs change, so this is repeated. */
  async #prepareRegularly(): Promise<void> {
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
