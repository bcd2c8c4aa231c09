import {beforeEach, describe, expect, it} from 'vitest';
import {PeerBackedStore} from '../../src/fleet/peer-backed-store.js';
import {StoreAccess} from '../../src/fleet/store-access.js';
import {STORE_CALL_METHOD} from '../../src/fleet/store-call.js';
import {TrackedStore} from '../../src/fleet/tracked-store.js';
import {EraCheckedStore} from '../../src/infra/era-checked-store.js';
import {
  LeaseGoneError,
  type LeasedStore,
} from '../../src/infra/leased-store.js';
import {StoreError, type StoreFailureKind} from '../../src/infra/store.js';
import {PeerError, type PeerAddress} from '../../src/peers/types.js';
import {createLogger} from '../../src/telemetry/log.js';
import {interceptStore} from '../fakes/intercepted-store.js';
import {FakeLeasedStore} from '../fakes/leased-store.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const TTL_MS = 2_000;
const RENEW_PERIOD_MS = 500;
/** Longer than the time for which a node does not retry its own access. */
const LONG_MS = 10_000;

interface Node {
  readonly store: PeerBackedStore;
  /** How the node's own calls fail; undefined if the store answers them. */
  failure: StoreFailureKind | undefined;
  /** Calls that this node made at the store itself. */
  direct: number;
  outcomes: string[];
}

let clock: VirtualClock;
let store: FakeLeasedStore;
let nodes: Map<string, Node>;
/** Pairs of nodes that don't reach one another. */
let cut: Set<string>;
/** What a node replies to store calls instead of serving them, by id. */
let replies: Map<string, unknown>;
let peerCalls: string[];

/** The shared store as one node reaches it. */
function reachedBy(id: string): LeasedStore {
  return interceptStore(store, async call => {
    const node = nodes.get(id)!;
    node.direct += 1;
    if (node.failure === 'notSent') throw new StoreError('notSent', 'cut');
    const result = await call();
    if (node.failure === 'unknown') throw new StoreError('unknown', 'lost');
    return result;
  });
}

function addNode(id: string, helpers: readonly string[]): Node {
  const log = createLogger('silent');
  const access = new StoreAccess(clock);
  const metrics = {recordEra: () => {}, recordRejectedAnswer: () => {}};
  const checked = new EraCheckedStore({store: reachedBy(id), log, metrics});
  const outcomes: string[] = [];
  const peerBacked = new PeerBackedStore({
    direct: new TrackedStore(checked, access),
    access,
    log,
    helpers: () => helpers.map(helper => addressOf(helper)),
    recordPeerCall: outcome => void outcomes.push(outcome),
    peers: {
      call: async (to, method, body) => {
        expect(method).toBe(STORE_CALL_METHOD);
        peerCalls.push(`${id}-${to.id}`);
        if (cut.has(`${id}-${to.id}`)) throw new PeerError('lost', 'cut');
        const reply = replies.get(to.id);
        return reply ?? nodes.get(to.id)!.store.serve(body);
      },
    },
  });
  const node = {store: peerBacked, failure: undefined, direct: 0, outcomes};
  nodes.set(id, node);
  return node;
}

function addressOf(id: string): PeerAddress {
  return {id, host: '10.0.0.1', port: 7000};
}

let refused: Node;
let helper: Node;
beforeEach(() => {
  clock = new VirtualClock();
  store = new FakeLeasedStore(clock);
  nodes = new Map();
  cut = new Set();
  replies = new Map();
  peerCalls = [];
  refused = addNode('refused', ['helper', 'other']);
  helper = addNode('helper', ['refused', 'other']);
  addNode('other', ['refused', 'helper']);
});

describe('a node that the store refuses', () => {
  it('keeps its lease and the keys under it for as long as it lasts', async () => {
    const lease = await refused.store.grant(TTL_MS);
    await refused.store.swap('member', 0, 'here', lease.id);
    refused.failure = 'notSent';
    for (let ms = 0; ms < LONG_MS; ms += RENEW_PERIOD_MS) {
      await clock.advance(RENEW_PERIOD_MS);
      expect(await refused.store.renew(lease.id)).toMatchObject({
        isAlive: true,
      });
    }
    expect(store.read('member')).toBe('here');
  });

  it('writes and reads through a peer, and is told when its lease has ended', async () => {
    refused.failure = 'notSent';
    const lease = await refused.store.grant(TTL_MS);
    const written = await refused.store.swap('key', 0, 'value', lease.id);
    expect(written).toMatchObject({kind: 'swapped'});
    expect(await refused.store.swap('key', 0, 'again')).toMatchObject({
      kind: 'conflict',
      current: {key: 'key', value: 'value'},
    });
    const {values} = await refused.store.list('key');
    expect(values).toMatchObject([{key: 'key', value: 'value'}]);
    await clock.advance(TTL_MS + 1);
    expect(await refused.store.renew(lease.id)).toMatchObject({isAlive: false});
    await expect(
      refused.store.swap('other', 0, 'value', lease.id),
    ).rejects.toBeInstanceOf(LeaseGoneError);
  });

  it('tries its own access again only after two seconds', async () => {
    const lease = await refused.store.grant(TTL_MS);
    refused.failure = 'notSent';
    refused.direct = 0;
    for (let ms = 0; ms < 1_500; ms += RENEW_PERIOD_MS) {
      await refused.store.renew(lease.id);
      await clock.advance(RENEW_PERIOD_MS);
    }
    expect(refused.direct).toBe(1);
    refused.failure = undefined;
    await clock.advance(RENEW_PERIOD_MS);
    await refused.store.renew(lease.id);
    expect(refused.direct).toBe(2);
    peerCalls = [];
    await refused.store.renew(lease.id);
    expect(peerCalls).toEqual([]);
  });

  it('asks the next peer if the first is lost or refused as well', async () => {
    const lease = await refused.store.grant(TTL_MS);
    refused.failure = 'notSent';
    cut.add('refused-helper');
    expect((await refused.store.renew(lease.id)).isAlive).toBe(true);
    cut.clear();
    helper.failure = 'notSent';
    expect((await refused.store.renew(lease.id)).isAlive).toBe(true);
    expect(peerCalls).toContain('refused-other');
  });

  it('skips a peer whose reply is malformed or of an earlier era', async () => {
    const lease = await refused.store.grant(TTL_MS);
    store.restore(store.takeCopy());
    await refused.store.renew(lease.id);
    refused.failure = 'notSent';
    for (const nonsense of [
      {kind: 'nonsense'},
      {kind: 'done', result: {isAlive: 'yes', era: 1}},
    ]) {
      replies.set('helper', nonsense);
      expect((await refused.store.renew(lease.id)).isAlive).toBe(true);
    }
    replies.set('helper', {kind: 'done', result: {isAlive: true, era: 0}});
    replies.set('other', {kind: 'done', result: {isAlive: true, era: 0}});
    await expect(refused.store.renew(lease.id)).rejects.toBeInstanceOf(
      StoreError,
    );
  });
});

describe('a store that is down for all', () => {
  it('makes each node ask its peers once in half a second, and no peer call it', async () => {
    for (const node of nodes.values()) node.failure = 'notSent';
    for (const node of nodes.values()) {
      await expect(node.store.grant(TTL_MS)).rejects.toThrow('cut');
    }
    await clock.advance(RENEW_PERIOD_MS);
    const directBefore = helper.direct;
    peerCalls = [];
    for (let n = 0; n < 4; n++) {
      await expect(refused.store.grant(TTL_MS)).rejects.toThrow('cut');
      await clock.advance(100);
    }
    expect(peerCalls).toEqual(['refused-helper', 'refused-other']);
    expect(helper.direct).toBe(directBefore);
    expect(refused.outcomes).toContain('noHelp');
  });
});

describe('a swap whose outcome is unknown', () => {
  it('is not repeated through a peer', async () => {
    refused.failure = 'unknown';
    await expect(refused.store.swap('key', 0, 'value')).rejects.toMatchObject({
      kind: 'unknown',
    });
    expect(peerCalls).toEqual([]);
  });

  it('is not repeated at the next peer either', async () => {
    refused.failure = 'notSent';
    cut.add('refused-helper');
    await expect(refused.store.swap('key', 0, 'value')).rejects.toMatchObject({
      kind: 'unknown',
    });
    expect(peerCalls).toEqual(['refused-helper']);
  });
});

describe('a peer', () => {
  it.each([
    undefined,
    {op: 'revoke', lease: 'lease-1'},
    {op: 'list', prefix: ''},
    {op: 'swap', key: 'key', expected: -1, value: 'value'},
    {op: 'grant', ttlMs: 'long'},
  ])('refuses the malformed call %j and makes none', async body => {
    await expect(helper.store.serve(body)).rejects.toThrow();
    expect(helper.direct).toBe(0);
  });
});
