/** Checks the consistency guarantees against the client-side record and the databases. */
import type {Fleet} from './fleet.js';
import type {LoadRecord} from './load-record.js';

interface Row {
  readonly id: string;
  readonly value: number | string;
}

/** A guarantee and the violations found; none if it held. */
export interface GuaranteeCheck {
  readonly guarantee: string;
  readonly violations: readonly string[];
}

/**
 * Compares the acknowledged writes with the rows at each group's primary, and
 * collects the violations that sessions saw and keys that databases received.
 */
export async function checkGuarantees(
  fleet: Fleet,
  record: LoadRecord,
): Promise<readonly GuaranteeCheck[]> {
  const lostWrites: string[] = [];
  const duplicateWrites: string[] = [];
  const groups = new Set(fleet.databases.map(({group}) => group));
  for (const group of groups) {
    const counters = await readRows(fleet, group, 'counters');
    const entries = await readRows(fleet, group, 'entries');
    for (const counter of record.counters) {
      if (counter.group !== group) continue;
      const value = Number(counters.get(counter.id) ?? 0);
      const maxValue = counter.acknowledged + counter.unknown;
      if (value < counter.acknowledged) {
        lostWrites.push(`${counter.id}: ${value} of ${counter.acknowledged}`);
      }
      if (value > maxValue)
        duplicateWrites.push(`${counter.id}: ${value}, at most ${maxValue}`);
    }
    for (const id of record.inserted.get(group) ?? []) {
      if (!entries.has(id)) lostWrites.push(`${group} row ${id}`);
    }
  }
  return [
    {guarantee: 'no acknowledged write is lost', violations: lostWrites},
    {guarantee: 'no write runs twice', violations: duplicateWrites},
    {
      guarantee: 'a session reads its own writes',
      violations: record.staleReads,
    },
    {guarantee: 'no caller sees a foreign row', violations: record.foreignRows},
    {
      guarantee: 'no target sees a key of a caller',
      violations: await findLeakedKeys(fleet),
    },
  ];
}

/** Reads a table at the group's primary; returns the row values by id. */
async function readRows(
  fleet: Fleet,
  group: string,
  table: string,
): Promise<ReadonlyMap<string, number | string>> {
  const primary = await fleet.findPrimary(group);
  if (primary === undefined) throw new Error(`group ${group} has no primary`);
  const rows = await fleet.readDatabase<readonly Row[]>(
    primary,
    `rows?table=${table}`,
  );
  return new Map(rows.map(({id, value}) => [id, value]));
}

/** Returns the ids of databases that received the API key of any team. */
async function findLeakedKeys(fleet: Fleet): Promise<readonly string[]> {
  const keys = [...fleet.keys.values()];
  const databaseIds: string[] = [];
  for (const database of fleet.databases) {
    const seen = await fleet
      .readDatabase<unknown>(database, 'seen')
      .catch(() => undefined);
    const text = JSON.stringify(seen ?? null);
    if (keys.some(key => text.includes(key)))
      databaseIds.push(database.spec.id);
  }
  return databaseIds;
}
