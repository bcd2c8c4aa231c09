/** Descriptions of databases with ordinary values. */
import type {DatabaseSpec} from '../../src/groups/types.js';

/** A database of two slots at the old provider. */
export function createDatabaseSpec(
  id: string,
  changes: Partial<DatabaseSpec> = {},
): DatabaseSpec {
  return {
    id,
    host: '127.0.0.1',
    port: 5432,
    dataCentre: 'hobart',
    provider: 'old',
    slots: 2,
    maxConnections: 16,
    ...changes,
  };
}
