/**
 * Encodes the configuration document as the text of one store value.
 *
 * Rows, keys and edits are written as arrays rather than objects: 1,300 groups
 * and 2,000 teams with two keys each stay within the store's value limit.
 */
import * as z from 'zod';
import {ConfigDocument, type ConfigState} from './config-document.js';
import {TableError} from './faults.js';
import {
  decodeGroupInput,
  decodeTeamInput,
  encodeGroup,
  encodeRow,
  encodeTeam,
  groupTupleSchema,
  teamTupleSchema,
  type GroupTuple,
  type TeamTuple,
} from './row-codec.js';
import {RowHistory, type RowChange} from './row-history.js';
import {
  createTable,
  findRow,
  formatRowRef,
  type RowRef,
  type TableRow,
} from './table.js';

/** Maximum size of an encoded document: the store's limit of 1 MB per value. */
export const MAX_DOCUMENT_BYTES = 1_000_000;

const versionSchema = z.int().min(0);
const rowSchema = z.union([teamTupleSchema, groupTupleSchema]);

/** Schema of the stored JSON; `rowVersions` lists the teams, then the groups. */
const documentSchema = z.object({
  version: versionSchema,
  teams: z.array(teamTupleSchema),
  groups: z.array(groupTupleSchema),
  rowVersions: z.array(versionSchema),
  rowChanges: z.array(
    z.tuple([
      versionSchema,
      z.enum(['team', 'group']),
      z.string(),
      rowSchema.nullable(),
    ]),
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

/** The stored configuration is malformed. */
export class DocumentError extends Error {
  constructor(reason: string) {
    super(
      `the stored configuration can't be read: ${reason}; ` +
        'check that every zinnia program runs the same release',
    );
    this.name = 'DocumentError';
  }
}

/** Encodes a document as the text of its store value. */
export function encodeDocument(document: ConfigDocument): string {
  const {state} = document;
  const {table, history} = state;
  const rows = [...table.teams.values(), ...table.groups.values()];
  const encoded: EncodedDocument = {
    version: state.version,
    teams: [...table.teams.values()].map(encodeTeam),
    groups: [...table.groups.values()].map(encodeGroup),
    rowVersions: rows.map(row => history.versions.get(formatRowRef(row)) ?? 0),
    rowChanges: history.changes.map(({atVersion, kind, name, before}) => [
      atVersion,
      kind,
      name,
      before === undefined ? null : encodeRow(before),
    ]),
    keys: [...state.keys.values()].map(({id, team, salt, hash, grantedAt}) => [
      id,
      team,
      salt,
      hash,
      grantedAt,
    ]),
    withdrawnKeys: [...state.withdrawnKeys.values()].map(
      ({id, team, atVersion}) => [id, team, atVersion],
    ),
    retired: [...state.retired.values()].map(({instance, atVersion}) => [
      instance,
      atVersion,
    ]),
    edits: state.edits.map(({id, version, at, by, summary}) => [
      id,
      version,
      at,
      by,
      summary,
    ]),
  };
  return JSON.stringify(encoded);
}

/** Decodes a document from its store value, or throws a {@link DocumentError}. */
export function decodeDocument(text: string): ConfigDocument {
  const encoded = parseEncoded(text);
  try {
    return new ConfigDocument(decodeState(encoded));
  } catch (err) {
    if (err instanceof TableError) throw new DocumentError(err.message);
    throw err;
  }
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
  const table = createTable([
    ...encoded.teams.map(decodeTeamInput),
    ...encoded.groups.map(decodeGroupInput),
  ]);
  return {
    version: encoded.version,
    table,
    history: decodeHistory(encoded),
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

function decodeHistory(encoded: EncodedDocument): RowHistory {
  const refs: readonly RowRef[] = [
    ...encoded.teams.map(([name]) => ({kind: 'team', name}) as const),
    ...encoded.groups.map(([name]) => ({kind: 'group', name}) as const),
  ];
  const versions = new Map(
    refs.map((ref, index) => [
      formatRowRef(ref),
      encoded.rowVersions[index] ?? 0,
    ]),
  );
  const changes = encoded.rowChanges.map(
    ([atVersion, kind, name, before]): RowChange => ({
      atVersion,
      kind,
      name,
      before: before === null ? undefined : decodeRow({kind, name}, before),
    }),
  );
  return new RowHistory(versions, changes);
}

function decodeRow(
  ref: RowRef,
  tuple: TeamTuple | GroupTuple,
): TableRow | undefined {
  const input =
    ref.kind === 'team'
      ? decodeTeamInput(teamTupleSchema.parse(tuple))
      : decodeGroupInput(groupTupleSchema.parse(tuple));
  return findRow(createTable([input]), ref);
}

function indexById<Entry extends {readonly id: string}>(
  entries: readonly Entry[],
): ReadonlyMap<string, Entry> {
  return new Map(entries.map(entry => [entry.id, entry]));
}
