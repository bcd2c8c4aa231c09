import {afterEach, expect, it, vi} from 'vitest';
import {
  createCoordination,
  parseVmList,
  type Coordination,
} from '../../src/membership/coordination.js';
import {PeerPool} from '../../src/peers/peer-pool.js';
import {createPeerServer} from '../../src/peers/peer-server.js';
import type {PeerHandler} from '../../src/peers/types.js';
import {SystemClock, SystemRandom} from '../../src/infra/clock.js';
import {VM_LIST_KEY, type VmRecord} from '../../src/infra/vm-list.js';
import {FakeStore} from './fleet.js';

const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

interface RunningNode {
  readonly record: VmRecord;
  readonly coordination: Coordination;
  readonly end: () => Promise<void>;
}

async function startNode(id: string, store: FakeStore): Promise<RunningNode> {
  const clock = new SystemClock();
  const handlers = new Map<string, PeerHandler>();
  const common = {host: '127.0.0.1', self: id, peerSecret: 'fleet'};
  const server = await createPeerServer({...common, port: 0, handlers});
  const record: VmRecord = {
    id,
    host: common.host,
    peerPort: server.address.port,
    adminPort: 1,
    dataCentre: 'dc-a',
    state: 'live',
  };
  const caller = new PeerPool(common);
  const coordination = createCoordination({
    self: record,
    store: store.forNode(id, clock),
    caller,
    clock,
    random: new SystemRandom(),
  });
  for (const [method, handler] of coordination.handlers) {
    handlers.set(method, handler);
  }
  const end = async () => {
    await coordination.stop();
    caller.close();
    await server.close(0);
  };
  closers.push(end);
  return {record, coordination, end};
}

it('replicates documents and detects a failed node over real sockets', async () => {
  const store = new FakeStore(new SystemClock());
  const nodes = await Promise.all(
    ['vm-a', 'vm-b', 'vm-c', 'vm-d'].map(id => startNode(id, store)),
  );
  store.put(VM_LIST_KEY, JSON.stringify(nodes.map(node => node.record)));
  for (const {coordination} of nodes) coordination.start();
  const all = nodes.map(node => node.coordination);
  await vi.waitFor(
    () =>
      expect(all.map(n => n.members.countContactedWithin(2_000))).toEqual([
        4, 4, 4, 4,
      ]),
    {timeout: 10_000},
  );
  const revision = store.put('zinnia/config', 'x'.repeat(500_000));
  await vi.waitFor(
    () => {
      for (const node of all) {
        expect(node.documents.revision('zinnia/config')).toBe(revision);
        expect(node.standing.evaluate()).toBe('current');
      }
    },
    {timeout: 10_000},
  );
  await nodes[3]!.end();
  await vi.waitFor(
    () => expect(all[0]!.members.find('vm-d')?.status).toBe('dead'),
    {timeout: 15_000},
  );
  expect(all[0]!.members.live().map(vm => vm.id)).toEqual([
    'vm-a',
    'vm-b',
    'vm-c',
  ]);
}, 40_000);

it('rejects a VM list with a malformed record', () => {
  const record = {
    id: 'vm-a',
    host: '10.0.0.1',
    peerPort: 1,
    adminPort: 2,
    dataCentre: 'dc-a',
    state: 'live',
  };
  expect(parseVmList(JSON.stringify([record]))).toEqual([record]);
  for (const value of [null, '', '{}', '[{}]', '[null]', '[']) {
    expect(parseVmList(value)).toBeUndefined();
  }
});
