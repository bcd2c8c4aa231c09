/** `zinnia group switch`: requests a planned switch of a group's primary. */
import type {CommandModule} from 'yargs';
import type {VmRecord} from '../infra/vm-list.js';
import {CommandError, runCommand, type CommandContext} from './context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {
  HttpGroupApi,
  type GroupApi,
  type ReportedSwitch,
  type SwitchResponse,
} from './group-api.js';
import {readAllGroups, mergeGroupStatuses} from './group-status.js';
import {withStoreOption, type StoreArgs} from './store-option.js';

interface GroupSwitchArgs extends StoreArgs {
  readonly group: string;
  readonly database: string;
}

/**
 * Requests the switch from the group's home if it answers, or else from another
 * VM, which forwards the request. Never retries: after a lost response the switch
 * may have happened.
 *
 * @example
 * const answer = await switchGroup(ctx, 'claims', 'claims-2');
 */
export async function switchGroup(
  {store}: Pick<CommandContext, 'store'>,
  group: string,
  databaseId: string,
  api: GroupApi = new HttpGroupApi(),
): Promise<SwitchResponse> {
  const answers = await readAllGroups(store, api);
  const home = mergeGroupStatuses(answers).find(s => s.group === group)?.home;
  const answering = answers
    .filter(({answer}) => answer !== undefined)
    .map(({vm}) => vm);
  const vm = chooseVm(answering, home);
  if (vm === undefined) {
    throw new CommandError(
      'no listed VM answers, so nothing was ordered; see zinnia vm list',
    );
  }
  return api.switchPrimary(vm, group, databaseId);
}

/** Describes the outcome of a switch. */
export function describeSwitch(
  group: string,
  databaseId: string,
  result: ReportedSwitch,
): string {
  switch (result.kind) {
    case 'switched':
      return `${databaseId} is primary of ${group} from term ${result.term} on`;
    case 'notStarted':
      return `nothing was changed: ${result.reason}`;
    case 'fellBack':
      return `the switch to ${databaseId} broke off: ${result.reason}; ${describeFailover(result.failover)}`;
  }
}

/** The yargs module of `zinnia group switch`. */
export const groupSwitchCommand: CommandModule<object, GroupSwitchArgs> = {
  command: 'switch <group> <database>',
  describe: 'Make a database the primary of its group',
  builder: yargs =>
    withStoreOption(yargs)
      .positional('group', {type: 'string', demandOption: true})
      .positional('database', {type: 'string', demandOption: true}),
  handler: args => runCommand(args, ctx => run(ctx, args)),
};

async function run(
  ctx: CommandContext,
  {group, database}: GroupSwitchArgs,
): Promise<ExitCode> {
  const answer = await switchGroup(ctx, group, database);
  if (answer.kind === 'rejected') throw new CommandError(answer.reason);
  if (answer.kind === 'unknown') {
    ctx.output.printDiagnostic(
      `error: it is not known whether the switch took place (${answer.reason}); ` +
        `look at zinnia group status ${group} before you repeat it`,
    );
    return EXIT.unreachable;
  }
  ctx.output.print(describeSwitch(group, database, answer.result));
  return answer.result.kind === 'switched' ? EXIT.ok : EXIT.refused;
}

function chooseVm(
  answering: readonly VmRecord[],
  home: string | undefined,
): VmRecord | undefined {
  const homeVm = answering.find(({id}) => id === home);
  const live = answering.find(({state}) => state === 'live');
  return homeVm ?? live ?? answering[0];
}

function describeFailover(
  failover: Extract<ReportedSwitch, {kind: 'fellBack'}>['failover'],
): string {
  if (failover.kind === 'promoted') {
    return `a failover made ${failover.databaseId} primary from term ${failover.term} on`;
  }
  return `the failover after it ended at its step "${failover.step}": ${failover.reason}; the group's home goes on watching`;
}
