/** Encodes table rows as the arrays stored in the configuration document. */
import * as z from 'zod';
import type {GroupRow, RowInput, TableRow, TeamRow} from './table.js';

/** Name, rate, burst, priority, and maximum staleness or null. */
export const teamTupleSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.string(),
  z.number().nullable(),
]);

/** Name, old and new weight, maximum staleness, `ack`, `urgent`, `open`. */
export const groupTupleSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.string(),
  z.string(),
  z.boolean(),
]);

/** A team's row as an array. */
export type TeamTuple = z.infer<typeof teamTupleSchema>;

/** A group's row as an array. */
export type GroupTuple = z.infer<typeof groupTupleSchema>;

/** Encodes a team's row. */
export function encodeTeam(row: TeamRow): TeamTuple {
  return [row.name, row.rate, row.burst, row.priority, row.staleMs ?? null];
}

/** Encodes a group's row. */
export function encodeGroup(row: GroupRow): GroupTuple {
  const weights = [row.oldWeight, row.newWeight] as const;
  return [row.name, ...weights, row.staleMs, row.ack, row.urgent, row.open];
}

/** Encodes a row of either kind. */
export function encodeRow(row: TableRow): TeamTuple | GroupTuple {
  return row.kind === 'team' ? encodeTeam(row) : encodeGroup(row);
}

/** Decodes a team's row; `createTable` validates the result. */
export function decodeTeamInput(tuple: TeamTuple): RowInput {
  const [name, rate, burst, priority, stale] = tuple;
  const staleMs = stale === null ? {} : {staleMs: stale};
  return {cells: {kind: 'team', name, rate, burst, priority, ...staleMs}};
}

/** Decodes a group's row; `createTable` validates the result. */
export function decodeGroupInput(tuple: GroupTuple): RowInput {
  const [name, oldWeight, newWeight, staleMs, ack, urgent, open] = tuple;
  const weights = {oldWeight, newWeight};
  return {
    cells: {kind: 'group', name, ...weights, staleMs, ack, urgent, open},
  };
}
