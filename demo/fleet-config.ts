/** Writes the configuration of a fleet through the operators' config editor. */
import {grantKey} from '../src/cli/key-grant.js';
import {SystemClock} from '../src/infra/clock.js';
import type {ConfigEditor} from '../src/rollout/editor.js';
import type {GroupRow, TableRow, TeamRow} from '../src/rollout/table.js';
import type {Profile} from './profiles.js';

/** Options of the configuration table; omitted ones take the defaults below. */
export interface TableOptions {
  readonly profile: Profile;
  readonly ack?: GroupRow['ack'];
  readonly staleMs?: number;
  /** Overrides of the profile's team rows, matched by name. */
  readonly teams?: readonly Partial<TeamRow>[];
}

/** Writes the group and team rows and grants each team an API key; returns the keys by team. */
export async function writeConfiguration(
  editor: ConfigEditor,
  options: TableOptions,
): Promise<ReadonlyMap<string, string>> {
  const edits = createTableRows(options).map(
    row => ({kind: 'put', row}) as const,
  );
  await editor.edit({kind: 'rows', edits}, {id: 'demo-table', by: 'demo'});
  const clock = new SystemClock();
  const keys = new Map<string, string>();
  for (const {name} of options.profile.teams) {
    const identity = {id: `demo-key-${name}`, by: 'demo'};
    const {key} = await grantKey({editor, clock}, name, identity);
    keys.set(name, key.text);
  }
  return keys;
}

function createTableRows({
  profile,
  ack = 'replica',
  staleMs = 1_000,
  teams = [],
}: TableOptions): readonly TableRow[] {
  const groups = profile.groups.map((name): GroupRow => ({
    kind: 'group',
    name,
    oldWeight: 50,
    newWeight: 50,
    staleMs,
    ack,
    urgent: 'writes',
    open: false,
  }));
  const rows = profile.teams.map(({name, rate, burst}): TeamRow => ({
    kind: 'team',
    name,
    rate,
    burst,
    priority: 'urgent',
    ...teams.find(team => team.name === name),
  }));
  return [...groups, ...rows];
}
