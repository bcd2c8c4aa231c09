import {describe, expect, it} from 'vitest';
import type {AnnouncedDatabase} from '../../src/catalog/types.js';
import {MemberList} from '../../src/fleet/member-list.js';
import {chooseWatchers} from '../../src/fleet/watchers.js';
import {WorkPlacement} from '../../src/node/work-placement.js';
import {createAnnouncement} from '../fakes/announced-database.js';
import {createFleetMember} from '../fakes/fleet-member.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const NODES = 10;
const SELF = 'node-0';

/** The placement of a node that reaches the store, or not, and some nodes. */
function createPlacement(
  silent: ReadonlySet<string>,
  {
    isFailing = true,
    self = SELF,
    entries = [] as readonly AnnouncedDatabase[],
    evacuated = new Map<string, number>(),
  } = {},
) {
  const members = new MemberList({
    clock: new VirtualClock(),
    mayHaveLapsed: () => false,
  });
  for (let n = 0; n < NODES; n++) {
    const id = `node-${n}`;
    members.apply(id, createFleetMember(id, {dataCentre: `dc-${n % 3}`}));
  }
  const placement = new WorkPlacement({
    self,
    dataCentre: 'dc-0',
    clusterState: {members, entries},
    evacuations: {
      useOf: name => (evacuated.has(name) ? 'primaryOnly' : 'open'),
      find: dataCentre => {
        const learntMsAgo = evacuated.get(dataCentre);
        if (learntMsAgo === undefined) return undefined;
        return {dataCentre, learntMsAgo, closesInMs: 1};
      },
    },
    homeMonitor: {isSilent: id => silent.has(id)},
    storeAccess: {isFailing},
  });
  return {placement, members};
}

const idsOf = (nodes: readonly {readonly id: string}[]) =>
  nodes.map(({id}) => id).toSorted();

describe('the nodes that call the store for another', () => {
  it('are those that answer, however few are left', () => {
    for (let a = 1; a < NODES; a++) {
      const answering = [`node-${a}`, `node-${1 + (a % (NODES - 1))}`];
      const silent = new Set(
        Array.from({length: NODES}, (_, n) => `node-${n}`).filter(
          id => id !== SELF && !answering.includes(id),
        ),
      );
      const {placement} = createPlacement(silent);
      expect(idsOf(placement.storeHelpers())).toEqual(answering.toSorted());
    }
  });

  it('are few, and begin with those that poll the store', () => {
    const {placement, members} = createPlacement(new Set());
    const watchers = chooseWatchers(members.live()).filter(
      ({id}) => id !== SELF,
    );
    const helpers = placement.storeHelpers();
    expect(helpers.length).toBeLessThanOrEqual(4);
    expect(idsOf(helpers.slice(0, watchers.length))).toEqual(idsOf(watchers));
  });
});

describe('the nodes that share their load of a group', () => {
  it('are its home, the stand-in for a silent one, and the readers', () => {
    const entries = ['dc-0', 'dc-1', 'dc-2'].map((dataCentre, n) =>
      createAnnouncement(`db-${n}`, {
        dataCentre,
        role: n === 0 ? 'primary' : 'replica',
      }),
    );
    const {placement} = createPlacement(new Set(), {entries});
    const home = placement.homeOrder('claims')[0]!;
    const readers = ['dc-1', 'dc-2'].map(dataCentre =>
      placement.readerIn('claims', dataCentre),
    );
    const others = [home, ...readers].map(member => member!.id);
    const expected = others.filter(id => id !== SELF).toSorted();
    expect(idsOf(placement.otherSenders('claims'))).toEqual(expected);
    const silent = createPlacement(new Set([home.id]), {entries}).placement;
    const standIn = silent.homeOrder('claims')[1]!.id;
    const senders = idsOf(silent.otherSenders('claims'));
    expect(senders).not.toContain(home.id);
    if (standIn !== SELF) expect(senders).toContain(standIn);
    expect(placement.isCurrent(home.id, '1')).toBe(true);
    expect(placement.isCurrent(home.id, '0')).toBe(false);
    expect(silent.isCurrent(home.id, '1')).toBe(false);
  });
});

describe('the nodes that a node reads the changes from', () => {
  it('are none for a watcher, unless it does not reach the store', () => {
    const {members} = createPlacement(new Set());
    const [watcher] = chooseWatchers(members.live());
    const self = watcher!.id;
    const reaching = createPlacement(new Set(), {isFailing: false, self});
    expect(reaching.placement.feedSources()).toEqual([]);
    const failing = createPlacement(new Set(), {self});
    expect(failing.placement.feedSources().length).toBeGreaterThan(0);
    expect(idsOf(failing.placement.feedSources())).not.toContain(self);
  });
});

describe('groups with databases in an evacuated data centre', () => {
  const GROUPS = ['g0', 'g1', 'g2'];
  /** A primary in `dc-1` and a replica in `dc-0` for each group. */
  const entries = GROUPS.flatMap(group =>
    (['primary', 'replica'] as const).map(role => {
      const dataCentre = role === 'primary' ? 'dc-1' : 'dc-0';
      return createAnnouncement(`${group}-${role}`, {group, dataCentre, role});
    }),
  );

  it('have no reader there', () => {
    const read = {
      group: 'g0',
      kind: 'read',
      opens: undefined,
      consistency: 'bounded',
    } as const;
    const usual = createPlacement(new Set(), {entries}).placement;
    expect(usual.readerOf(read)).toBeDefined();
    const evacuated = new Map([['dc-0', 0]]);
    const {placement} = createPlacement(new Set(), {entries, evacuated});
    expect(placement.readerOf(read)).toBeUndefined();
    expect(placement.readerIn('g0', 'dc-0')).toBeUndefined();
  });

  it('change their primaries one after another', () => {
    const dueAfter = (learntMsAgo: number) => {
      const evacuated = new Map([['dc-1', learntMsAgo]]);
      const {placement} = createPlacement(new Set(), {entries, evacuated});
      return GROUPS.filter(group => placement.isEvacuationDue(group));
    };
    expect(dueAfter(0)).toEqual(['g0']);
    expect(dueAfter(150)).toEqual(['g0', 'g1']);
    expect(dueAfter(600)).toEqual(GROUPS);
  });
});
