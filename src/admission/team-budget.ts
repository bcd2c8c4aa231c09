/** One team's budget at this node, as a holder of a share or as the owner. */

import type {BudgetRecords} from './budget-record.js';
import {createRefusal} from './budget-refusal.js';
import {DemandMeter} from './demand-meter.js';
import {OwnerClient} from './owner-client.js';
import {OwnerRole} from './owner-role.js';
import {Ownership} from './ownership.js';
import type {RetirementTimers} from './retirement-timers.js';
import {RemoteSpender} from './remote-spender.js';
import {isEmptyShare} from './share.js';
import type {SpendGuard} from './spend-guard.js';
import {RoleTransition} from './role-transition.js';
import {SyncSchedule} from './sync-schedule.js';
import {TeamHolder, type SyncContext, type SyncPurpose} from './team-holder.js';
import type {TeamOwner} from './team-owner.js';
import {TokenAcquirer} from './token-acquirer.js';
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
/** Maximum attempts of a leaving node to return its share. */
const MAX_RELEASE_ATTEMPTS = 5;

const ADMITTED: Admission = {kind: 'admitted'};
const NO_LIMITS: BudgetLimits = {rate: 0, burst: 0};

/** Dependencies of a team's budget. */
export interface TeamBudgetDeps extends BudgetDeps {
  readonly team: string;
  readonly guard: SpendGuard;
  readonly records: BudgetRecords;
  readonly retirements: RetirementTimers;
  /** The last epoch that this process opened as the owner, by team. */
  readonly openedEpochs: Map<string, number>;
  /** Returns the next sequence number; they rise for the process's lifetime. */
  readonly nextSeq: () => number;
}

/** Admits one team's statements at this node within the team's rate. */
export class TeamBudget {
  readonly #deps: TeamBudgetDeps;
  readonly #meter: DemandMeter;
  readonly #ownership: Ownership;
  readonly #holder: TeamHolder;
  readonly #schedule: SyncSchedule;
  readonly #role: OwnerRole;
  readonly #roleTransition: RoleTransition;
  readonly #ownerClient: OwnerClient;
  readonly #tokenAcquirer: TokenAcquirer;
  #activeCalls = 0;
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
    this.#roleTransition = new RoleTransition({
      team,
      self,
      guard,
      peers,
      ownership: this.#ownership,
      holder: this.#holder,
      role: this.#role,
    });
    this.#ownerClient = new OwnerClient({
      self,
      clock,
      peers,
      ownership: this.#ownership,
      holder: this.#holder,
      schedule: this.#schedule,
      context: purpose => this.#syncContext(purpose),
      roleTransition: this.#roleTransition,
    });
    this.#tokenAcquirer = new TokenAcquirer({
      clock,
      holder: this.#holder,
      schedule: this.#schedule,
      ownerClient: this.#ownerClient,
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

  /** True if this object has no state that must be kept. */
  get isIdle(): boolean {
    const isBusy = this.#activeCalls > 0 || this.#ownerClient.isSyncing;
    if (isBusy || this.#owner !== undefined) return false;
    if (!isEmptyShare(this.#holder.share) || this.#isStandby) return false;
    return this.#schedule.isIdle(this.#meter);
  }

  /**
   * The other instances whose end affects this budget: its owner, the grantor of
   * this node's share and, while this node owns it, holders and predecessors.
   */
  get dependencies(): readonly string[] {
    const {instance: self} = this.#deps.self;
    return [
      ...this.#role.dependencies,
      this.#holder.grantor,
      this.#ownership.owner,
    ].filter(id => id !== undefined && id !== self) as string[];
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

  /** Decides on one statement; see `BudgetService.admit`. */
  async admit(deadlineMs: number): Promise<Admission> {
    this.#meter.record();
    if (this.#trySpend()) return ADMITTED;
    if (!this.#mayAcquire()) return this.#createRefusal();
    const trySpend = () => this.#trySpend();
    const isObtained = await this.#tokenAcquirer.acquire(deadlineMs, trySpend);
    this.#tokenAcquirer.returnLoanedBurst();
    return isObtained && this.#mayAcquire() ? ADMITTED : this.#createRefusal();
  }

  /** Serves one message of the peer method `budget`. */
  async handle(message: BudgetMessage): Promise<BudgetReply> {
    this.#activeCalls += 1;
    try {
      return await this.#answer(message);
    } finally {
      this.#activeCalls -= 1;
    }
  }

  async #answer(message: BudgetMessage): Promise<BudgetReply> {
    switch (message.kind) {
      case 'sync':
        return this.#serve(message);
      case 'recall':
        return this.#answerRecall(message);
      case 'moved':
        this.#roleTransition.observeOwner(message.epoch, message.owner);
        return {kind: 'accepted'};
      case 'spend':
        return this.#spendForRemote(message.count);
    }
  }

  /** Runs periodic work: the owner's housekeeping, or a sync that is due. */
  async tick(): Promise<void> {
    this.#holder.refresh();
    if (this.#owner !== undefined) return this.#role.tick();
    const purpose = this.#schedule.duePurpose(this.#meter, this.#holder, {
      isShareOutdated: this.#holder.heldEpoch < this.#ownership.epoch,
      hasNoValidOwner: !this.#ownership.hasValidOwner,
      isStandby: this.#isStandby,
    });
    if (purpose !== undefined)
      await this.#ownerClient.sync(purpose, REPORT_TIMEOUT_MS);
  }

  /** Takes the ownership if it is vacant; true if the budget has an owner. */
  async ensureOwner(): Promise<boolean> {
    if (this.#ownership.hasValidOwner) return true;
    // Counts as active, so that this object is not dropped during store calls.
    this.#activeCalls += 1;
    try {
      await this.#roleTransition.becomeOwner();
    } finally {
      this.#activeCalls -= 1;
    }
    return this.#ownership.hasValidOwner;
  }

  /** Sets whether this node keeps a reserve of the budget without demand. */
  setStandby(isStandby: boolean): void {
    this.#isStandby = isStandby;
  }

  /** Transfers the ownership if this node has it, and returns its share. */
  async leave(): Promise<void> {
    this.#isStandby = false;
    await this.#roleTransition.transferOwnership();
    // The first sync may only have the next owner adopt the share.
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt++) {
      if (this.#owner !== undefined || isEmptyShare(this.#holder.share)) return;
      await this.#ownerClient.sync('release', REPORT_TIMEOUT_MS);
    }
  }

  get #owner(): TeamOwner | undefined {
    return this.#role.owner;
  }

  #limits(): BudgetLimits {
    return this.#deps.config.limits(this.#deps.team) ?? NO_LIMITS;
  }

  #mayAcquire(): boolean {
    return this.#deps.guard.maySpend() && this.#limits().burst >= 1;
  }

  #trySpend(): boolean {
    return this.#owner?.trySpend() ?? this.#holder.trySpend();
  }

  #createRefusal(): Admission {
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
    const isOutdated = sync.knownEpoch > this.#ownership.epoch;
    if (isOutdated) await this.#ownership.reload();
    this.#roleTransition.stepDownIfSuperseded();
    if (this.#owner === undefined) await this.#roleTransition.becomeOwner();
    // A sync meant for the owner of a later epoch must not change this ledger.
    const isUpToDate = (this.#owner?.epoch ?? 0) >= sync.knownEpoch;
    if (this.#owner !== undefined && isUpToDate) return this.#owner.serve(sync);
    const {epoch, owner} = this.#ownership;
    return {kind: 'notOwner', epoch, owner};
  }

  #spendForRemote(count: number): BudgetReply {
    const {epoch, owner} = this.#ownership;
    if (this.#owner !== undefined) return {kind: 'notOwner', epoch, owner};
    if (this.#roleTransition.isOpeningLedger) return {kind: 'busy'};
    for (let n = 0; n < count; n++) this.#meter.record();
    return {kind: 'spent', count: this.#holder.spendForRemote(count)};
  }

  #answerRecall(recall: BudgetMessage & {kind: 'recall'}): BudgetReply {
    this.#roleTransition.observeOwner(recall.epoch, recall.owner);
    const isCurrent = recall.epoch === this.#ownership.epoch;
    const canAnswer = isCurrent && this.#owner === undefined;
    if (!canAnswer || this.#holder.isAwaitingGrant) return {kind: 'busy'};
    if (!this.#deps.guard.maySpend()) return {kind: 'busy'};
    const sync = this.#holder.answerRecall(recall, this.#syncContext());
    return {kind: 'returned', sync};
  }

  #syncContext(purpose: SyncPurpose = 'report'): SyncContext {
    return {
      team: this.#deps.team,
      holder: this.#deps.self.instance,
      seq: this.#deps.nextSeq(),
      knownEpoch: this.#ownership.epoch,
      demand: purpose === 'release' ? 0 : this.#meter.perSecond,
      waiting: this.#tokenAcquirer.waiting,
      isStandby: this.#isStandby && purpose !== 'release',
    };
  }
}
