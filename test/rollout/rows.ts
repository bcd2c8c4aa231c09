/** Builders and fast-check arbitraries of table rows. */
import fc from 'fast-check';
import {
  createTable,
  type GroupRow,
  type Table,
  type TableRow,
  type TeamRow,
} from '../../src/rollout/table.js';

/** Creates a team's row with default values. */
export function createTeamRow(
  name: string,
  changes: Partial<TeamRow> = {},
): TeamRow {
  const defaults = {rate: 50, burst: 100, priority: 'urgent'} as const;
  return {kind: 'team', name, ...defaults, ...changes};
}

/** Creates a group's row with default values. */
export function createGroupRow(
  name: string,
  changes: Partial<GroupRow> = {},
): GroupRow {
  return {
    kind: 'group',
    name,
    oldWeight: 100,
    newWeight: 0,
    staleMs: 500,
    ack: 'replica',
    urgent: 'writes',
    open: false,
    ...changes,
  };
}

/** Creates a table of the given rows. */
export function createTestTable(...rows: readonly TableRow[]): Table {
  return createTable(rows.map(row => ({cells: {...row}})));
}

const nameArbitrary = fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9_.-]{0,20}$/);
const weightArbitrary = fc.integer({min: 0, max: 100});
const staleArbitrary = fc.integer({min: 0, max: 86_400_000});

const teamArbitrary: fc.Arbitrary<TeamRow> = fc.record(
  {
    kind: fc.constant('team' as const),
    name: nameArbitrary,
    rate: fc.integer({min: 1, max: 100_000}).map(tenths => tenths / 10),
    burst: fc.integer({min: 1, max: 1_000_000}),
    staleMs: staleArbitrary,
    priority: fc.constantFrom('urgent' as const, 'ordinary' as const),
  },
  {requiredKeys: ['kind', 'name', 'rate', 'burst', 'priority']},
);

const groupArbitrary: fc.Arbitrary<GroupRow> = fc
  .record({
    kind: fc.constant('group' as const),
    name: nameArbitrary,
    oldWeight: weightArbitrary,
    newWeight: weightArbitrary,
    staleMs: staleArbitrary,
    ack: fc.constantFrom('replica' as const, 'primary' as const),
    urgent: fc.constantFrom('writes' as const, 'all' as const, 'none' as const),
    open: fc.boolean(),
  })
  .filter(row => row.oldWeight + row.newWeight > 0);

/** Any valid table. */
export const tableArbitrary: fc.Arbitrary<Table> = fc
  .uniqueArray(fc.oneof(teamArbitrary, groupArbitrary), {
    selector: row => `${row.kind} ${row.name}`,
    maxLength: 20,
  })
  .map(rows => createTestTable(...rows));
