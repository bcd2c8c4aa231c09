import fc from 'fast-check';
import {expect, test} from 'vitest';
import {decodeDocument} from '../../src/rollout/config-codec.js';
import {
  CONFIG_KEY,
  type EditRecord,
} from '../../src/rollout/config-document.js';
import type {EditResult} from '../../src/rollout/edit-result.js';
import {readConfig} from '../../src/rollout/editor.js';
import {teamRow} from '../../src/rollout/table.js';
import {MemoryStore} from '../fakes/memory-store.js';
import {InstantClock, createEditor, putRow} from './editor-fixture.js';
import {createTeamRow} from './rows.js';

const TEAMS = ['a', 'b', 'c'];

interface PlannedEdit {
  readonly team: string;
  readonly rate: number;
}

interface AcceptedEdit {
  readonly edit: EditRecord;
  readonly rate: number;
}

type Fault = 'none' | 'loseAnswer' | 'loseRequest' | 'delayWrite';

const planArbitrary = fc.array(
  fc.array(
    fc.record({
      team: fc.constantFrom(...TEAMS),
      rate: fc.integer({min: 1, max: 9}),
    }),
    {minLength: 1, maxLength: 4},
  ),
  {minLength: 2, maxLength: 4},
);
const faultsArbitrary = fc.infiniteStream(
  fc.constantFrom<Fault>('none', 'loseAnswer', 'loseRequest', 'delayWrite'),
);

/** A store whose calls complete in the scheduler's order, with injected faults. */
class ScheduledStore extends MemoryStore {
  readonly #scheduler: fc.Scheduler;
  readonly #faults: Iterator<Fault>;
  readonly delayed: Promise<unknown>[] = [];

  constructor(scheduler: fc.Scheduler, faults: Iterator<Fault>) {
    super(new InstantClock());
    this.#scheduler = scheduler;
    this.#faults = faults;
  }

  override async get(key: string) {
    await this.#scheduler.schedule(Promise.resolve(), 'get');
    return super.get(key);
  }

  override async compareAndSwap(key: string, expected: number, value: string) {
    await this.#scheduler.schedule(Promise.resolve(), 'swap');
    const fault = this.#faults.next().value as Fault;
    if (fault === 'loseAnswer') this.loseAnswers(1);
    if (fault === 'loseRequest') this.loseRequests(1);
    if (fault === 'delayWrite') this.#delayWrite(key, expected, value);
    return super.compareAndSwap(key, expected, value);
  }

  /** Fails the call but executes its write later, as after a client timeout. */
  #delayWrite(key: string, expected: number, value: string): void {
    this.loseRequests(1);
    const late = this.#scheduler
      .schedule(Promise.resolve(), 'late swap')
      .then(() => super.compareAndSwap(key, expected, value));
    this.delayed.push(late.catch(() => undefined));
  }
}

/** Reads the edit of each version and checks that it changed only its own row. */
function readHistory(values: readonly string[]): readonly AcceptedEdit[] {
  const rates = new Map<string, number>();
  return values.map(value => {
    const document = decodeDocument(value);
    const edit = document.edits.at(-1);
    if (edit === undefined) throw new Error('a version without an edit');
    expect(edit.version).toBe(document.version);
    const team = edit.id.split('/')[1] ?? '';
    const rate = teamRow(document.table, team)?.rate ?? 0;
    rates.set(team, rate);
    const rows = [...document.table.teams.values()];
    expect(new Map(rows.map(row => [row.name, row.rate]))).toEqual(rates);
    return {edit, rate};
  });
}

async function collectValues(store: MemoryStore): Promise<readonly string[]> {
  const controller = new AbortController();
  const values: string[] = [];
  for await (const item of store.watch(CONFIG_KEY, 1, controller.signal)) {
    if (item.kind === 'events') {
      values.push(...item.events.map(event => event.value ?? ''));
    }
    controller.abort();
  }
  return values;
}

test('several operators over a lossy store lose and double nothing', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      planArbitrary,
      faultsArbitrary,
      async (scheduler, plans, faults) => {
        const store = new ScheduledStore(scheduler, faults);
        const results = new Map<string, EditResult>();
        const runOperator = async (
          plan: readonly PlannedEdit[],
          operator: number,
        ) => {
          const editor = createEditor(store);
          for (const [index, {team, rate}] of plan.entries()) {
            const id = `${operator}-${index}/${team}`;
            const change = putRow(createTeamRow(team, {rate}));
            const identity = {id, by: `operator ${operator}`};
            results.set(id, await editor.edit(change, identity));
          }
        };
        await scheduler.waitFor(Promise.all(plans.map(runOperator)));
        await scheduler.waitFor(Promise.all(store.delayed));

        const history = readHistory(await collectValues(store));
        const versions = history.map(({edit}) => edit.version);
        expect(versions).toEqual(versions.map((_, index) => index + 1));
        const ids = history.map(({edit}) => edit.id);
        expect(new Set(ids).size).toBe(ids.length);
        for (const [id, result] of results) {
          const entry = history.find(({edit}) => edit.id === id);
          if (result.kind === 'applied') {
            expect(entry?.edit.version).toBe(result.version);
            expect(entry?.rate).toBe(findRate(plans, id));
          } else if (result.kind !== 'unsettled') {
            expect(entry).toBeUndefined();
          }
        }
        const {document} = await scheduler.waitFor(readConfig(store));
        expect(document.version).toBe(history.length);
      },
    ),
    {seed: 20_261_203, numRuns: 300},
  );
});

function findRate(
  plans: readonly (readonly PlannedEdit[])[],
  id: string,
): number | undefined {
  const [operator, index] = (id.split('/')[0] ?? '').split('-').map(Number);
  return plans[operator ?? 0]?.[index ?? 0]?.rate;
}
