/** Adapters by which budgets and failover call other nodes. */
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

/** Peer method of the budgets. */
export const BUDGET_METHOD = 'budget';
const REACH_TIMEOUT_MS = 250;
const INSTANCE_SEPARATOR = '/';
/** Number of nodes asked whether they can reach a database. */
const MAX_REACHABILITY_PEERS = 2;

/**
 * Calls the budgets of other nodes. A budget instance is named by its VM and
 * the process on it, so that its node can be found and a restart detected.
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
    return this.#members.live().flatMap(member => this.#budgetRefs(member));
  }

  isGone(instance: string): boolean {
    const member = this.#members.find(vmOf(instance));
    if (member === undefined || member.status === 'dead') return true;
    const known = this.#processInstanceOn(member.id);
    if (known === '') return false;
    const running = budgetInstance(member.id, known);
    return instance !== running && !instance.startsWith(`${running}.`);
  }

  homeOrder(key: string): readonly NodeRef[] {
    return this.#members
      .homeOrder(key)
      .flatMap(member => this.#budgetRefs(member));
  }

  /** Returns no reference until the VM has reported its process. */
  #budgetRefs({id}: Member): readonly NodeRef[] {
    const instance = this.#processInstanceOn(id);
    if (instance === '') return [];
    return [{vm: id, instance: budgetInstance(id, instance)}];
  }

  #processInstanceOn(vm: string): string {
    return this.#members.identityOf(vm)?.instance ?? '';
  }
}

/** Returns the budget instance of a process: VM id and process instance. */
export function budgetInstance(vm: string, instance: string): string {
  return `${vm}${INSTANCE_SEPARATOR}${instance}`;
}

function vmOf(instance: string): string {
  return instance.slice(0, instance.lastIndexOf(INSTANCE_SEPARATOR));
}

/** Queries other nodes about whether they can reach a database. */
export class PeerReachability implements ReachabilityPort {
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
      this.#choosePeers(group).map(member =>
        this.#caller.call(
          toPeerAddress(member),
          HOME_METHODS.reach,
          {group, databaseId},
          {timeoutMs: REACH_TIMEOUT_MS},
        ),
      ),
    );
    return answers.flatMap(answer =>
      answer.status === 'fulfilled' ? [answer.value === true] : [],
    );
  }

  /** Chooses nodes to query, preferring those in other data centres. */
  #choosePeers(group: string): readonly Member[] {
    const others = this.#members
      .homeOrder(`evidence ${group}`)
      .filter(({id}) => id !== this.#members.selfId);
    const isLocal = ({dataCentre}: Member) => dataCentre === this.#dataCentre;
    const remote = others.filter(member => !isLocal(member));
    return [...remote, ...others.filter(isLocal)].slice(
      0,
      MAX_REACHABILITY_PEERS,
    );
  }
}
