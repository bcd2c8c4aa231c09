import {describe, expect, test} from 'vitest';
import {assessFailoverNeed, suspect} from '../../src/groups/failover-need.js';
import {groupViewOf, type DatabaseView} from '../../src/groups/group-view.js';
import type {DatabaseStatus} from '../../src/groups/types.js';
import {createDatabaseSpec} from '../fakes/database-spec.js';

const POSITION = {term: 1, offset: 1};

interface Overrides extends Partial<DatabaseStatus> {
  readonly unreachableMs?: number;
  readonly ageMs?: number;
  readonly unknown?: boolean;
}

function database(number: number, overrides: Overrides = {}): DatabaseView {
  const {unreachableMs = 0, ageMs = 100, unknown, ...status} = overrides;
  return {
    spec: createDatabaseSpec(`db-${number}`),
    status: unknown
      ? undefined
      : {
          role: number === 1 ? 'primary' : 'replica',
          term: 1,
          fencedTerm: 1,
          fencedBy: 'initial',
          received: POSITION,
          applied: POSITION,
          upstreamSilentMs: number === 1 ? 0 : 20,
          ...status,
        },
    ageMs,
    reachable: !unknown && unreachableMs === 0,
    unreachableMs,
  };
}

function view(...overrides: readonly Overrides[]) {
  return groupViewOf(
    'claims',
    overrides.map((each, i) => database(i + 1, each)),
  );
}

const UNREACHABLE_PRIMARY = view({unreachableMs: 650}, {}, {});

describe('suspect', () => {
  test.each([
    ['a healthy group', view({}, {}, {}), 'healthy'],
    [
      'a primary unreachable for 500 ms',
      view({unreachableMs: 500}, {}, {}),
      'healthy',
    ],
    ['one silent replica', view({}, {upstreamSilentMs: 900}, {}), 'healthy'],
    [
      'too few databases',
      view({}, {unreachableMs: 1}, {ageMs: 900}),
      'noMajority',
    ],
    ['no status yet', view({unknown: true}, {unknown: true}, {}), 'noMajority'],
    [
      'an unknown primary that replicas receive from',
      view({unknown: true}, {}, {}),
      'healthy',
    ],
  ])('suspects nothing: %s', (_, given, kind) => {
    expect(suspect(given).kind).toBe(kind);
  });

  const silent = {upstreamSilentMs: 900};
  const fenced = {fencedTerm: 2};

  test.each([
    ['primaryUnreachable', UNREACHABLE_PRIMARY],
    ['primaryIsolated', view({}, silent, silent)],
    ['noPrimary', view({role: 'replica'}, {}, {})],
    ['noPrimary', view({unknown: true}, silent, silent)],
    ['noPrimary', view({}, fenced, fenced)],
    ['unfinishedFence', view({}, fenced, {})],
  ])('suspects %s', (cause, given) => {
    expect(suspect(given)).toEqual({kind: 'suspected', cause});
  });
});

describe('assessFailoverNeed', () => {
  test.each([
    ['two others fail too', [false, false], 'needed'],
    ['one of two others fails too', [false, true], 'needed'],
    ['the others reach it', [true, true], 'linkFault'],
    ['one other answers and reaches it', [true], 'linkFault'],
    ['no other answers', [], 'linkFault'],
    ['two of four others fail too', [false, false, true, true], 'needed'],
    ['one of four others fails too', [false, true, true, true], 'linkFault'],
  ])('if %s', async (_, answers, kind) => {
    const evidence = {canReach: () => Promise.resolve(answers)};
    expect((await assessFailoverNeed(UNREACHABLE_PRIMARY, evidence)).kind).toBe(
      kind,
    );
  });

  test('treats a failed query like no answer', async () => {
    const evidence = {canReach: () => Promise.reject(new Error('no peers'))};
    expect(await assessFailoverNeed(UNREACHABLE_PRIMARY, evidence)).toEqual({
      kind: 'linkFault',
      databaseId: 'db-1',
    });
  });

  test('queries no other node if the databases report the fault themselves', async () => {
    const evidence = {canReach: () => Promise.reject(new Error('queried'))};
    const silent = {upstreamSilentMs: 900};
    expect(
      await assessFailoverNeed(view({}, silent, silent), evidence),
    ).toEqual({
      kind: 'needed',
      cause: 'primaryIsolated',
      suspectId: 'db-1',
    });
  });
});
