/** Checks the promises against the clients' own record and the databases. */
import type {Fleet} from './fleet.js';
import type {LoadRecord} from './record.js';

interface Row {
  readonly id: string;
  readonly value: number | string;
}

/** One promise and what was found. */
export interface PromiseCheck {
  readonly promise: string;
  readonly violations: readonly string[];
}

/** Compares what was acknowledged with what the primaries hold. */
export async function checkPromises(
  fleet: Fleet,
  record: LoadRecord,
): Promise<readonly PromiseCheck[]> {
  const lost: string[] = [];
  const doubled: string[] = [];
  const groups = new Set(fleet.databases.map(({group}) => group));
  for (const group of groups) {
    const counters = await readRows(fleet, group, 'counters');
    const entries = await readRows(fleet, group, 'entries');
    for (const counter of record.counters) {
      if (counter.group !== group) continue;
      const value = Number(counters.get(counter.id) ?? 0);
      const most = counter.acknowledged + counter.unknown;
      if (value < counter.acknowledged) {
        lost.push(`${counter.id}: ${value} of ${counter.acknowledged}`);
      }
      if (value > most)
        doubled.push(`${counter.id}: ${value}, at most ${most}`);
    }
    for (const id of record.inserted.get(group) ?? []) {
      if (!entries.has(id)) lost.push(`${group} row ${id}`);
    }
  }
  return [
    {promise: 'no acknowledged write is lost', violations: lost},
    {promise: 'no write runs twice', violations: doubled},
    {promise: 'a session reads its own writes', violations: record.staleReads},
    {promise: 'no caller sees a foreign row', violations: record.foreignRows},
    {
      promise: 'no target sees a key of a caller',
      violations: await findLeakedKeys(fleet),
    },
  ];
}

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

async function findLeakedKeys(fleet: Fleet): Promise<readonly string[]> {
  const keys = [...fleet.keys.values()];
  const found: string[] = [];
  for (const database of fleet.databases) {
    const seen = await fleet
      .readDatabase<unknown>(database, 'seen')
      .catch(() => undefined);
    const text = JSON.stringify(seen ?? null);
    if (keys.some(key => text.includes(key))) found.push(database.spec.id);
  }
  return found;
}
