/** One team's budget as this node sees it: as a holder, and maybe the owner. */

import type {BudgetRecords} from './budget-record.js';
import {DemandMeter} from './demand-meter.js';
import {OwnerLink} from './owner-link.js';
import {OwnerRole} from './owner-role.js';
import {Ownership} from './ownership.js';
import type {RetirementTimers} from './retirement-timers.js';
import {isNoShare} from './share.js';
import type {SpendGuard} from './spend-guard.js';
import {SyncSchedule} from './sync-schedule.js';
import {TeamHolder, type SyncContext, type SyncPurpose} from './team-holder.js';
import type {TeamOwner} from './team-owner.js';
import type {
  Admission,
  BudgetDeps,
  BudgetLimits,
  BudgetMessage,
  BudgetReply,
  BudgetStatus,
  SyncMessage,
} from './types.js';

/**
 * How long a statement waits for the owner's answer. Silence does not say that
 * the team is over its rate; an owner without tokens says so at once.
 */
const ASK_TIMEOUT_MS = 250;
const REPORT_TIMEOUT_MS = 250;
/** How often a leaving node tries to hand its share back. */
const MAX_LEAVE_ATTEMPTS = 5;
const MIN_RETRY_MS = 1;
const MAX_RETRY_MS = 60_000;
/** When to come back to a node that may not spend. */
const NO_STANDING_RETRY_MS = 1_000;

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
  #calls = 0;
  readonly #link: OwnerLink;
  #waiting = 0;

  constructor(deps: TeamBudgetDeps) {
    const {team, clock, guard, peers, records} = deps;
    const self = deps.self.instance;
    this.#deps = deps;
    this.#meter = new DemandMeter(clock);
    this.#ownership = new Ownership({team, self, guard, peers, records});
    this.#holder = new TeamHolder(clock, guard, () => this.#limits());
    this.#schedule = new SyncSchedule(clock);
    this.#link = new OwnerLink({
      self,
      clock,
      peers,
      ownership: this.#ownership,
      holder: this.#holder,
      schedule: this.#schedule,
      context: purpose => this.#context(purpose),
      becomeOwner: () => this.#becomeOwner(),
      learn: (epoch, owner) => this.#learn(epoch, owner),
    });
    this.#role = new OwnerRole({
      ...deps,
      self,
      ownership: this.#ownership,
      limits: () => this.#limits(),
      ownDemand: () => this.#meter.perSecond,
    });
  }

  /** Whether nothing would be lost by forgetting this budget. */
  get isIdle(): boolean {
    const isBusy = this.#calls > 0 || this.#link.isBusy;
    if (isBusy || this.#owner !== undefined) return false;
    if (!isNoShare(this.#holder.share)) return false;
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
    const canAsk = this.#deps.guard.maySpend() && this.#limits().burst >= 1;
    if (canAsk && this.#schedule.mayAsk()) await this.#replenish(deadlineMs);
    const isAdmitted = this.#trySpend();
    this.#returnExcess();
    return isAdmitted ? ADMITTED : this.#refusal();
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
        this.#learn(message.epoch, message.owner);
        return {kind: 'accepted'};
    }
  }

  /** Does what is due: messages to the owner, and the owner's housekeeping. */
  async tick(): Promise<void> {
    this.#holder.refresh();
    if (this.#owner !== undefined) return this.#role.tick();
    const purpose = this.#schedule.due(this.#meter, this.#holder, {
      isOutdated: this.#holder.heldEpoch < this.#ownership.epoch,
      isOrphan: !this.#ownership.isSettled,
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
      await this.#becomeOwner();
    } finally {
      this.#calls -= 1;
    }
    return this.#ownership.isSettled;
  }

  /** Hands everything back, and the ownership on. */
  async leave(): Promise<void> {
    const owner = this.#owner;
    if (owner !== undefined) await this.#handOn(owner);
    // The first message may only move the share to the next owner.
    for (let attempt = 0; attempt < MAX_LEAVE_ATTEMPTS; attempt++) {
      if (this.#owner !== undefined || isNoShare(this.#holder.share)) return;
      await this.#link.sync('release', REPORT_TIMEOUT_MS);
    }
  }

  /** Gives back at once what was lent for the statements just admitted. */
  #returnExcess(): void {
    const {share, tokens, hasExcess} = this.#holder;
    const isLent = share.rate === 0 && share.burst > 0 && hasExcess;
    if (!isLent || tokens >= 1 || this.#waiting > 0) return;
    void this.#link.sync('report', REPORT_TIMEOUT_MS);
  }

  get #owner(): TeamOwner | undefined {
    return this.#role.owner;
  }

  #limits(): BudgetLimits {
    return this.#deps.config.limits(this.#deps.team) ?? NO_LIMITS;
  }

  #trySpend(): boolean {
    return this.#owner?.trySpend() ?? this.#holder.trySpend();
  }

  #refusal(): Admission {
    if (!this.#deps.guard.maySpend()) {
      return refusal('unavailable', NO_STANDING_RETRY_MS);
    }
    if (this.#limits().burst < 1) {
      return refusal('overRate', MAX_RETRY_MS);
    }
    const dueMs = this.#msUntilToken();
    const boundedMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, dueMs));
    const isKnown = this.#owner !== undefined || this.#schedule.isAnswered;
    return refusal(isKnown ? 'overRate' : 'unavailable', Math.ceil(boundedMs));
  }

  #msUntilToken(): number {
    const owner = this.#owner;
    if (owner === undefined) {
      const ownerMs = this.#schedule.msUntilOwnerHasToken();
      return Math.min(this.#holder.msUntilToken(), ownerMs);
    }
    const poolMs = owner.msUntilToken();
    return poolMs === Infinity ? 1_000 / this.#limits().rate : poolMs;
  }

  /** Waits for one ask, together with all statements that wait for it. */
  async #replenish(deadlineMs: number): Promise<void> {
    const {clock} = this.#deps;
    const waitMs = Math.min(ASK_TIMEOUT_MS, deadlineMs - clock.now());
    if (waitMs <= 0) return;
    this.#waiting += 1;
    const done = new AbortController();
    const asked = this.#ask(ASK_TIMEOUT_MS).finally(() => done.abort());
    await Promise.race([asked, clock.sleep(waitMs, done.signal)]);
    this.#waiting -= 1;
  }

  async #ask(timeoutMs: number): Promise<void> {
    if (this.#owner !== undefined) return this.#owner.recallTokens(1);
    // The message under way may not count this statement.
    await this.#link.settled();
    const isServed = this.#holder.tokens >= this.#waiting;
    if (isServed || !this.#schedule.mayAsk()) return;
    await this.#link.sync('ask', timeoutMs);
  }

  async #serve(sync: SyncMessage): Promise<BudgetReply> {
    if (this.#deps.guard.isCutOff) return {kind: 'busy'};
    const outdated = sync.knownEpoch > this.#ownership.epoch;
    if (outdated) await this.#ownership.reload();
    this.#stepDownIfSucceeded();
    if (this.#owner === undefined) await this.#becomeOwner();
    // What a holder tells a later owner is not counted by an earlier one.
    const isUpToDate = (this.#owner?.epoch ?? 0) >= sync.knownEpoch;
    if (this.#owner !== undefined && isUpToDate) return this.#owner.serve(sync);
    const {epoch, owner} = this.#ownership;
    return {kind: 'notOwner', epoch, owner};
  }

  #giveBack(recall: BudgetMessage & {kind: 'recall'}): BudgetReply {
    this.#learn(recall.epoch, recall.owner);
    const isCurrent = recall.epoch === this.#ownership.epoch;
    const canAnswer = isCurrent && this.#owner === undefined;
    if (!canAnswer || this.#holder.isAwaiting) return {kind: 'busy'};
    if (!this.#deps.guard.maySpend()) return {kind: 'busy'};
    const sync = this.#holder.giveBack(recall, this.#context());
    return {kind: 'returned', sync};
  }

  #learn(epoch: number, owner: string | undefined): void {
    this.#ownership.learn(epoch, owner);
    this.#stepDownIfSucceeded();
  }

  /** Takes the ownership if it is vacant or recorded as this node's. */
  async #becomeOwner(): Promise<boolean> {
    const {guard, self} = this.#deps;
    if (!guard.maySpend()) return false;
    const isVacant = !this.#ownership.isSettled;
    const isOurs = this.#ownership.owner === self.instance;
    if (!isVacant && !isOurs) return false;
    if (!(await this.#ownership.claim())) return false;
    const {record} = this.#ownership;
    if (record === undefined) return false;
    return this.#role.open(record, () => this.#holder.clear());
  }

  /** Goes on as a holder of the pool once another node owns the budget. */
  #stepDownIfSucceeded(): void {
    const {epoch} = this.#role;
    if (this.#owner === undefined || this.#ownership.epoch <= epoch) return;
    const {share, tokens} = this.#role.close();
    this.#holder.hold(share, tokens, epoch, this.#deps.self.instance);
  }

  async #handOn(owner: TeamOwner): Promise<void> {
    const {peers, self, team} = this.#deps;
    const next = this.#ownership.successor();
    if (next === undefined || !(await this.#ownership.handOn(next))) return;
    const {holders} = owner;
    this.#stepDownIfSucceeded();
    const {epoch} = this.#ownership;
    const moved = {kind: 'moved', team, epoch, owner: next} as const;
    await Promise.allSettled(
      holders
        .filter(holder => holder !== self.instance)
        .map(holder => peers.call(holder, moved, REPORT_TIMEOUT_MS)),
    );
  }

  #context(purpose: SyncPurpose = 'report'): SyncContext {
    return {
      team: this.#deps.team,
      holder: this.#deps.self.instance,
      seq: this.#deps.nextSeq(),
      knownEpoch: this.#ownership.epoch,
      demand: purpose === 'release' ? 0 : this.#meter.perSecond,
      waiting: this.#waiting,
    };
  }
}

function refusal(
  reason: (Admission & {kind: 'refused'})['reason'],
  retryAfterMs: number,
): Admission {
  return {kind: 'refused', reason, retryAfterMs};
}
