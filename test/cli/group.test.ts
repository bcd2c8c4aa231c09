import {describe, expect, test} from 'vitest';
import {createStoreServer} from '../../standins/store/server.js';
import {runCli} from './cli-fixture.js';
import {useStubFleet, type AdminRoutes} from './stub-fleet.js';
import type {RouteHandler} from './stub-admin-server.js';

const HOMES = {claims: 'vm2', ledger: 'vm1'};

const CLAIMS = {
  name: 'claims',
  term: 3,
  primaryId: 'claims-1',
  databases: [
    {
      spec: {id: 'claims-1', dataCentre: 'hobart', provider: 'old'},
      status: {
        role: 'primary',
        term: 3,
        fencedTerm: 3,
        fencedBy: 'vm2/1',
        received: {term: 3, offset: 90},
        applied: {term: 3, offset: 90},
        upstreamSilentMs: 0,
      },
      ageMs: 4,
      reachable: true,
      unreachableMs: 0,
    },
    {
      spec: {id: 'claims-2', dataCentre: 'burnie', provider: 'new'},
      status: {
        role: 'replica',
        term: 3,
        fencedTerm: 3,
        fencedBy: 'vm2/1',
        received: {term: 3, offset: 88},
        applied: {term: 3, offset: 80},
        upstreamSilentMs: 12.4,
      },
      ageMs: 5,
      reachable: true,
      unreachableMs: 0,
    },
    {
      spec: {id: 'claims-3', dataCentre: 'burnie', provider: 'new'},
      ageMs: null,
      reachable: false,
      unreachableMs: 2_500.6,
    },
  ],
};

const fleet = useStubFleet();

const startFleet = (answers: readonly AdminRoutes[]) =>
  fleet.start(
    Object.fromEntries(answers.map((routes, i) => [`vm${i + 1}`, routes])),
  );

function groups(
  views: readonly unknown[],
  homes: unknown = HOMES,
): RouteHandler {
  return () => ({body: {homes, views}});
}

const run = (...args: readonly string[]) =>
  runCli(fleet.server.url, 'group', ...args);

describe('zinnia group status', () => {
  test('prints the view of the home for each group', async () => {
    const older = {...CLAIMS, term: 2, databases: []};
    await startFleet([
      {'GET /groups': groups([older])},
      {'GET /groups': groups([CLAIMS])},
    ]);
    const {code, out, err} = await run('status');
    expect({code, err}).toEqual({code: 0, err: ''});
    expect(out.split('\n')).toEqual([
      'group=claims home=vm2 term=3 primary=claims-1',
      '  database=claims-1 dataCentre=hobart provider=old role=primary term=3 fencedTerm=3 reachable=true received=3/90 applied=3/90 silentMs=0',
      '  database=claims-2 dataCentre=burnie provider=new role=replica term=3 fencedTerm=3 reachable=true received=3/88 applied=3/80 silentMs=12',
      '  database=claims-3 dataCentre=burnie provider=new role=unknown reachable=false unreachableMs=2501',
      'group=ledger home=vm1 view=none',
    ]);
  });

  test('names the vm that gave the view if it is not the home', async () => {
    await startFleet([
      {'GET /groups': groups([{...CLAIMS, databases: []}])},
      {'GET /groups': () => 'hangUp'},
    ]);
    const {code, out, err} = await run('status', 'claims');
    expect(code).toBe(0);
    expect(out).toBe(
      'group=claims home=vm2 seenBy=vm1 term=3 primary=claims-1',
    );
    expect(err).toBe('no answer from vm2');
  });

  test('rejects a group that no vm knows', async () => {
    await startFleet([{'GET /groups': groups([])}]);
    const {code, err} = await run('status', 'claim');
    expect(code).toBe(1);
    expect(err).toContain('no VM knows a group claim');
  });

  test('fails if no vm answers', async () => {
    await startFleet([{'GET /groups': () => 'hangUp'}]);
    const {code, err} = await run('status');
    expect(code).toBe(1);
    expect(err).toContain('no listed VM answers');
  });

  test('exits with 4 if the store is unreachable', async () => {
    const {url} = fleet.server;
    await fleet.server.close();
    expect((await runCli(url, 'group', 'status')).code).toBe(4);
    fleet.server = await createStoreServer({vms: []});
  });
});

describe('zinnia group switch', () => {
  const startWith = (answer: RouteHandler) =>
    startFleet([
      {'GET /groups': groups([])},
      {'GET /groups': groups([CLAIMS]), 'POST /switch': answer},
    ]);

  const switchCases = [
    [
      'switched',
      {kind: 'switched', term: 4},
      0,
      'claims-2 is primary of claims from term 4 on',
    ],
    [
      'not started',
      {kind: 'notStarted', reason: 'claims-2 leads already'},
      1,
      'nothing was changed: claims-2 leads already',
    ],
    [
      'fallen back and promoted',
      {
        kind: 'fellBack',
        reason: 'no majority could be fenced',
        failover: {kind: 'promoted', term: 5, databaseId: 'claims-3'},
      },
      1,
      'the switch to claims-2 broke off: no majority could be fenced; a failover made claims-3 primary from term 5 on',
    ],
    [
      'fallen back without a primary',
      {
        kind: 'fellBack',
        reason: 'no majority could be fenced',
        failover: {kind: 'failed', step: 'look', reason: 'only 1 answer'},
      },
      1,
      'the switch to claims-2 broke off: no majority could be fenced; the failover after it ended at its step "look": only 1 answer; the group\'s home goes on watching',
    ],
  ] as const;

  test.each(switchCases)(
    'reports that the switch was %s',
    async (_, body, code, out) => {
      await startWith(() => ({body}));
      const result = await run('switch', 'claims', 'claims-2');
      expect(result).toEqual({code, out, err: ''});
    },
  );

  test('sends one request, to the home', async () => {
    await startWith(() => ({body: {kind: 'switched', term: 4}}));
    await run('switch', 'claims', 'claims-2');
    expect(fleet.admins.map(admin => admin.count('POST /switch'))).toEqual([
      0, 1,
    ]);
    expect(fleet.admins[1]?.requests.at(-1)?.body).toEqual({
      group: 'claims',
      databaseId: 'claims-2',
    });
  });

  test('requests the switch from another vm if the home does not answer', async () => {
    await startFleet([
      {
        'GET /groups': groups([]),
        'POST /switch': () => ({body: {kind: 'switched', term: 4}}),
      },
      {'GET /groups': () => 'hangUp'},
    ]);
    expect((await run('switch', 'claims', 'claims-2')).code).toBe(0);
    expect(fleet.admins[0]?.count('POST /switch')).toBe(1);
  });

  test.each([
    ['a lost response', () => 'hangUp' as const],
    [
      'an error from the home',
      () => ({status: 400, body: {error: 'no answer in time'}}),
    ],
    ['a malformed response', () => ({body: {kind: 'maybe'}})],
  ])('does not retry after %s', async (_, answer) => {
    await startWith(answer);
    const {code, err} = await run('switch', 'claims', 'claims-2');
    expect(code).toBe(4);
    expect(err).toContain('it is not known whether the switch took place');
    expect(fleet.admins[1]?.count('POST /switch')).toBe(1);
  });

  test('reports that the group does not exist', async () => {
    await startWith(() => ({
      status: 404,
      body: {error: 'there is no group claims'},
    }));
    const {code, err} = await run('switch', 'claims', 'claims-2');
    expect(code).toBe(1);
    expect(err).toBe('error: there is no group claims');
  });

  test('requests no switch if no vm answers', async () => {
    await startFleet([{'GET /groups': () => 'hangUp'}]);
    const {code, err} = await run('switch', 'claims', 'claims-2');
    expect(code).toBe(1);
    expect(err).toContain('nothing was ordered');
  });
});
