/** The operators' table: one row for each team and each database group. */
import * as z from 'zod';
import {TableError, type TableFault} from './faults.js';

/** Maximum staleness that a row may allow: one day. */
export const MAX_STALE_MS = 86_400_000;

const MAX_RATE = 1_000_000;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$/;

const nameSchema = z.string().regex(NAME_PATTERN);
const weightSchema = z.int().min(0).max(100);
const staleSchema = z.int().min(0).max(MAX_STALE_MS);

const teamSchema = z.strictObject({
  kind: z.literal('team'),
  name: nameSchema,
  rate: z.number().positive().max(MAX_RATE),
  burst: z.int().min(1).max(MAX_RATE),
  staleMs: staleSchema.optional(),
  priority: z.enum(['urgent', 'ordinary']).default('urgent'),
});

const groupSchema = z
  .strictObject({
    kind: z.literal('group'),
    name: nameSchema,
    oldWeight: weightSchema,
    newWeight: weightSchema,
    staleMs: staleSchema,
    ack: z.enum(['replica', 'primary']).default('replica'),
    urgent: z.enum(['writes', 'all', 'none']).default('writes'),
    open: z.boolean().default(false),
  })
  .refine(row => row.oldWeight !== 0 || row.newWeight !== 0, {
    path: ['newWeight'],
    message: 'leaves both weights at 0',
    when: () => true,
  });

/** Limits of one team. */
export type TeamRow = Readonly<z.infer<typeof teamSchema>>;

/** Routing and acknowledgement settings of one database group. */
export type GroupRow = Readonly<z.infer<typeof groupSchema>>;

/** A row of the table. */
export type TableRow = TeamRow | GroupRow;

/** Whether a row configures a team or a database group. */
export type RowKind = TableRow['kind'];

/** Identifies one row of the table. */
export interface RowRef {
  readonly kind: RowKind;
  readonly name: string;
}

/** The operators' whole table. */
export interface Table {
  readonly teams: ReadonlyMap<string, TeamRow>;
  readonly groups: ReadonlyMap<string, GroupRow>;
}

/** A table without rows. */
export const EMPTY_TABLE: Table = {teams: new Map(), groups: new Map()};

const COLUMN_REMEDIES: Readonly<Record<string, string>> = {
  kind: 'give team or group',
  name: 'use 1 to 63 letters, digits, "_", "." or "-", a letter or digit first',
  rate: `give statements per second, above 0 and at most ${MAX_RATE}`,
  burst: `give a whole number of statements from 1 to ${MAX_RATE}`,
  staleMs: `give whole milliseconds from 0 to ${MAX_STALE_MS}`,
  priority: 'give urgent or ordinary',
  oldWeight: 'give a whole number from 0 to 100, not 0 on both sides',
  newWeight: 'give a whole number from 0 to 100, not 0 on both sides',
  ack: 'give replica or primary',
  urgent: 'give writes, all or none',
  open: 'give true or false',
};

/** Formats a row's kind and name, such as `team assessors`. */
export function formatRowRef(ref: RowRef): string {
  return `${ref.kind} ${ref.name}`;
}

/** Finds a team's row. */
export function teamRow(table: Table, name: string): TeamRow | undefined {
  return table.teams.get(name);
}

/** Finds a database group's row. */
export function groupRow(table: Table, name: string): GroupRow | undefined {
  return table.groups.get(name);
}

/** Finds the row that `ref` identifies. */
export function findRow(table: Table, ref: RowRef): TableRow | undefined {
  return ref.kind === 'team'
    ? teamRow(table, ref.name)
    : groupRow(table, ref.name);
}

/** All rows: groups, then teams, each sorted by name. */
export function listRows(table: Table): readonly TableRow[] {
  return [...sortByName(table.groups), ...sortByName(table.teams)];
}

/** Whether two rows have the same content. */
export function rowsEqual(
  a: TableRow | undefined,
  b: TableRow | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  const left = a as unknown as Record<string, unknown>;
  const right = b as unknown as Record<string, unknown>;
  const columns = new Set([...Object.keys(left), ...Object.keys(right)]);
  return [...columns].every(column => left[column] === right[column]);
}

/** Result of {@link parseRow}. */
export type RowResult =
  | {readonly kind: 'row'; readonly row: TableRow}
  | {readonly kind: 'faulty'; readonly faults: readonly TableFault[]};

/**
 * Validates one row and fills in its defaults.
 *
 * @example
 * parseRow({kind: 'team', name: 'lab', rate: 10, burst: 20});
 */
export function parseRow(
  input: Readonly<Record<string, unknown>>,
  line?: number,
): RowResult {
  const row = `${describeCell(input.kind)} ${describeCell(input.name)}`;
  const location = line === undefined ? {} : {line};
  if (input.kind !== 'team' && input.kind !== 'group') {
    const fault = createKindFault(row, describeCell(input.kind));
    return {kind: 'faulty', faults: [{...location, ...fault}]};
  }
  const schema = input.kind === 'team' ? teamSchema : groupSchema;
  const result = schema.safeParse(input);
  if (result.success) return {kind: 'row', row: result.data};
  const faults = result.error.issues.flatMap(issue =>
    resolveColumns(issue).map(column => ({
      ...location,
      row,
      column,
      value: describeCell(input[column]),
      problem: describeProblem(issue, input, column),
      remedy: resolveRemedy(issue, column),
    })),
  );
  return {kind: 'faulty', faults};
}

/** An unvalidated row, with its line if it was read from a file. */
export interface RowInput {
  readonly cells: Readonly<Record<string, unknown>>;
  readonly line?: number;
}

/**
 * Builds a table, or throws a {@link TableError} that lists every fault.
 *
 * @example
 * createTable([{cells: {kind: 'team', name: 'lab', rate: 10, burst: 20}}]);
 */
export function createTable(inputs: readonly RowInput[]): Table {
  const teams = new Map<string, TeamRow>();
  const groups = new Map<string, GroupRow>();
  const faults: TableFault[] = [];
  for (const input of inputs) {
    const result = parseRow(input.cells, input.line);
    if (result.kind === 'faulty') {
      faults.push(...result.faults);
      continue;
    }
    const {row} = result;
    if (findRow({teams, groups}, row) !== undefined) {
      faults.push(createDuplicateFault(row, input.line));
      continue;
    }
    if (row.kind === 'team') teams.set(row.name, row);
    else groups.set(row.name, row);
  }
  if (faults.length > 0) throw new TableError(faults);
  return {teams, groups};
}

function createDuplicateFault(
  row: TableRow,
  line: number | undefined,
): TableFault {
  return {
    ...(line === undefined ? {} : {line}),
    row: formatRowRef(row),
    column: 'name',
    value: row.name,
    problem: `names a ${row.kind} that an earlier row names`,
    remedy: 'keep one of the rows',
  };
}

function sortByName<Row extends TableRow>(
  rows: ReadonlyMap<string, Row>,
): readonly Row[] {
  return [...rows.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function createKindFault(row: string, kind: string): TableFault {
  const column = 'kind';
  const problem = kind === '' ? 'is missing' : 'is not allowed';
  const remedy = COLUMN_REMEDIES[column] ?? '';
  return {row, column, value: kind, problem, remedy};
}

function resolveColumns(issue: z.core.$ZodIssue): readonly string[] {
  if (issue.code === 'unrecognized_keys') return issue.keys;
  return [String(issue.path[0] ?? 'kind')];
}

function describeCell(cell: unknown): string {
  return cell === undefined ? '' : String(cell);
}

function describeProblem(
  issue: z.core.$ZodIssue,
  input: Readonly<Record<string, unknown>>,
  column: string,
): string {
  if (issue.code === 'unrecognized_keys') {
    return `is in a column that a ${describeCell(input.kind)} row does not have`;
  }
  if (issue.code === 'custom') return issue.message;
  if (input[column] === undefined) return 'is missing';
  return 'is not allowed';
}

function resolveRemedy(issue: z.core.$ZodIssue, column: string): string {
  if (issue.code === 'unrecognized_keys') return 'leave it blank';
  return COLUMN_REMEDIES[column] ?? 'see docs/operators/tables.md';
}
