import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  findSafeLeaders,
  type KnownLog,
} from '../../src/groups/commit-safety.js';

const at = (offset: number) => ({term: 1, offset});

/** A replica: what it has, and what is known of that. */
const replicaArb = fc.record({
  received: fc.nat(20),
  known: fc.constantFrom('exact', 'lowerBound', 'nothing'),
  /** How much less than it has its answers have shown. */
  unseen: fc.nat(20),
  mayLead: fc.boolean(),
});

describe('replicas that may lead', () => {
  it('have every commit that was acknowledged, whatever is known of the others', () => {
    fc.assert(
      fc.property(
        fc.array(replicaArb, {minLength: 1, maxLength: 5}),
        fc.integer({min: 1, max: 3}),
        (replicas, syncReplicas) => {
          const logs = replicas.map(
            ({received, known, unseen, mayLead}, n): KnownLog => ({
              id: `r${n}`,
              mayLead,
              isExact: known === 'exact',
              atLeast:
                known === 'nothing'
                  ? undefined
                  : at(
                      Math.max(0, received - (known === 'exact' ? 0 : unseen)),
                    ),
            }),
          );
          // The latest commit that `syncReplicas` replicas have.
          const acknowledged =
            replicas.map(({received}) => received).toSorted((a, b) => b - a)[
              syncReplicas - 1
            ] ?? 0;
          for (const id of findSafeLeaders(logs, syncReplicas)) {
            const {received} = replicas[Number(id.slice(1))]!;
            expect(received).toBeGreaterThanOrEqual(acknowledged);
          }
        },
      ),
      {numRuns: 5_000, seed: 38},
    );
  });

  it('include the most advanced one if all have reported', () => {
    const logs = [3, 8, 5].map(offset => ({
      id: `r${offset}`,
      mayLead: true,
      atLeast: at(offset),
      isExact: true,
    }));
    expect(findSafeLeaders(logs, 1)).toEqual(['r8']);
    expect(findSafeLeaders(logs, 2)).toEqual(['r8', 'r5']);
  });

  it('are none while too many are unknown', () => {
    const known = {id: 'b', mayLead: true, atLeast: at(5), isExact: true};
    const silent = {id: 'c', mayLead: true, atLeast: undefined, isExact: false};
    expect(findSafeLeaders([known, silent], 1)).toEqual([]);
    expect(findSafeLeaders([known, silent], 2)).toEqual(['b']);
  });
});
