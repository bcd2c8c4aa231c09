/** One team's budget as this node sees it: as a holder, and maybe the owner. */

import type {BudgetRecords} from './budget-record.js';
import {createRefusal} from './budget-refusal.js';
import {DemandMeter} from './demand-meter.js';
import {OwnerLink} from './owner-link.js';
import {OwnerRole} from './owner-role.js';
import {Ownership} from './ownership.js';
import type {RetirementTimers} from './retirement-timers.js';
import {RemoteSpender} from './remote-spender.js';
import {isNoShare} from './share.js';
import type {SpendGuard} from './spend-guard.js';
import {Succession} from './succession.js';
import {SyncSchedule} from './sync-schedule.js';
import {TeamHolder, type SyncContext, type SyncPurpose} from './team-holder.js';
import type {TeamOwner} from './team-owner.js';
import {TokenSupply} from './token-supply.js';
import type {
  Admission,
  BudgetDeps,
  BudgetLimits,
  BudgetMessage,
  BudgetReply,
  BudgetStatus,
  SyncMessage,
} from './types.js';

const REPORT_TIMEOUT_MS = 250;
/** How often a leaving node tries to hand its share back. */
const MAX_LEAVE_ATTEMPTS = 5;

const ADMITTED: Admission = {kind: 'admitted'};
const NO_LIMITS: BudgetLimits = {rate: 0, burst: 0};

/** What a team's budget is built from. */
export interface TeamBudgetDeps extends BudgetDeps {
  readonly team: string;
  readonly guard: SpendGuard;
  readonly records: BudgetRecords;
  readonly retirements: RetirementTimers;
  /** The epoch that this process last opened as a team's owner. */
  readonly openedEpochs: Map<string, number>;
  /** Sequence numbers that rise for as long as this process runs. */
  readonly nextSeq: () => number;
}

/** Admits one team's statements at this node. */
export class TeamBudget {
  readonly #deps: TeamBudgetDeps;
  readonly #meter: DemandMeter;
  readonly #ownership: Ownership;
  readonly #holder: TeamHolder;
  readonly #schedule: SyncSchedule;
  readonly #role: OwnerRole;
  readonly #succession: Succession;
  readonly #link: OwnerLink;
  readonly #supply: TokenSupply;
  #calls = 0;
  #isStandby = false;

  constructor(deps: TeamBudgetDeps) {
    const {team, clock, guard, peers, records} = deps;
    const self = deps.self.instance;
    this.#deps = deps;
    this.#meter = new DemandMeter(clock);
    this.#ownership = new Ownership({
      team,
      self,
      clock,
      guard,
      peers,
      records,
    });
    this.#holder = new TeamHolder(clock, guard, () => this.#limits());
    this.#schedule = new SyncSchedule(clock);
    this.#role = new OwnerRole({
      ...deps,
      self,
      ownership: this.#ownership,
      limits: () => this.#limits(),
      ownDemand: () => this.#meter.perSecond,
    });
    this.#succession = new Succession({
      team,
      self,
      guard,
      peers,
      ownership: this.#ownership,
      holder: this.#holder,
      role: this.#role,
    });
    this.#link = new OwnerLink({
      self,
      clock,
      peers,
      ownership: this.#ownership,
      holder: this.#holder,
      schedule: this.#schedule,
      context: purpose => this.#context(purpose),
      succession: this.#succession,
    });
    this.#supply = new TokenSupply({
      clock,
      holder: this.#holder,
      schedule: this.#schedule,
      link: this.#link,
      remoteSpender: new RemoteSpender({
        team,
        self,
        clock,
        peers,
        candidates: () => this.#ownership.candidates(),
      }),
      owner: () => this.#owner,
    });
  }

  /** Whether nothing would be lost by forgetting this budget. */
  get isIdle(): boolean {
    const isBusy = this.#calls > 0 || this.#link.isBusy;
    if (isBusy || this.#owner !== undefined) return false;
    if (!isNoShare(this.#holder.share) || this.#isStandby) return false;
    return this.#schedule.isIdle(this.#meter);
  }

  /** The other instances on which this budget depends at this node. */
  get dependsOn(): readonly string[] {
    const {instance: self} = this.#deps.self;
    return [
      ...this.#role.dependsOn,
      this.#holder.grantor,
      this.#ownership.owner,
    ].filter(one => one !== undefined && one !== self) as string[];
  }

  status(): BudgetStatus {
    const owner = this.#owner;
    return {
      team: this.#deps.team,
      epoch: this.#ownership.epoch,
      owner: this.#ownership.owner,
      share: owner?.pool ?? this.#holder.share,
      tokens: owner?.tokens ?? this.#holder.tokens,
    };
  }

  async admit(deadlineMs: number): Promise<Admission> {
    this.#meter.record();
    if (this.#trySpend()) return ADMITTED;
    if (!this.#canAsk()) return this.#refusal();
    const trySpend = () => this.#trySpend();
    const isObtained = await this.#supply.obtain(deadlineMs, trySpend);
    this.#supply.returnExcess();
    return isObtained && this.#canAsk() ? ADMITTED : this.#refusal();
  }

  async handle(message: BudgetMessage): Promise<BudgetReply> {
    this.#calls += 1;
    try {
      return await this.#answer(message);
    } finally {
      this.#calls -= 1;
    }
  }

  async #answer(message: BudgetMessage): Promise<BudgetReply> {
    switch (message.kind) {
      case 'sync':
        return this.#serve(message);
      case 'recall':
        return this.#giveBack(message);
      case 'moved':
        this.#succession.learn(message.epoch, message.owner);
        return {kind: 'accepted'};
      case 'spend':
        return this.#spendForOther(message.count);
    }
  }

  /** Does what is due: messages to the owner, and the owner's housekeeping. */
  async tick(): Promise<void> {
    this.#holder.refresh();
    if (this.#owner !== undefined) return this.#role.tick();
    const purpose = this.#schedule.due(this.#meter, this.#holder, {
      isOutdated: this.#holder.heldEpoch < this.#ownership.epoch,
      isOrphan: !this.#ownership.isSettled,
      isStandby: this.#isStandby,
    });
    if (purpose !== undefined)
      await this.#link.sync(purpose, REPORT_TIMEOUT_MS);
  }

  /**
   * Takes the ownership if it is vacant; whether the budget has an owner now.
   */
  async prepare(): Promise<boolean> {
    if (this.#ownership.isSettled) return true;
    // Counted, so that the budget is not forgotten while the store answers.
    this.#calls += 1;
    try {
      await this.#succession.becomeOwner();
    } finally {
      this.#calls -= 1;
    }
    return this.#ownership.isSettled;
  }

  /** Whether this node keeps a reserve of the budget without work of its own. */
  standBy(isStandby: boolean): void {
    this.#isStandby = isStandby;
  }

  /** Hands everything back, and the ownership on. */
  async leave(): Promise<void> {
    this.#isStandby = false;
    await this.#succession.handOn();
    // The first message may only move the share to the next owner.
    for (let attempt = 0; attempt < MAX_LEAVE_ATTEMPTS; attempt++) {
      if (this.#owner !== undefined || isNoShare(this.#holder.share)) return;
      await this.#link.sync('release', REPORT_TIMEOUT_MS);
    }
  }

  get #owner(): TeamOwner | undefined {
    return this.#role.owner;
  }

  #limits(): BudgetLimits {
    return this.#deps.config.limits(this.#deps.team) ?? NO_LIMITS;
  }

  #canAsk(): boolean {
    return this.#deps.guard.maySpend() && this.#limits().burst >= 1;
  }

  #trySpend(): boolean {
    return this.#owner?.trySpend() ?? this.#holder.trySpend();
  }

  #refusal(): Admission {
    return createRefusal({
      maySpend: this.#deps.guard.maySpend(),
      limits: this.#limits(),
      owner: this.#owner,
      holder: this.#holder,
      schedule: this.#schedule,
    });
  }

  async #serve(sync: SyncMessage): Promise<BudgetReply> {
    if (this.#deps.guard.isCutOff) return {kind: 'busy'};
    const outdated = sync.knownEpoch > this.#ownership.epoch;
    if (outdated) await this.#ownership.reload();
    this.#succession.stepDownIfSucceeded();
    if (this.#owner === undefined) await this.#succession.becomeOwner();
    // What a holder tells a later owner is not counted by an earlier one.
    const isUpToDate = (this.#owner?.epoch ?? 0) >= sync.knownEpoch;
    if (this.#owner !== undefined && isUpToDate) return this.#owner.serve(sync);
    const {epoch, owner} = this.#ownership;
    return {kind: 'notOwner', epoch, owner};
  }

  #spendForOther(count: number): BudgetReply {
    const {epoch, owner} = this.#ownership;
    if (this.#owner !== undefined) return {kind: 'notOwner', epoch, owner};
    if (this.#succession.isOpening) return {kind: 'busy'};
    for (let n = 0; n < count; n++) this.#meter.record();
    return {kind: 'spent', count: this.#holder.spendForOther(count)};
  }

  #giveBack(recall: BudgetMessage & {kind: 'recall'}): BudgetReply {
    this.#succession.learn(recall.epoch, recall.owner);
    const isCurrent = recall.epoch === this.#ownership.epoch;
    const canAnswer = isCurrent && this.#owner === undefined;
    if (!canAnswer || this.#holder.isAwaiting) return {kind: 'busy'};
    if (!this.#deps.guard.maySpend()) return {kind: 'busy'};
    const sync = this.#holder.giveBack(recall, this.#context());
    return {kind: 'returned', sync};
  }

  #context(purpose: SyncPurpose = 'report'): SyncContext {
    return {
      team: this.#deps.team,
      holder: this.#deps.self.instance,
      seq: this.#deps.nextSeq(),
      knownEpoch: this.#ownership.epoch,
      demand: purpose === 'release' ? 0 : this.#meter.perSecond,
      waiting: this.#supply.waiting,
      isStandby: this.#isStandby && purpose !== 'release',
    };
  }
}
