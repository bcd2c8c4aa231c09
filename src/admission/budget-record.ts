/** The ownership records of team budgets in the store. */

import * as z from 'zod';
import type {Store, StoredValue} from '../infra/store.js';

const KEY_PREFIX = 'zinnia/budget/';

/** The owner of a budget. Each change of ownership raises the epoch. */
export interface BudgetRecord {
  readonly epoch: number;
  /** The owner's instance id. */
  readonly owner: string;
  /** Earlier owners whose grants the current owner may not know of. */
  readonly predecessors: readonly string[];
}

/** A record and its revision in the store. */
export interface LoadedRecord {
  readonly record: BudgetRecord;
  readonly revision: number;
}

const schema = z.object({
  epoch: z.int().positive(),
  owner: z.string(),
  predecessors: z.array(z.string()),
});

/** The store key of a team's record; also its key for rendezvous hashing. */
export function budgetKey(team: string): string {
  return KEY_PREFIX + team;
}

/** Reads and writes ownership records. Every method may throw `StoreError`. */
export class BudgetRecords {
  readonly #store: Store;

  constructor(store: Store) {
    this.#store = store;
  }

  async load(team: string): Promise<LoadedRecord | undefined> {
    return parseRecord(await this.#store.get(budgetKey(team)));
  }

  /**
   * Replaces the record by compare-and-swap if it is still at `revision`
   * (0: absent). Returns the record that is stored afterwards.
   */
  async replace(
    team: string,
    revision: number,
    record: BudgetRecord,
  ): Promise<LoadedRecord | undefined> {
    const value = JSON.stringify(record);
    const key = budgetKey(team);
    const res = await this.#store.compareAndSwap(key, revision, value);
    if (res.kind === 'swapped') return {record, revision: res.revision};
    return parseRecord(res.current);
  }
}

function parseRecord(
  stored: StoredValue | undefined,
): LoadedRecord | undefined {
  if (stored === undefined) return undefined;
  const parsed = schema.safeParse(readJson(stored.value));
  if (parsed.success) return {record: parsed.data, revision: stored.revision};
  throw new Error(
    `the store's value of ${stored.key} is not a valid budget record; ` +
      'restore it with a higher epoch than any before',
  );
}

function readJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
