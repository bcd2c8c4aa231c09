import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import type {Provider} from '../../src/groups/types.js';
import {
  chooseTarget,
  providerOf,
  type ReadCandidate,
  type ReadChoiceInput,
} from '../../src/routing/replica-choice.js';
import {covers} from '../../src/session/position.js';
import {createDatabaseSpec} from '../fakes/database-spec.js';

function candidate(
  id: string,
  overrides: Partial<ReadCandidate> & {
    dataCentre?: string;
    provider?: Provider;
  } = {},
): ReadCandidate {
  const {dataCentre = 'hobart', provider = 'old', ...rest} = overrides;
  return {
    spec: createDatabaseSpec(id, {dataCentre, provider}),
    reachable: true,
    applied: {term: 1, offset: 100},
    ageMs: 50,
    outstanding: 0,
    expectedWaitMs: Infinity,
    ...rest,
  };
}

function choose(
  candidates: readonly ReadCandidate[],
  overrides: Partial<ReadChoiceInput> = {},
) {
  return chooseTarget({
    sessionId: 'session',
    position: {term: 1, offset: 100},
    staleMs: 1000,
    weights: {old: 1, new: 0},
    dataCentre: 'hobart',
    primaryId: 'db-1',
    candidates,
    maxWaitMs: 20,
    ...overrides,
  });
}

const PRIMARY = candidate('db-1');

const AT_PRIMARY = {kind: 'primary', databaseId: 'db-1'};
const none = (reason: string) => ({kind: 'none', reason});

describe('chooseTarget', () => {
  test('prefers a replica in the same data centre', () => {
    const far = candidate('db-2', {dataCentre: 'burnie'});
    const near = candidate('db-3', {outstanding: 2});
    expect(choose([PRIMARY, far, near])).toEqual({
      kind: 'replica',
      databaseId: 'db-3',
    });
  });

  test('chooses a remote replica if the local one is much busier', () => {
    const far = candidate('db-2', {dataCentre: 'burnie'});
    const near = candidate('db-3', {outstanding: 3});
    expect(choose([PRIMARY, far, near])).toMatchObject({databaseId: 'db-2'});
  });

  test('chooses the least loaded of several local replicas', () => {
    const busy = candidate('db-2', {outstanding: 2});
    const idle = candidate('db-3', {outstanding: 1});
    expect(choose([PRIMARY, busy, idle])).toMatchObject({databaseId: 'db-3'});
  });

  test.each([
    ['lags behind the session', {applied: {term: 1, offset: 99}}],
    ['is of an older term', {applied: {term: 0, offset: 999}}],
    ['has data that is too old', {ageMs: 1001}],
    ['has data of unknown age', {ageMs: Infinity}],
    ['has an unknown position', {applied: undefined}],
    ["can't be reached", {reachable: false}],
  ])('does not choose a replica that %s', (_, overrides) => {
    expect(choose([PRIMARY, candidate('db-2', overrides)])).toEqual(AT_PRIMARY);
  });

  test('waits for the replica that is expected to catch up first', () => {
    const behind = {applied: {term: 1, offset: 99}};
    const slow = candidate('db-2', {...behind, expectedWaitMs: 15});
    const soon = candidate('db-3', {...behind, expectedWaitMs: 8});
    const candidates = [PRIMARY, slow, soon];
    expect(choose(candidates)).toEqual({
      kind: 'wait',
      databaseId: 'db-3',
      expectedMs: 8,
    });
    expect(choose(candidates, {maxWaitMs: 0})).toMatchObject({
      kind: 'primary',
    });
  });

  test.each([
    ['no stale data is accepted', {staleMs: 0}],
    ['the position of the session is unknown', {position: undefined}],
  ])('reads from the primary if %s', (_, overrides) => {
    const candidates = [PRIMARY, candidate('db-2')];
    expect(choose(candidates, overrides)).toEqual(AT_PRIMARY);
    expect(choose(candidates, {...overrides, primaryId: undefined})).toEqual(
      none('noPrimary'),
    );
  });

  test('reads from replicas while there is no primary', () => {
    const ready = candidate('db-2', {provider: 'new'});
    const withoutPrimary = {primaryId: undefined};
    expect(choose([ready], withoutPrimary)).toMatchObject({kind: 'replica'});
    expect(choose([candidate('db-2', {ageMs: 2000})], withoutPrimary)).toEqual(
      none('staleReplicas'),
    );
  });

  test('never chooses a replica that lags behind the session or is too old', () => {
    const candidates = fc.array(
      fc.record({
        applied: fc.record({term: fc.nat(2), offset: fc.nat(5)}),
        ageMs: fc.nat(2000),
        outstanding: fc.nat(5),
        reachable: fc.boolean(),
      }),
    );
    const position = fc.record({term: fc.nat(2), offset: fc.nat(5)});
    fc.assert(
      fc.property(candidates, position, (given, wanted) => {
        const replicas = given.map((c, i) => candidate(`db-${i + 2}`, c));
        const choice = choose([PRIMARY, ...replicas], {position: wanted});
        if (choice.kind !== 'replica') return;
        const chosen = replicas.find(c => c.spec.id === choice.databaseId);
        expect(chosen?.reachable).toBe(true);
        expect(chosen?.ageMs).toBeLessThanOrEqual(1000);
        expect(covers(chosen!.applied!, wanted)).toBe(true);
      }),
      {seed: 32},
    );
  });
});

describe('providerOf', () => {
  const sessions = Array.from({length: 4000}, (_, i) => `session-${i}`);

  test('follows the weights', () => {
    const moved = sessions.filter(
      id => providerOf(id, {old: 75, new: 25}) === 'new',
    );
    expect(moved.length / sessions.length).toBeCloseTo(0.25, 1);
  });

  test('moves no session back while the new weight increases', () => {
    for (const id of sessions) {
      if (providerOf(id, {old: 90, new: 10}) === 'old') continue;
      expect(providerOf(id, {old: 50, new: 50})).toBe('new');
    }
  });

  test('chooses no provider with zero weight', () => {
    for (const id of sessions) {
      expect(providerOf(id, {old: 0, new: 5})).toBe('new');
      expect(providerOf(id, {old: 5, new: 0})).toBe('old');
    }
  });
});
