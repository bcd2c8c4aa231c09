import {expect, test} from 'vitest';
import {Members} from '../../src/membership/members.js';
import {PartnerChoice} from '../../src/membership/partner-choice.js';
import type {VmRecord} from '../../src/infra/vm-list.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {VirtualNetwork} from '../fakes/virtual-network.js';

const ROUND_MS = 500;
const ROUNDS = 40;
/** Allows for calls in another round and for fixed points of the permutation. */
const MAX_CALLS = 1.25 * ROUNDS;

/** Creates the partner choice of every node, with clocks skewed by up to 1 s. */
function createChoices(size: number) {
  const time = new VirtualClock();
  const random = new VirtualNetwork(time, 1);
  const records = Array.from({length: size}, (_, at): VmRecord => ({
    id: `vm-${at}`,
    host: '10.0.0.1',
    peerPort: 7100,
    adminPort: 7200,
    dataCentre: 'hobart',
    state: 'live',
  }));
  const choices = records.map(self => {
    const wallOffsetMs = Math.floor(random.next() * 1_000);
    const clock = time.forNode({wallOffsetMs});
    const members = new Members({self, instance: 'i1', clock});
    members.applyList(records, 1);
    const choice = new PartnerChoice({
      members,
      clock,
      random,
      roundMs: ROUND_MS,
    });
    return {self: self.id, members, choice};
  });
  return {time, choices};
}

test.each([2, 7, 128, 200])(
  'chooses each of %d nodes about equally often',
  async size => {
    const {time, choices} = createChoices(size);
    const calls = new Map<string, number>();
    const callers = new Map<string, Set<string>>();
    for (let round = 0; round < ROUNDS; round++) {
      for (const {self, choice} of choices) {
        const {id} = choice.next()!;
        expect(id).not.toBe(self);
        calls.set(id, (calls.get(id) ?? 0) + 1);
        callers.set(id, (callers.get(id) ?? new Set()).add(self));
      }
      await time.advance(ROUND_MS);
    }
    expect(calls.size).toBe(size);
    expect(Math.max(...calls.values())).toBeLessThanOrEqual(MAX_CALLS);
    const variety = [...callers.values()].map(set => set.size);
    expect(Math.min(...variety)).toBeGreaterThanOrEqual(Math.min(size - 1, 6));
  },
);

test('returns no partner for a single node, and still tries a dead one', () => {
  const {choices} = createChoices(1);
  expect(choices[0]!.choice.next()).toBeUndefined();
  const {choices: two} = createChoices(2);
  const {members, choice} = two[0]!;
  members.suspect('vm-1');
  members.advanceStatusTimers(60_000);
  expect(members.live()).toHaveLength(1);
  expect(choice.next()?.id).toBe('vm-1');
});
