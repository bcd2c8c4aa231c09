/** Fixtures for editing a configuration in an in-memory store. */
import type {Clock, Random} from '../../src/infra/clock.js';
import type {Store} from '../../src/infra/store.js';
import {
  decodeDocument,
  encodeDocument,
} from '../../src/rollout/config-codec.js';
import {CONFIG_KEY, type RowEdit} from '../../src/rollout/config-document.js';
import type {Change} from '../../src/rollout/changes.js';
import {ConfigEditor} from '../../src/rollout/editor.js';
import type {TableRow} from '../../src/rollout/table.js';
import type {MemoryStore} from '../fakes/memory-store.js';

/** A clock whose sleeps return at once and advance the time. */
export class InstantClock implements Clock {
  #now = 0;

  now(): number {
    return this.#now;
  }

  wallNow(): number {
    return this.#now;
  }

  async sleep(ms: number): Promise<void> {
    this.#now += ms;
  }
}

const MIDPOINT_RANDOM: Random = {next: () => 0.5};

/** Creates an editor on a store. */
export function createEditor(store: Store): ConfigEditor {
  return new ConfigEditor({
    store,
    clock: new InstantClock(),
    random: MIDPOINT_RANDOM,
  });
}

/** Creates a change that writes one row. */
export function putRow(row: TableRow, baseVersion?: number): Change {
  const edits: readonly RowEdit[] = [{kind: 'put', row}];
  const base = baseVersion === undefined ? {} : {baseVersion};
  return {kind: 'rows', edits, ...base};
}

/** Inserts another operator's edit before the next compare-and-swap. */
export function insertRacingEdit(
  store: MemoryStore,
  by: string,
  row: TableRow,
): void {
  store.interfere(CONFIG_KEY, current => {
    if (current === undefined) throw new Error('seed the store first');
    const document = decodeDocument(current).withRows([{kind: 'put', row}]);
    const edit = {id: `race-${by}`, by, at: 0, summary: 'race'};
    return encodeDocument(document.withEdit(edit));
  });
}
