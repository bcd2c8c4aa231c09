/** Creates the escrow budgets of a node from its shared components. */
import {budgetKey} from '../admission/budget-record.js';
import type {BudgetDeps} from '../admission/types.js';
import {ConfigEditor} from '../rollout/editor.js';
import {teamRow} from '../rollout/table.js';
import {retireInstance} from './instance-retirement.js';
import type {NodeContext} from './node-context.js';
import {budgetInstance, MemberBudgetPeers} from './peer-ports.js';
import {RenewableBudgets} from './renewable-budgets.js';

/** Creates this node's side of the budgets of all teams. */
export function createBudgets(ctx: NodeContext): RenewableBudgets {
  const {vm} = ctx.settings;
  const {members, standing} = ctx.coordination;
  const editor = new ConfigEditor({
    store: ctx.store,
    clock: ctx.clock,
    random: ctx.random,
  });
  const deps: BudgetDeps = {
    self: {vm, instance: budgetInstance(vm, ctx.instance)},
    clock: ctx.clock,
    random: ctx.random,
    store: ctx.store,
    peers: new MemberBudgetPeers(members, ctx.peers),
    standing: {standing: () => standing.evaluate()},
    config: {
      limits: team => teamRow(ctx.config.document.table, team),
      retired: () => ctx.config.retired,
      retire: instance => retireInstance(editor, vm, instance),
    },
    options: {standingLimitMs: ctx.settings.standingLimitMs},
  };
  return new RenewableBudgets({
    deps,
    log: ctx.log,
    teamRanks: count => {
      const teams = [...ctx.config.document.table.teams.keys()];
      const rankOf = (team: string) =>
        members
          .homeOrder(budgetKey(team))
          .slice(0, count)
          .findIndex(({id}) => id === vm);
      return new Map(
        teams
          .map(team => [team, rankOf(team)] as const)
          .filter(([, rank]) => rank >= 0),
      );
    },
  });
}
