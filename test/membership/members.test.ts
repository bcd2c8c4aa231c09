import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {MemberDelta} from '../../src/membership/member.js';
import {
  MAX_CHANGE_AGE_MS,
  MAX_CHANGES_PER_MESSAGE,
} from '../../src/membership/member-changes.js';
import {Members} from '../../src/membership/members.js';
import type {VmRecord} from '../../src/infra/vm-list.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

function record(id: string, changes: Partial<VmRecord> = {}): VmRecord {
  return {
    id,
    host: '10.0.0.1',
    peerPort: 7100,
    adminPort: 7200,
    dataCentre: 'dc-a',
    state: 'live',
    ...changes,
  };
}

function createMembers(ids: readonly string[] = ['a', 'b', 'c', 'd', 'e']) {
  const clock = new VirtualClock();
  const members = new Members({self: record('a'), instance: 'i-a', clock});
  members.applyList(
    ids.map(id => record(id)),
    1,
  );
  const contactAll = () =>
    ids.forEach(id => members.heard.recordContact(id, 0));
  return {clock, members, contactAll};
}

function delta(id: string, changes: Partial<MemberDelta> = {}): MemberDelta {
  return {
    id,
    instance: `i-${id}`,
    incarnation: 0,
    status: 'alive',
    ...changes,
  };
}

const idsOf = (items: readonly {readonly id: string}[]) =>
  items.map(({id}) => id);

describe('members', () => {
  it('applies only newer lists', () => {
    const {members} = createMembers();
    members.applyList([record('a'), record('z')], 3);
    members.applyList([record('a')], 2);
    expect(idsOf(members.live())).toEqual(['a', 'z']);
  });

  it('treats VMs removed from the list or marked in it as leaving', () => {
    const {members} = createMembers();
    members.applyList([record('a'), record('c', {state: 'leaving'})], 2);
    expect(idsOf(members.live())).toEqual(['a']);
    expect(members.find('b')?.status).toBe('leaving');
    expect(members.find('c')?.status).toBe('leaving');
  });

  it('ranks homes alike on every node and moves only those of a leaving VM', () => {
    const {members} = createMembers();
    const other = new Members({
      self: record('d'),
      instance: 'i-d',
      clock: new VirtualClock(),
    });
    other.applyList(
      ['e', 'd', 'c', 'b', 'a'].map(id => record(id)),
      1,
    );
    const groups = Array.from({length: 200}, (_, n) => `group-${n}`);
    const homes = () => groups.map(name => members.homeOrder(name)[0]!.id);
    const before = homes();
    expect(before).toEqual(groups.map(name => other.homeOrder(name)[0]!.id));
    members.applyDelta(delta('b', {status: 'leaving'}));
    const after = homes();
    const moved = groups.filter((_, at) => before[at] !== after[at]);
    const ofB = groups.filter((_, at) => before[at] === 'b');
    expect(moved).toEqual(ofB);
    expect(ofB.length).toBeGreaterThan(20);
    expect(ofB.length).toBeLessThan(60);
  });

  it('ranks VMs of the preferred data centre first', () => {
    const {members} = createMembers();
    members.applyList(
      ['a', 'b', 'c', 'd'].map((id, at) =>
        record(id, {dataCentre: at < 2 ? 'dc-a' : 'dc-b'}),
      ),
      2,
    );
    const order = members.homeOrder('claims', {dataCentre: 'dc-b'});
    expect(idsOf(order).slice(0, 2).sort()).toEqual(['c', 'd']);
    expect(order).toHaveLength(4);
  });

  it('refutes reports about itself with a higher incarnation', () => {
    const {members} = createMembers();
    members.applyDelta(delta('a', {status: 'suspect', incarnation: 4}));
    expect(members.selfIdentity).toEqual({
      instance: 'i-a',
      incarnation: 5,
      status: 'alive',
    });
    const old = delta('a', {instance: 'i-old', status: 'dead', incarnation: 9});
    members.applyDelta(old);
    expect(members.selfIdentity.incarnation).toBe(10);
  });

  it('only suspects a VM reported dead, until that is refuted', () => {
    const {members} = createMembers();
    members.applyDelta(delta('b', {status: 'dead', incarnation: 1}));
    expect(members.find('b')?.status).toBe('suspect');
    members.applyDelta(delta('b', {incarnation: 1}));
    expect(members.find('b')?.status).toBe('suspect');
    members.applyDelta(delta('b', {incarnation: 2}));
    members.advanceStatusTimers(10_000);
    expect(members.find('b')?.status).toBe('alive');
  });

  it('marks a suspected VM as dead after the suspicion timeout', () => {
    const {members} = createMembers();
    members.suspect('b');
    expect(members.find('b')?.status).toBe('suspect');
    members.advanceStatusTimers(1_999);
    expect(idsOf(members.live())).toContain('b');
    members.advanceStatusTimers(1);
    expect(members.find('b')?.status).toBe('dead');
  });

  it('removes an unlisted leaving VM after its retention time', () => {
    const {members} = createMembers();
    members.applyList([record('a')], 2);
    members.advanceStatusTimers(599_999);
    expect(members.find('b')?.status).toBe('leaving');
    members.advanceStatusTimers(1);
    expect(idsOf(members.all())).toEqual(['a']);
  });

  it('discards failures detected without a majority once it has contact to one', () => {
    const {members, contactAll} = createMembers();
    members.suspect('b');
    members.advanceStatusTimers(3_000);
    expect(members.find('b')?.status).toBe('dead');
    expect(members.digest.takeDeltas()).toMatchObject([
      {id: 'b', status: 'dead', doubtful: true},
    ]);
    ['a', 'c', 'd'].forEach(id => members.heard.recordContact(id, 0));
    members.advanceStatusTimers(1);
    expect(members.find('b')?.status).toBe('alive');
    contactAll();
    members.suspect('b');
    const [sentDelta] = members.digest.takeDeltas();
    expect(sentDelta).toMatchObject({id: 'b', status: 'suspect'});
    expect(sentDelta).not.toHaveProperty('doubtful');
  });

  it('accepts a doubtful suspicion only without contact to a majority itself', () => {
    const {members, contactAll} = createMembers();
    const doubtful = delta('b', {status: 'suspect', doubtful: true});
    contactAll();
    members.applyDelta(doubtful);
    expect(members.find('b')?.status).toBe('alive');
    const alone = createMembers().members;
    alone.applyDelta(doubtful);
    expect(alone.find('b')?.status).toBe('suspect');
    ['c', 'd'].forEach(id => alone.heard.recordContact(id, 0));
    alone.advanceStatusTimers(1);
    expect(alone.find('b')?.status).toBe('alive');
  });

  it('limits the changes in a message and stops sending them after a minute', async () => {
    const ids = Array.from({length: 100}, (_, n) => `v${n}`);
    const {clock, members, contactAll} = createMembers(['a', ...ids]);
    contactAll();
    ids.forEach(id => members.suspect(id));
    const first = idsOf(members.digest.takeDeltas());
    const second = idsOf(members.digest.takeDeltas());
    expect(first).toHaveLength(MAX_CHANGES_PER_MESSAGE);
    expect(first.filter(id => second.includes(id))).toEqual([]);
    await clock.advance(MAX_CHANGE_AGE_MS + 1);
    expect(members.digest.takeDeltas()).toEqual([]);
  });

  it('converges to the same view in any order of changes', () => {
    const change = fc.record({
      id: fc.constantFrom('b', 'c'),
      instance: fc.constant('i'),
      incarnation: fc.nat({max: 3}),
      status: fc.constantFrom('alive', 'suspect', 'leaving', 'dead'),
    });
    fc.assert(
      fc.property(
        fc.array(change as fc.Arbitrary<MemberDelta>),
        fc.infiniteStream(fc.nat()),
        (changes, keys) => {
          const keyed = changes.map(item => ({item, key: keys.next().value}));
          const shuffled = keyed.sort((x, y) => x.key! - y.key!);
          const views = [changes, shuffled.map(({item}) => item)].map(order => {
            const {members} = createMembers();
            order.forEach(item => members.applyDelta(item));
            members.advanceStatusTimers(10_000);
            return ['b', 'c'].map(id => [
              members.find(id)!.status,
              members.identityOf(id)!.incarnation,
            ]);
          });
          expect(views[1]).toEqual(views[0]);
        },
      ),
      {seed: 5, numRuns: 500},
    );
  });
});

describe('last-contact table', () => {
  it('adds transit time to exchanged ages', async () => {
    const {clock, members} = createMembers();
    const other = createMembers().members;
    members.heard.recordContact('b', 100);
    await clock.advance(900);
    other.heard.acceptAges(members.heard.toAges(), 50);
    expect(other.heard.ageMs('b')).toBeGreaterThanOrEqual(1_050);
    expect(other.heard.ageMs('b')).toBeLessThan(1_100);
    expect(other.countContactedWithin(1_100)).toBe(2);
    expect(other.heard.ageMs('c')).toBe(Infinity);
  });

  it('ignores ages for another revision of the list', () => {
    const {members} = createMembers();
    const other = createMembers().members;
    other.applyList([record('a'), record('x')], 2);
    members.heard.recordContact('b', 0);
    other.heard.acceptAges(members.heard.toAges(), 0);
    expect(other.countContactedWithin(1_000)).toBe(1);
  });

  it('estimates the number of contacted VMs of a large fleet from a sample', () => {
    const ids = Array.from({length: 1_000}, (_, n) => `v${n}`);
    const {members} = createMembers(['a', ...ids]);
    ids.slice(0, 250).forEach(id => members.heard.recordContact(id, 0));
    expect(members.countContactedWithin(1_000)).toBeGreaterThan(150);
    expect(members.countContactedWithin(1_000)).toBeLessThan(350);
    expect(members.heard.hasMajorityWithin(1_000)).toBe(false);
    ids.slice(0, 750).forEach(id => members.heard.recordContact(id, 0));
    expect(members.heard.hasMajorityWithin(1_000)).toBe(true);
  });
});
