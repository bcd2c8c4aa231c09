import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {
  AckTracker,
  ackVerdict,
  type AckResult,
} from '../../src/groups/acknowledgement.js';
import type {AckMode} from '../../src/groups/replica-confirmer.js';
import type {DatabaseControl} from '../../src/groups/types.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock, type NodeClock} from '../fakes/virtual-clock.js';

const MODES: readonly AckMode[] = ['replica', 'primary'];

let time: VirtualClock;
let group: FakeGroup;
let clock: NodeClock;
let controls: readonly DatabaseControl[];
let tracker: AckTracker;

beforeEach(async () => {
  time = new VirtualClock();
  group = new FakeGroup(time);
  clock = time.forNode();
  controls = group.controlsFor('vm-1', clock);
  tracker = new AckTracker({clock, controls});
  await time.advance(100);
});

afterEach(() => {
  group.links.reset();
});

async function write(
  id: string,
  ack: AckMode,
  timeoutMs = 1_000,
): Promise<AckResult> {
  const position = await group.commit('vm-1', clock, 'db-1', id);
  return tracker.acknowledge({primaryId: 'db-1', position, ack, timeoutMs});
}

function fence(ids: readonly string[], term: number) {
  for (const id of ids) group.database(id).fence(term, 'vm-2/1');
}

describe('AckTracker', () => {
  test('acknowledges a write once the first replica holds it', async () => {
    group.links.cut(['db-1'], ['db-3']);
    const result = write('w', 'replica');
    expect(await time.outcome(result, 10)).toBeUndefined();
    expect(await time.outcome(result, 30)).toEqual({kind: 'acknowledged'});
  });

  test('does not wait for replication with ack=primary', async () => {
    expect(await time.outcome(write('w', 'primary'), 1)).toEqual({
      kind: 'acknowledged',
    });
  });

  test.each(MODES)(
    'does not acknowledge a write after a later promotion, ack=%s',
    async ack => {
      group.links.cut(['db-1'], ['db-2', 'db-3']);
      fence(['db-2', 'db-3'], 2);
      group.database('db-2').promote(2, 'vm-2/1');
      const result = await time.outcome(write('w', ack), 2_000);
      expect(result).toEqual({kind: 'superseded', term: 2});
      expect(ackVerdict(result!)).toMatchObject({
        kind: 'mayHaveRun',
        reason: 'termChanged',
      });
    },
  );

  test('times out while no replica can be reached', async () => {
    group.links.cut(['vm-1'], ['db-2', 'db-3']);
    const result = await time.outcome(write('w', 'primary', 500), 600);
    expect(result).toEqual({kind: 'timeout'});
    expect(ackVerdict(result!)).toMatchObject({
      kind: 'mayHaveRun',
      reason: 'ackTimeout',
    });
  });

  test.each(MODES)(
    'acknowledges a write despite one fenced replica, ack=%s',
    async ack => {
      fence(['db-2'], 2);
      expect(await time.outcome(write('w', ack), 100)).toEqual({
        kind: 'acknowledged',
      });
    },
  );

  test('waits for two replicas in a group of five', async () => {
    group = new FakeGroup(time, 5);
    tracker = new AckTracker({
      clock,
      controls: group.controlsFor('vm-1', clock),
    });
    await time.advance(100);
    group.links.cut(['db-1'], ['db-3', 'db-4', 'db-5']);
    const result = write('w', 'replica');
    expect(await time.outcome(result, 200)).toBeUndefined();
    group.links.heal(['db-1'], ['db-3']);
    expect(await time.outcome(result, 100)).toEqual({kind: 'acknowledged'});
  });

  test('acknowledges immediately in a group of one', async () => {
    const alone = new AckTracker({clock, controls: controls.slice(0, 1)});
    const position = await group.commit('vm-1', clock, 'db-1', 'w');
    const write = {primaryId: 'db-1', position, timeoutMs: 10};
    expect(await alone.acknowledge({...write, ack: 'replica'})).toEqual({
      kind: 'acknowledged',
    });
  });

  test('batches the confirm requests for many writes', async () => {
    let open = 0;
    let maxOpen = 0;
    let requests = 0;
    const counted = controls.map(control => ({
      spec: control.spec,
      status: control.status.bind(control),
      fence: control.fence.bind(control),
      promote: control.promote.bind(control),
      confirm: async (...args: Parameters<DatabaseControl['confirm']>) => {
        requests += 1;
        maxOpen = Math.max(maxOpen, ++open);
        return control.confirm(...args).finally(() => (open -= 1));
      },
    }));
    tracker = new AckTracker({clock, controls: counted});
    const writes = Array.from({length: 100}, (_, i) =>
      write(`w${i}`, 'replica'),
    );
    const results = await time.outcome(Promise.all(writes), 100);
    expect(results).toEqual(Array(100).fill({kind: 'acknowledged'}));
    expect(maxOpen).toBe(2);
    expect(requests).toBeLessThanOrEqual(6);
  });

  test('ignores an answer to a request sent before the commit', async () => {
    // The first request is answered before the fence, but its answer arrives
    // after it.
    const links = ['db-2', 'db-3'].map(id => group.links.between('vm-1', id));
    for (const link of links) link.delayMs = 50;
    const first = write('w1', 'primary');
    await time.advance(60);
    fence(['db-2', 'db-3'], 2);
    const second = await time.outcome(write('w2', 'primary'), 1_000);
    expect(await first).toEqual({kind: 'acknowledged'});
    expect(second).toEqual({kind: 'superseded', term: 2});
  });

  test('acknowledges the lower writes that a lagging replica holds', async () => {
    group.links.cut(['db-1'], ['db-2', 'db-3']);
    const low = write('low', 'replica', 2_000);
    const high = write('high', 'replica', 2_000);
    await time.advance(300);
    const {log} = group.database('db-1');
    group.database('db-2').accept(1, log.slice(0, -1));
    expect(await time.outcome(low, 500)).toEqual({kind: 'acknowledged'});
    expect(await time.outcome(high, 2_000)).toEqual({kind: 'timeout'});
  });

  test('ignores an answer that covers only an earlier write', async () => {
    group.links.cut(['vm-1'], ['db-3']);
    group.links.between('vm-1', 'db-2').delayMs = 50;
    const first = write('w1', 'replica');
    await time.advance(60);
    group.links.cut(['db-1'], ['db-2']);
    const second = write('w2', 'replica');
    expect(await time.outcome(second, 500)).toBeUndefined();
    expect(await first).toEqual({kind: 'acknowledged'});
  });

  test('ignores a confirmation of a newer term for a write of an older term', async () => {
    // The first request is lost, so that the next one covers both writes.
    group.links.cut(['db-1', 'vm-1'], ['db-2', 'db-3']);
    const old = write('old', 'replica', 2_000);
    await time.advance(10);
    fence(['db-2', 'db-3'], 2);
    group.database('db-2').promote(2, 'vm-2/1');
    group.links.heal(['vm-1'], ['db-2', 'db-3']);
    const position = await group.commit('vm-1', clock, 'db-2', 'new');
    const next = tracker.acknowledge({
      primaryId: 'db-2',
      position,
      ack: 'replica',
      timeoutMs: 2_000,
    });
    expect(await time.outcome(next, 1_000)).toEqual({kind: 'acknowledged'});
    expect(await time.outcome(old, 1_000)).toEqual({
      kind: 'superseded',
      term: 2,
    });
  });
});
