/** Database specs with default values. */
import type {DatabaseSpec} from '../../src/groups/types.js';

/** Creates the spec of a database with two slots at the old provider. */
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
