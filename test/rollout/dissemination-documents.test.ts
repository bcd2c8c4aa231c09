import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Documents} from '../../src/rollout/documents.js';

describe('documents', () => {
  it('never decrease in revision', () => {
    const offer = fc.record({
      name: fc.constantFrom('zinnia/config', 'platform/vms'),
      revision: fc.integer({min: -1, max: 20}),
      value: fc.option(fc.string()),
    });
    fc.assert(
      fc.property(fc.array(offer), offers => {
        const documents = new Documents();
        const heard: number[] = [];
        documents.onChange(({name, revision}) => {
          if (name === 'platform/vms') heard.push(revision);
        });
        for (const {name, revision, value} of offers) {
          const before = documents.revision(name);
          const taken = documents.offer(name, revision, value);
          expect(taken).toBe(revision > before);
          expect(documents.revision(name)).toBe(Math.max(before, revision));
        }
        expect(heard).toEqual([...new Set(heard)].sort((a, b) => a - b));
      }),
      {seed: 3},
    );
  });

  it('are listed by name, in whatever order they arrived', () => {
    const documents = new Documents();
    for (const name of ['zinnia/config', 'platform/vms', 'platform/groups']) {
      documents.offer(name, 1, 'a');
    }
    expect(Object.keys(documents.digest())).toEqual([
      'platform/groups',
      'platform/vms',
      'zinnia/config',
    ]);
  });

  it('stop notifying a removed listener', () => {
    const documents = new Documents();
    const seen: number[] = [];
    const stop = documents.onChange(({revision}) => seen.push(revision));
    documents.offer('zinnia/config', 1, 'a');
    stop();
    documents.offer('zinnia/config', 2, 'b');
    expect(seen).toEqual([1]);
    expect(documents.digest()).toEqual({'zinnia/config': 2});
  });
});
