/** In-memory peer network in virtual time, with fault injection. */

import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {encodeFrame, FrameDecoder} from '../../src/peers/framing.js';
import type {Random} from '../../src/infra/clock.js';
import type {PeerAddress, PeerHandler} from '../../src/peers/types.js';
import {
  NodeClock,
  VirtualClock,
  type NodeClockOptions,
} from './virtual-clock.js';
import {VirtualNode} from './virtual-node.js';

/** Network faults; probabilities are from 0 to 1 and apply to each call. */
export interface NetworkFaults {
  readonly latencyMs: number;
  /** Uniformly distributed extra latency, in whole milliseconds. */
  readonly jitterMs: number;
  /** Probability that a request is lost, and separately that an answer is. */
  readonly loss: number;
  /** Probability that a request is served twice. */
  readonly duplication: number;
  /** Probability that a request is delayed, so that later ones overtake it. */
  readonly reorder: number;
}

/** Traffic of a node. */
export interface TrafficCount {
  /** Number of frames sent. */
  frames: number;
  sentBytes: number;
  receivedBytes: number;
  /** Number of connections opened. */
  connections: number;
}

const NO_FAULTS: NetworkFaults = {
  latencyMs: 1,
  jitterMs: 0,
  loss: 0,
  duplication: 0,
  reorder: 0,
};

/** Extra delay of a request that is served out of order. */
const REORDER_DELAY_MS = 20;

/** Number of distinct values of {@link VirtualNetwork.next}. */
const RANDOM_STEPS = 2 ** 30;

/**
 * A network of in-memory nodes.
 *
 * @example
 * const net = new VirtualNetwork(clock, 1);
 * const a = net.addNode('a');
 * const b = net.addNode('b', {handlers: {echo: async body => body}});
 * const answer = a.call(b.address, 'echo', 1, {timeoutMs: 100});
 * await clock.advance(100);
 */
export class VirtualNetwork implements Random {
  readonly time: VirtualClock;
  readonly #random;
  readonly #nodes = new Map<string, VirtualNode>();
  #faults = NO_FAULTS;
  #partitions = new Map<string, number>();
  readonly #cutLinks = new Set<string>();

  constructor(
    time: VirtualClock,
    seed: number,
    faults: Partial<NetworkFaults> = {},
  ) {
    this.time = time;
    this.#random = xoroshiro128plus(seed);
    this.setFaults(faults);
  }

  /** The current faults. */
  get faults(): NetworkFaults {
    return this.#faults;
  }

  /** Returns a seeded pseudo-random number in [0, 1). */
  next(): number {
    return uniformInt(this.#random, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;
  }

  /** Changes the given faults and keeps the others. */
  setFaults(faults: Partial<NetworkFaults>): void {
    this.#faults = {...this.#faults, ...faults};
  }

  /** Adds a node, or replaces the node with the same id. */
  addNode(
    id: string,
    options: {
      readonly clock?: NodeClockOptions;
      readonly handlers?: Record<string, PeerHandler>;
    } = {},
  ): VirtualNode {
    const clock = new NodeClock(this.time, options.clock ?? {});
    const node = new VirtualNode(this, id, clock, options.handlers ?? {});
    this.#nodes.set(id, node);
    return node;
  }

  /** Returns the node with the id of an address, if it exists. */
  find(address: PeerAddress): VirtualNode | undefined {
    return this.#nodes.get(address.id);
  }

  /** Ends a node's process: closes its connections and refuses new ones. */
  endProcess(id: string): void {
    this.#nodes.get(id)?.closeConnections();
    this.#nodes.delete(id);
  }

  /**
   * Splits the network; the nodes that are not listed form one more partition.
   */
  partition(...partitions: readonly (readonly string[])[]): void {
    this.#partitions = new Map(
      partitions.flatMap((ids, at) => ids.map(id => [id, at + 1] as const)),
    );
  }

  /** Drops all messages between two nodes. */
  cutLink(a: string, b: string): void {
    this.#cutLinks.add(linkKey(a, b));
  }

  /** Removes all partitions and cut links. */
  heal(): void {
    this.#partitions.clear();
    this.#cutLinks.clear();
  }

  /** Drops all further messages on the open connections between two nodes. */
  silenceConnections(a: string, b: string): void {
    this.#nodes.get(a)?.silenceConnection(b);
    this.#nodes.get(b)?.silenceConnection(a);
  }

  /** True if messages between two nodes are delivered now. */
  reaches(a: string, b: string): boolean {
    if (this.#cutLinks.has(linkKey(a, b))) return false;
    return (this.#partitions.get(a) ?? 0) === (this.#partitions.get(b) ?? 0);
  }

  /** Draws the latency of one message. */
  drawLatencyMs(): number {
    const {latencyMs, jitterMs} = this.#faults;
    return latencyMs + Math.floor(this.next() * (jitterMs + 1));
  }

  /** Draws the extra delay of one request. */
  drawReorderMs(): number {
    return this.next() < this.#faults.reorder ? REORDER_DELAY_MS : 0;
  }

  /**
   * Encodes and decodes a value as the wire does; returns its copy and size.
   */
  transcode(value: unknown): {value: unknown; bytes: number} {
    const [frame] = new FrameDecoder().push(encodeFrame(value));
    return {value: frame!.value, bytes: frame!.bytes};
  }

  /**
   * Returns the traffic of each node since the last call; resets the counts.
   */
  drainTraffic(): Map<string, TrafficCount> {
    const counts = [...this.#nodes.values()].map(
      node => [node.id, node.drainTraffic()] as const,
    );
    return new Map(counts);
  }
}

function linkKey(a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}
