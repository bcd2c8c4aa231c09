/**
 * The configuration document as the text of one store value.
 *
 * Rows, keys and edits are written as arrays rather than objects: 1,300 groups
 * and 2,000 teams with two keys each stay within the store's value limit.
 */
import {z} from 'zod';
import {ConfigDocument, type ConfigState} from './config-document.js';
import {
  createTable,
  formatRowRef,
  type GroupRow,
  type RowInput,
  type TeamRow,
} from './table.js';

/** The longest document that the store takes: its limit is 1 MB. */
export const MAX_DOCUMENT_BYTES = 1_000_000;

const versionSchema = z.int().min(0);

const documentSchema = z.object({
  version: versionSchema,
  teams: z.array(
    z.tuple([
      versionSchema,
      z.string(),
      z.number(),
      z.number(),
      z.string(),
      z.number().nullable(),
    ]),
  ),
  groups: z.array(
    z.tuple([
      versionSchema,
      z.string(),
      z.number(),
      z.number(),
      z.number(),
      z.string(),
      z.string(),
      z.boolean(),
    ]),
  ),
  removedRows: z.array(
    z.tuple([z.enum(['team', 'group']), z.string(), versionSchema]),
  ),
  keys: z.array(
    z.tuple([z.string(), z.string(), z.string(), z.string(), z.number()]),
  ),
  withdrawnKeys: z.array(z.tuple([z.string(), z.string(), versionSchema])),
  retired: z.array(z.tuple([z.string(), versionSchema])),
  edits: z.array(
    z.tuple([z.string(), versionSchema, z.number(), z.string(), z.string()]),
  ),
});

type EncodedDocument = z.infer<typeof documentSchema>;

/** The stored configuration can't be read. */
export class DocumentError extends Error {
  constructor(reason: string) {
    super(
      `the stored configuration can't be read: ${reason}; ` +
        'check that every zinnia program runs the same release',
    );
    this.name = 'DocumentError';
  }
}

/** Writes a document as the text of its store value. */
export function encodeDocument(document: ConfigDocument): string {
  const {state} = document;
  const rowVersion = (row: TeamRow | GroupRow) =>
    state.rowVersions.get(formatRowRef(row)) ?? 0;
  const encoded: EncodedDocument = {
    version: state.version,
    teams: [...state.table.teams.values()].map(row => [
      rowVersion(row),
      row.name,
      row.rate,
      row.burst,
      row.priority,
      row.staleMs ?? null,
    ]),
    groups: [...state.table.groups.values()].map(row => [
      rowVersion(row),
      row.name,
      row.oldWeight,
      row.newWeight,
      row.staleMs,
      row.ack,
      row.urgent,
      row.open,
    ]),
    removedRows: state.removedRows.map(row => [
      row.kind,
      row.name,
      row.atVersion,
    ]),
    keys: [...state.keys.values()].map(key => [
      key.id,
      key.team,
      key.salt,
      key.hash,
      key.grantedAt,
    ]),
    withdrawnKeys: [...state.withdrawnKeys.values()].map(key => [
      key.id,
      key.team,
      key.atVersion,
    ]),
    retired: [...state.retired.values()].map(entry => [
      entry.instance,
      entry.atVersion,
    ]),
    edits: state.edits.map(edit => [
      edit.id,
      edit.version,
      edit.at,
      edit.by,
      edit.summary,
    ]),
  };
  return JSON.stringify(encoded);
}

/** Reads a document from its store value, or throws a {@link DocumentError}. */
export function decodeDocument(text: string): ConfigDocument {
  const encoded = parseEncoded(text);
  return new ConfigDocument(decodeState(encoded));
}

function parseEncoded(text: string): EncodedDocument {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    throw new DocumentError(String(err));
  }
  const result = documentSchema.safeParse(value);
  if (!result.success) throw new DocumentError(z.prettifyError(result.error));
  return result.data;
}

function decodeState(encoded: EncodedDocument): ConfigState {
  const rowVersions = new Map<string, number>();
  const inputs: RowInput[] = [];
  for (const [version, name, rate, burst, priority, stale] of encoded.teams) {
    const staleMs = stale === null ? {} : {staleMs: stale};
    inputs.push({
      cells: {kind: 'team', name, rate, burst, priority, ...staleMs},
    });
    rowVersions.set(formatRowRef({kind: 'team', name}), version);
  }
  for (const row of encoded.groups) {
    const [version, name, oldWeight, newWeight, staleMs, ack, urgent, open] =
      row;
    const weights = {oldWeight, newWeight};
    inputs.push({
      cells: {kind: 'group', name, ...weights, staleMs, ack, urgent, open},
    });
    rowVersions.set(formatRowRef({kind: 'group', name}), version);
  }
  return {
    version: encoded.version,
    table: createTable(inputs),
    rowVersions,
    removedRows: encoded.removedRows.map(([kind, name, atVersion]) => ({
      kind,
      name,
      atVersion,
    })),
    keys: indexById(
      encoded.keys.map(([id, team, salt, hash, grantedAt]) => ({
        id,
        team,
        salt,
        hash,
        grantedAt,
      })),
    ),
    withdrawnKeys: indexById(
      encoded.withdrawnKeys.map(([id, team, atVersion]) => ({
        id,
        team,
        atVersion,
      })),
    ),
    retired: new Map(
      encoded.retired.map(([instance, atVersion]) => [
        instance,
        {instance, atVersion},
      ]),
    ),
    edits: encoded.edits.map(([id, version, at, by, summary]) => ({
      id,
      version,
      at,
      by,
      summary,
    })),
  };
}

function indexById<Entry extends {readonly id: string}>(
  entries: readonly Entry[],
): ReadonlyMap<string, Entry> {
  return new Map(entries.map(entry => [entry.id, entry]));
}
