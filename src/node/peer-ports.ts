/** The decisions' ports onto other nodes. */
import type {
  BudgetMessage,
  BudgetPeers,
  BudgetReply,
  NodeRef,
} from '../admission/types.js';
import type {ReachabilityPort} from '../groups/failover-need.js';
import {toPeerAddress} from '../membership/member-entry.js';
import {HOME_METHODS} from '../home/messages.js';
import type {Member} from '../membership/member.js';
import type {Members} from '../membership/members.js';
import type {PeerCaller} from '../peers/types.js';

/** The peer method of the budgets. */
export const BUDGET_METHOD = 'budget';
const EVIDENCE_TIMEOUT_MS = 250;
const INSTANCE_SEPARATOR = '/';
/** Other nodes asked whether they reach a database. */
const WITNESSES = 2;

/**
 * Calls the budgets of other nodes. A budget's instance is named by its VM and
 * the process on it, so that it can be found and its end be recognised.
 */
export class MemberBudgetPeers implements BudgetPeers {
  readonly #members: Members;
  readonly #caller: PeerCaller;

  constructor(members: Members, caller: PeerCaller) {
    this.#members = members;
    this.#caller = caller;
  }

  async call(
    instance: string,
    message: BudgetMessage,
    timeoutMs: number,
  ): Promise<BudgetReply> {
    const member = this.#members.find(vmOf(instance));
    if (member === undefined) {
      throw new Error(`no VM runs instance ${instance}`);
    }
    const options = {timeoutMs};
    const address = toPeerAddress(member);
    const reply = this.#caller.call(address, BUDGET_METHOD, message, options);
    return (await reply) as BudgetReply;
  }

  live(): readonly NodeRef[] {
    return this.#members.live().flatMap(member => this.#refsOf(member));
  }

  isGone(instance: string): boolean {
    const member = this.#members.find(vmOf(instance));
    if (member === undefined || member.status === 'dead') return true;
    const known = this.#processOn(member.id);
    if (known === '') return false;
    const running = budgetInstance(member.id, known);
    return instance !== running && !instance.startsWith(`${running}.`);
  }

  homeOrder(key: string): readonly NodeRef[] {
    return this.#members.homeOrder(key).flatMap(one => this.#refsOf(one));
  }

  /** Nothing, as long as the process on the VM is not known. */
  #refsOf({id}: Member): readonly NodeRef[] {
    const instance = this.#processOn(id);
    if (instance === '') return [];
    return [{vm: id, instance: budgetInstance(id, instance)}];
  }

  #processOn(vm: string): string {
    return this.#members.identityOf(vm)?.instance ?? '';
  }
}

/** Names the budgets of one process on one VM. */
export function budgetInstance(vm: string, instance: string): string {
  return `${vm}${INSTANCE_SEPARATOR}${instance}`;
}

function vmOf(instance: string): string {
  return instance.slice(0, instance.lastIndexOf(INSTANCE_SEPARATOR));
}

/** Asks nodes of other data centres what they reach. */
export class PeerEvidence implements ReachabilityPort {
  readonly #members: Members;
  readonly #caller: PeerCaller;
  readonly #dataCentre: string;

  constructor(members: Members, caller: PeerCaller, dataCentre: string) {
    this.#members = members;
    this.#caller = caller;
    this.#dataCentre = dataCentre;
  }

  async canReach(
    group: string,
    databaseId: string,
  ): Promise<readonly boolean[]> {
    const answers = await Promise.allSettled(
      this.#witnesses(group).map(member =>
        this.#caller.call(
          toPeerAddress(member),
          HOME_METHODS.reach,
          {group, databaseId},
          {timeoutMs: EVIDENCE_TIMEOUT_MS},
        ),
      ),
    );
    return answers.flatMap(answer =>
      answer.status === 'fulfilled' ? [answer.value === true] : [],
    );
  }

  /** Other nodes, those of other data centres first. */
  #witnesses(group: string): readonly Member[] {
    const others = this.#members
      .homeOrder(`evidence ${group}`)
      .filter(({id}) => id !== this.#members.selfId);
    const isNear = ({dataCentre}: Member) => dataCentre === this.#dataCentre;
    const far = others.filter(member => !isNear(member));
    return [...far, ...others.filter(isNear)].slice(0, WITNESSES);
  }
}
