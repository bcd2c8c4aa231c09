import {describe, expect, it} from 'vitest';
import {callOnNewConnection} from '../../src/peers/call-on-new-connection.js';
import type {PeerError} from '../../src/peers/types.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {VirtualNetwork, type NetworkFaults} from '../fakes/virtual-network.js';

function setUp(faults: Partial<NetworkFaults> = {}) {
  const clock = new VirtualClock();
  const net = new VirtualNetwork(clock, 42, faults);
  let served = 0;
  const handlers = {
    echo: async (body: unknown) => {
      served++;
      return body;
    },
  };
  const a = net.addNode('a');
  const b = net.addNode('b', {handlers});
  const call = async (timeoutMs = 500, fresh = false) => {
    const outcome = fresh
      ? callOnNewConnection(a, b.address, 'echo', {n: 1}, {timeoutMs})
      : a.call(b.address, 'echo', {n: 1}, {timeoutMs});
    const settled = outcome.then(
      () => 'answered',
      (err: PeerError) => err.kind,
    );
    await clock.advance(5_000);
    return settled;
  };
  return {clock, net, a, b, call, served: () => served};
}

describe('virtual clock', () => {
  it('fires timers in order and runs promise callbacks between them', async () => {
    const clock = new VirtualClock();
    const seen: number[] = [];
    const task = (async () => {
      for (let n = 0; n < 3; n++) {
        await clock.sleep(10);
        seen.push(clock.now());
      }
    })();
    await clock.advance(25);
    expect(seen).toEqual([10, 20]);
    await clock.advance(5);
    await task;
    expect(seen).toEqual([10, 20, 30]);
  });

  it('gives nodes clocks that drift and pause', async () => {
    const clock = new VirtualClock();
    const fast = clock.forNode({rate: 2, offsetMs: 100});
    const paused = clock.forNode();
    paused.pause();
    let wokeAtMs = 0;
    void paused.sleep(10).then(() => (wokeAtMs = clock.now()));
    await clock.advance(50);
    expect(fast.now()).toBe(200);
    expect(wokeAtMs).toBe(0);
    paused.resume();
    await clock.settle();
    expect(wokeAtMs).toBe(50);
  });
});

describe('virtual network', () => {
  it('answers calls and counts bytes', async () => {
    const {net, call} = setUp();
    expect(await call()).toBe('answered');
    const traffic = net.drainTraffic();
    expect(traffic.get('a')!.sentBytes).toBeGreaterThan(20);
    expect(traffic.get('b')!.receivedBytes).toBe(traffic.get('a')!.sentBytes);
  });

  it('fails calls with the same kinds as real connections', async () => {
    const {net, call} = setUp();
    net.partition(['a'], ['b']);
    expect(await call()).toBe('notSent');
    net.heal();
    expect(await call()).toBe('answered');
    net.partition(['a']);
    expect(await call()).toBe('lost');
    expect(await call()).toBe('notSent');
    net.heal();
    net.setFaults({loss: 1});
    expect(await call()).toBe('lost');
    net.endProcess('b');
    expect(await call()).toBe('notSent');
  });

  it('distinguishes a silent connection from a dead node', async () => {
    const {clock, net, a, b, call} = setUp();
    const first = a.call(b.address, 'echo', 1, {timeoutMs: 500});
    await clock.advance(100);
    await first;
    net.silenceConnections('a', 'b');
    const silent = a
      .call(b.address, 'echo', 1, {timeoutMs: 500})
      .catch((err: PeerError) => err.kind);
    const fresh = callOnNewConnection(a, b.address, 'echo', 2, {
      timeoutMs: 500,
    });
    await clock.advance(600);
    expect([await silent, await fresh]).toEqual(['lost', 2]);
    await clock.advance(3_000);
    expect(await call()).toBe('answered');
  });

  it('serves a duplicated request twice and answers once', async () => {
    const {call, served} = setUp({duplication: 1});
    expect(await call()).toBe('answered');
    expect(served()).toBe(2);
  });

  it('delivers requests to a paused node when it resumes', async () => {
    const {b, call, served} = setUp();
    expect(await call()).toBe('answered');
    b.clock.pause();
    expect(await call(400)).toBe('lost');
    expect(await call(400, true)).toBe('notSent');
    expect(served()).toBe(1);
    b.clock.resume();
    expect(served()).toBe(2);
    expect(await call()).toBe('answered');
  });
});
