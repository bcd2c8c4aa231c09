import {readFile} from 'node:fs/promises';
import {describe, expect, test} from 'vitest';
import {FakeGroup} from '../fakes/fake-group.js';
import {MemoryStore} from '../fakes/memory-store.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {createRandom} from '../admission/random.js';
import {aloneDeps} from './examples/budget-ports.js';
import {countAdmitted} from './examples/budgets.js';
import {acknowledge, failOver} from './examples/terms.js';
import {mayRead, tokenAfterWrite} from './examples/tokens.js';

const PAGE = new URL('../../docs/library.md', import.meta.url);

/** Advances virtual time until `promise` resolves; undefined on timeout. */
async function resolveUnder<T>(time: VirtualClock, promise: Promise<T>) {
  let value: T | undefined;
  void promise.then(result => (value = result));
  await time.advanceUntil(() => value !== undefined, 5_000);
  return value;
}

describe('docs/library.md', () => {
  test.each(['budget-ports', 'budgets', 'tokens', 'terms'])(
    'includes the tested example %s verbatim',
    async name => {
      const file = new URL(`./examples/${name}.ts`, import.meta.url);
      const code = await readFile(file, 'utf8');
      const shown = code.replaceAll('../../../src/index.js', 'zinniaarch');
      const page = await readFile(PAGE, 'utf8');
      expect(page).toContain(`\`\`\`ts\n${shown}\`\`\``);
    },
  );

  test('has a terms example of at most ten lines', async () => {
    const file = new URL('./examples/terms.ts', import.meta.url);
    const lines = (await readFile(file, 'utf8')).trimEnd().split('\n');
    expect(lines.length).toBeLessThanOrEqual(10);
  });

  test('admits one burst and no more', async () => {
    const time = new VirtualClock();
    const deps = {
      ...aloneDeps,
      clock: time,
      random: createRandom(1),
      store: new MemoryStore(time),
    };
    const admitted = await resolveUnder(time, countAdmitted(deps, 50));
    expect(admitted).toBe(20);
  });

  test('carries read-your-writes to another proxy', () => {
    const text = tokenAfterWrite(3, 1_042);
    expect(mayRead(text, 3, 1_041)).toBe(false);
    expect(mayRead(text, 3, 1_042)).toBe(true);
    expect(mayRead(text, 4, 1)).toBe(true);
    expect(() => mayRead(`${text}x`, 4, 1)).toThrow('was not signed');
  });

  test('acknowledges writes of the current term only', async () => {
    const time = new VirtualClock();
    const group = new FakeGroup(time);
    const clock = time.forNode();
    const databases = {clock, controls: group.controlsFor('vm1', clock)};
    const write = {primaryId: 'db-1', ack: 'replica', timeoutMs: 500} as const;
    await time.advance(100);
    const before = await group.commit('vm1', clock, 'db-1', 'before');
    const first = acknowledge(databases, {...write, position: before});
    expect(await resolveUnder(time, first)).toEqual({kind: 'done'});

    group.links.cut(['db-1'], ['db-2', 'db-3']);
    const late = await group.commit('vm1', clock, 'db-1', 'late');
    const failover = await resolveUnder(time, failOver(databases, 'db-1'));
    expect(failover).toMatchObject({kind: 'promoted', term: 2});
    const second = acknowledge(databases, {...write, position: late});
    expect(await resolveUnder(time, second)).toMatchObject({
      kind: 'mayHaveRun',
      reason: 'termChanged',
    });
  });
});
