/** `zinnia group status`: prints each group's state as its home reports it. */
import type {CommandModule} from 'yargs';
import type {Store} from '../infra/store.js';
import type {VmRecord} from '../infra/vm-list.js';
import {formatPosition} from '../session/position.js';
import {CommandError, runCommand, type CommandContext} from './context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {
  HttpGroupApi,
  type GroupApi,
  type GroupsResponse,
  type ReportedView,
} from './group-api.js';
import {readVmList} from './platform-vms.js';
import {withStoreOption, type StoreArgs} from './store-option.js';

interface GroupStatusArgs extends StoreArgs {
  readonly group: string | undefined;
}

/** A VM and its response about the groups. */
export interface VmGroups {
  readonly vm: VmRecord;
  /** Undefined if the VM did not answer. */
  readonly answer: GroupsResponse | undefined;
}

/** State of a group, merged from the responses of all VMs. */
export interface GroupStatus {
  readonly group: string;
  /** The VM that most VMs report as the group's home. */
  readonly home: string | undefined;
  /** The view of the home, or else of any VM that has one. */
  readonly view: ReportedView | undefined;
  /** The VM that reported the view. */
  readonly seenBy: string | undefined;
}

/** Requests the groups from every listed VM. */
export async function readAllGroups(
  store: Store,
  api: GroupApi = new HttpGroupApi(),
): Promise<readonly VmGroups[]> {
  const vms = await readVmList(store);
  return Promise.all(
    vms.map(async vm => ({vm, answer: await api.readGroups(vm)})),
  );
}

/**
 * Merges the responses: picks the home that most VMs report, and its view.
 *
 * @example
 * const statuses = mergeGroupStatuses(await readAllGroups(store));
 */
export function mergeGroupStatuses(
  answers: readonly VmGroups[],
): readonly GroupStatus[] {
  const names = answers.flatMap(({answer}) => [
    ...Object.keys(answer?.homes ?? {}),
    ...(answer?.views ?? []).map(({name}) => name),
  ]);
  return [...new Set(names)].toSorted().map(group => {
    const home = mostReportedHome(group, answers);
    const viewHolders = answers.flatMap(({vm, answer}) => {
      const view = answer?.views.find(({name}) => name === group);
      return view === undefined ? [] : [{id: vm.id, view}];
    });
    const holder = viewHolders.find(({id}) => id === home) ?? viewHolders[0];
    return {group, home, view: holder?.view, seenBy: holder?.id};
  });
}

/** Formats a group as a line of key=value pairs, and one per database. */
export function formatGroupStatus(status: GroupStatus): readonly string[] {
  const {group, home, view, seenBy} = status;
  const homeText = `group=${group} home=${home ?? 'unknown'}`;
  if (view === undefined) return [`${homeText} view=none`];
  const seenByText = seenBy === home ? '' : ` seenBy=${seenBy}`;
  const head = `${homeText}${seenByText} term=${view.term} primary=${view.primaryId ?? 'none'}`;
  return [head, ...view.databases.map(formatDatabase)];
}

/** The yargs module of `zinnia group status`. */
export const groupStatusCommand: CommandModule<object, GroupStatusArgs> = {
  command: 'status [group]',
  describe: 'Print the primary, the term and the databases of each group',
  builder: yargs =>
    withStoreOption(yargs).positional('group', {
      type: 'string',
      describe: 'only this group',
    }),
  handler: args => runCommand(args, ctx => run(ctx, args)),
};

async function run(
  {store, output}: CommandContext,
  {group}: GroupStatusArgs,
): Promise<ExitCode> {
  const answers = await readAllGroups(store);
  const silent = answers.filter(({answer}) => answer === undefined);
  if (silent.length > 0) {
    output.printDiagnostic(
      `no answer from ${silent.map(({vm}) => vm.id).join(', ')}`,
    );
  }
  if (silent.length === answers.length) {
    throw new CommandError(
      'no listed VM answers, so nothing is known of the groups; see zinnia vm list',
    );
  }
  const statuses = mergeGroupStatuses(answers).filter(
    status => group === undefined || status.group === group,
  );
  if (group !== undefined && statuses.length === 0) {
    throw new CommandError(
      `no VM knows a group ${group}; run zinnia group status to see them`,
    );
  }
  for (const line of statuses.flatMap(formatGroupStatus)) output.print(line);
  return EXIT.ok;
}

function mostReportedHome(
  group: string,
  answers: readonly VmGroups[],
): string | undefined {
  const votes = new Map<string, number>();
  for (const {answer} of answers) {
    const home = answer?.homes[group];
    if (typeof home === 'string') votes.set(home, (votes.get(home) ?? 0) + 1);
  }
  return [...votes].toSorted(
    ([a, m], [b, n]) => n - m || (a < b ? -1 : 1),
  )[0]?.[0];
}

function formatDatabase(database: ReportedView['databases'][number]): string {
  const {spec, status, reachable, unreachableMs} = database;
  const base = `  database=${spec.id} dataCentre=${spec.dataCentre} provider=${spec.provider}`;
  const reachability = reachable
    ? 'reachable=true'
    : `reachable=false unreachableMs=${formatMs(unreachableMs)}`;
  if (status === undefined) return `${base} role=unknown ${reachability}`;
  return (
    `${base} role=${status.role} term=${status.term} fencedTerm=${status.fencedTerm} ${reachability} ` +
    `received=${formatPosition(status.received)} applied=${formatPosition(status.applied)} ` +
    `silentMs=${formatMs(status.upstreamSilentMs)}`
  );
}

function formatMs(ms: number | null): string {
  return ms === null ? 'unknown' : String(Math.round(ms));
}
