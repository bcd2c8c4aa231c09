import {expect, test} from 'vitest';
import {Members} from '../../src/membership/members.js';
import {MemberBudgetPeers} from '../../src/node/peer-ports.js';
import {SystemClock} from '../../src/infra/clock.js';
import type {VmRecord} from '../../src/infra/vm-list.js';

function vm(id: string): VmRecord {
  const endpoint = {host: '127.0.0.1', peerPort: 1, adminPort: 1};
  return {id, ...endpoint, dataCentre: 'hobart', state: 'live'};
}

function createPeers() {
  const clock = new SystemClock();
  const members = new Members({self: vm('vm1'), instance: 'a', clock});
  members.applyList([vm('vm1'), vm('vm2')], 1);
  const caller = {call: () => Promise.reject(new Error('not used'))};
  return {members, peers: new MemberBudgetPeers(members, caller)};
}

test('does not report an instance as gone before its vm has reported its process', () => {
  const {peers} = createPeers();
  expect(peers.isGone('vm2/b')).toBe(false);
});

test('reports an instance as gone once its vm runs another or is unknown', () => {
  const {members, peers} = createPeers();
  const identity = {incarnation: 0, status: 'alive'} as const;
  members.applySelfReport('vm2', {...identity, instance: 'b'}, 0);
  expect(peers.isGone('vm2/b')).toBe(false);
  expect(peers.isGone('vm2/b.1')).toBe(false);
  members.applySelfReport('vm2', {...identity, instance: 'c'}, 0);
  expect(peers.isGone('vm2/b')).toBe(true);
  expect(peers.isGone('vm9/x')).toBe(true);
});

test('lists only vms that have reported their process', () => {
  const {members, peers} = createPeers();
  expect(peers.live().map(({vm: id}) => id)).toEqual(['vm1']);
  members.applySelfReport(
    'vm2',
    {instance: 'b', incarnation: 0, status: 'alive'},
    0,
  );
  expect(peers.live()).toContainEqual({vm: 'vm2', instance: 'vm2/b'});
});
